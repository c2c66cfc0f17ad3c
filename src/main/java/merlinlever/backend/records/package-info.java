/**
 * Client of the records service, the downstream service of a backend. Each call of a run uses a pooled TCP connection
 * exclusively. The entry point is {@link merlinlever.backend.records.RecordsClient}, which owns the connections and is
 * called through {@link merlinlever.backend.DownstreamService}. All code runs on the event loop's thread.
 */
package merlinlever.backend.records;
