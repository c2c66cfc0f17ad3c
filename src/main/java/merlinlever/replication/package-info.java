/** What the backends of a fleet share: words of owners that merge in any order, and registers that are written once. Decisions alone. */
package merlinlever.replication;
