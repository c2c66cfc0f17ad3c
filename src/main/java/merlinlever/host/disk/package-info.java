/** What the host agent remembers on disk. */
package merlinlever.host.disk;
