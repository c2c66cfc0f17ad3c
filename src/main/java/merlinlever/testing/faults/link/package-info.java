/** What links between processes do to what they carry (decisions), and the switch and proxy that carry it out. */
package merlinlever.testing.faults.link;
