/**
 * Tools for tests and measurements: fault injection on real processes, models on virtual time, and the measurements that
 * the pages under {@code docs/measurements} show. Nothing that serves uses them.
 */
package merlinlever.testing;
