/** Faults in YAML and drawn from a seed, in the order they are played. */
package merlinlever.testing.faults.script;
