/** Timelines as text, one column a node: what each heard, believed, decided and sent, in virtual time or from the logs of processes. */
package merlinlever.testing.faults.timeline;
