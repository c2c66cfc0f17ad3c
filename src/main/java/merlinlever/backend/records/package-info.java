/**
 * Client of the records service, the next tier: each downstream call of a run has a pooled TCP connection to itself.
 * Everything runs on the event loop's thread.
 */
package merlinlever.backend.records;
