/**
 * Trials: callers split among arms, counts of what became of what they asked, and a test that may be looked at as often as one
 * likes ({@link merlinlever.experiments.Sequential}); ended once, by whoever leads ({@link merlinlever.experiments.Part}). Decisions alone.
 */
package merlinlever.experiments;
