package merlinlever.dns.state;

/**
 * One entry of an update message: a record, or what RFC 2136 writes in the form of one.
 *
 * @param owner on the wire, in lower case
 * @param dclass the class, which says what is meant
 * @param data null where the message had none
 */
public record UpdateEntry(byte[] owner, int type, int dclass, long ttl, byte[] data) {}
