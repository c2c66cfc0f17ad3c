/**
 * Online experiments (A/B tests) in a fleet: callers are assigned to arms, the results of their requests are counted, and a sequential test
 * that may be evaluated at any time ({@link merlinlever.fleet.experiments.SequentialAnalysis}) decides when to stop. The leader ends an
 * experiment once for the whole fleet ({@link merlinlever.fleet.experiments.ExperimentNode}). Logic only, without input or output.
 */
package merlinlever.fleet.experiments;
