/**
 * Types without any state that every layer uses: arithmetic of durations, and constants that have a name outside the
 * program. The packages below hold the event loop and sockets, durable storage, JSON, the log and YAML configuration.
 */
package merlinlever.common;
