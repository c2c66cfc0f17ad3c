/**
 * Stateless types that every layer uses: arithmetic on durations, and enum constants with fixed external names. The
 * subpackages contain the event loop and sockets, durable storage, JSON, the log and YAML configuration.
 */
package merlinlever.common;
