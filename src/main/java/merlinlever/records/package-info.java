/** The records service: calls to the next tier, and the link that carries them. */
package merlinlever.records;
