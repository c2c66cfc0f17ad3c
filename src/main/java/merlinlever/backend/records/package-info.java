/**
 * Client of the records service, the downstream service of a backend: each call of a run has a pooled TCP connection to
 * itself. {@link merlinlever.backend.records.RecordsClient} is the entry point and owns the connections; {@code backend}
 * calls it through {@link merlinlever.backend.DownstreamService}. Everything runs on the event loop's thread.
 */
package merlinlever.backend.records;
