/**
 * Zones that last: a journal of differences, forced to disk before an update is answered, and snapshots that bound it. The
 * form of the files and what a damaged one means ({@link merlinlever.dns.journal.Form},
 * {@link merlinlever.dns.journal.Recovery}) are apart from the disk ({@link merlinlever.common.storage.Folder}).
 */
package merlinlever.dns.journal;
