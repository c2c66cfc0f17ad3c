package merlinlever.dns.wire;

/** Sections of a message, in their order (RFC 1035 section 4.1). */
public enum MessageSection {
    /** In an update, the zone (RFC 2136 section 2). */
    QUESTION,
    /** In an update, the prerequisites. */
    ANSWER,
    /** In an update, the changes. */
    AUTHORITY,
    ADDITIONAL;

    /** The offset in the header of the number of records in the section. */
    int countOffset() {
        return DnsMessage.COUNTS_OFFSET + Short.BYTES * ordinal();
    }
}
