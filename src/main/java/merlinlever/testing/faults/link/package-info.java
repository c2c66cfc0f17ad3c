/** Networks between the real processes of a test that lose, delay, hold or reset what they carry. */
package merlinlever.testing.faults.link;
