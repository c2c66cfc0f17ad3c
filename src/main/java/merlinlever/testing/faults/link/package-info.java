/** Proxies between the real processes of a test that inject network faults: loss, delay, partitions and resets. */
package merlinlever.testing.faults.link;
