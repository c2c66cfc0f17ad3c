package merlinlever.dns.wire;

/** Sections of a message in wire order (RFC 1035 section 4.1). */
public enum MessageSection {
    /** In an update, the zone (RFC 2136 section 2). */
    QUESTION,
    /** In an update, the prerequisites. */
    ANSWER,
    /** In an update, the changes. */
    AUTHORITY,
    ADDITIONAL;

    /** Returns the header offset of the field that counts the records of the section. */
    int countOffset() {
        return DnsMessage.COUNTS_OFFSET + Short.BYTES * ordinal();
    }
}
