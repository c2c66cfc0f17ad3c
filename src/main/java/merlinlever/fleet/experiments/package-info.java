/**
 * Online experiments (A/B tests) in a fleet: callers are assigned to arms, the results of their requests are counted,
 * and a sequential test ({@link merlinlever.fleet.experiments.SequentialAnalysis}) decides when to stop. The leader
 * ends an experiment for the whole fleet ({@link merlinlever.fleet.experiments.ExperimentNode}). The package contains
 * logic only, without input or output.
 */
package merlinlever.fleet.experiments;
