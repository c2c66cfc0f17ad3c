/** The adapter between the bench's wire and the decisions: decodes to calls, encodes from results, decides nothing. */
package merlinlever.wire;
