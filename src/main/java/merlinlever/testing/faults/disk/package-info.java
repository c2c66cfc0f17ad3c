/** States that a power loss may leave of a folder, made from the record of its seam: decisions, and laying one down. */
package merlinlever.testing.faults.disk;
