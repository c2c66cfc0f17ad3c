/** Fault scripts, read from YAML or generated from a seed. */
package merlinlever.testing.faults.script;
