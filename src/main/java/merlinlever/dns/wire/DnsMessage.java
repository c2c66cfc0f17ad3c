package merlinlever.dns.wire;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import merlinlever.dns.record.CompressedNames;
import merlinlever.dns.record.MalformedDnsException;
import merlinlever.dns.record.Octets;
import merlinlever.dns.record.Rdata;
import merlinlever.dns.record.RecordTypes;
import merlinlever.dns.record.ResourceRecord;
import merlinlever.dns.state.UpdateEntry;

/**
 * A DNS message that was parsed whole (RFC 1035 section 4, EDNS of RFC 6891). It has at most one question; its records are
 * uncompressed.
 */
public final class DnsMessage {

    /** The header flag QR: a response. */
    public static final int RESPONSE = 0x8000;
    /** The header flag AA: an authoritative answer. */
    public static final int AUTHORITATIVE = 0x0400;
    /** The header flag TC: truncated. */
    public static final int TRUNCATED = 0x0200;
    /** The header flag RD: recursion desired. */
    public static final int RECURSION_DESIRED = 0x0100;

    /** Octets of a message. */
    public static final int MAX_BYTES = 65_535;
    /** Octets of a datagram without EDNS (RFC 1035 section 4.2.1). */
    public static final int MAX_PLAIN_DATAGRAM_BYTES = 512;
    /** Octets of the header. */
    public static final int HEADER_BYTES = 12;
    /** Octets of a record beside its owner and data: type, class, time to live, length of the data. */
    public static final int RECORD_FIXED_BYTES = 3 * Short.BYTES + Integer.BYTES;

    static final int FLAGS_OFFSET = 2;
    static final int COUNTS_OFFSET = 4;
    /** Octets of a question beside its name: type and class. */
    static final int QUESTION_FIXED_BYTES = 2 * Short.BYTES;

    private static final int RESPONSE_CODE_MASK = 0xf;
    private static final int EDNS_VERSION_SHIFT = 16;
    private static final int EDNS_VERSION_MASK = 0xff;
    private static final int EDNS_DNSSEC_OK = 0x8000;

    /**
     * EDNS as the sender stated it (RFC 6891 section 6.1).
     *
     * @param payload octets of a datagram that it takes
     * @param dnssec whether it takes DNSSEC records
     */
    public record Edns(int payload, int version, boolean dnssec) {}

    /**
     * A TSIG record (RFC 8945 section 4.2).
     *
     * @param at its offset in the message
     * @param key name of the key
     * @param time when it was signed, in Unix seconds
     * @param fudge seconds by which clocks may differ
     * @param id of the message when it was signed
     */
    public record Signature(
            int at, byte[] key, byte[] algorithm, long time, int fudge, byte[] mac, int id, int error, byte[] other) {}

    private final byte[] octets;
    private int id;
    private int flags;
    private int position;
    private byte[] name;
    private int type;
    private int dclass;
    private int questions;
    private final List<UpdateEntry> answers = new ArrayList<>(0);
    private final List<UpdateEntry> authority = new ArrayList<>(0);
    private final List<UpdateEntry> additional = new ArrayList<>(0);
    private Edns edns;
    private Signature signature;

    private DnsMessage(byte[] octets) {
        this.octets = octets;
    }

    /** The id of what may be no message otherwise; -1 where it is shorter than a header. */
    public static int id(byte[] octets) {
        return octets.length < HEADER_BYTES ? -1 : Octets.u16(octets, 0);
    }

    /** The header flags of what has a header. */
    public static int flags(byte[] octets) {
        return Octets.u16(octets, FLAGS_OFFSET);
    }

    /** Parses a whole message; signatures are parsed and not verified. */
    public static DnsMessage read(byte[] octets) throws MalformedDnsException {
        DnsMessage message = new DnsMessage(octets);
        message.parse();
        return message;
    }

    private int next16() {
        int value = Octets.u16(octets, position);
        position += Short.BYTES;
        return value;
    }

    private long next32() {
        long value = Octets.u32(octets, position);
        position += Integer.BYTES;
        return value;
    }

    private void parse() throws MalformedDnsException {
        if (octets.length < HEADER_BYTES || octets.length > MAX_BYTES) {
            throw new MalformedDnsException("a message of " + octets.length + " octets");
        }
        id = id(octets);
        flags = flags(octets);
        position = HEADER_BYTES;
        parseQuestion();
        parseSection(MessageSection.ANSWER, answers);
        parseSection(MessageSection.AUTHORITY, authority);
        parseSection(MessageSection.ADDITIONAL, additional);
        if (position != octets.length) {
            throw new MalformedDnsException("octets behind the message");
        }
    }

    private void parseQuestion() throws MalformedDnsException {
        questions = Octets.u16(octets, MessageSection.QUESTION.countOffset());
        if (questions > 1) {
            throw new MalformedDnsException(questions + " questions");
        }
        if (questions == 1) {
            name = nextName();
            requireAvailable(QUESTION_FIXED_BYTES);
            type = next16();
            dclass = next16();
        }
    }

    private void parseSection(MessageSection section, List<UpdateEntry> entries) throws MalformedDnsException {
        int count = Octets.u16(octets, section.countOffset());
        for (int i = 0; i < count; i++) {
            if (signature != null) {
                throw new MalformedDnsException("a record behind the signature");
            }
            boolean isLast = section == MessageSection.ADDITIONAL && i == count - 1;
            parseRecord(section, entries, isLast);
        }
    }

    private void requireAvailable(int count) throws MalformedDnsException {
        if (position + count > octets.length) {
            throw new MalformedDnsException("the message is cut short");
        }
    }

    private byte[] nextName() throws MalformedDnsException {
        CompressedNames.DecodedName decoded = CompressedNames.read(octets, position, octets.length);
        position = decoded.end();
        return decoded.wire();
    }

    private void parseRecord(MessageSection section, List<UpdateEntry> entries, boolean isLast)
            throws MalformedDnsException {
        int start = position;
        byte[] owner = nextName();
        requireAvailable(RECORD_FIXED_BYTES);
        int recordType = next16();
        int recordClass = next16();
        long ttl = next32();
        int length = next16();
        requireAvailable(length);
        int end = position + length;
        if (recordType == RecordTypes.OPT && section == MessageSection.ADDITIONAL) {
            parseEdns(owner, recordClass, ttl);
        } else if (recordType == RecordTypes.TSIG) {
            if (!isLast || recordClass != RecordTypes.CLASS_ANY || ttl != 0) {
                throw new MalformedDnsException("a signature that is not the last record");
            }
            parseSignature(start, owner, end);
        } else {
            boolean isEmpty = length == 0 && recordClass != RecordTypes.IN;
            byte[] data = isEmpty ? null : Rdata.fromWire(recordType, octets, position, length);
            // RFC 2181 section 8: a time to live with the top bit set counts as 0.
            long effectiveTtl = ttl > ResourceRecord.MAX_TTL_SECONDS ? 0 : ttl;
            entries.add(new UpdateEntry(owner, recordType, recordClass, effectiveTtl, data));
        }
        position = end;
    }

    /** RFC 6891 section 6.1: the class is the size of datagrams, the time to live holds version and flags. */
    private void parseEdns(byte[] owner, int recordClass, long ttl) throws MalformedDnsException {
        if (edns != null || owner.length != 1) {
            throw new MalformedDnsException("EDNS twice, or under a name");
        }
        int version = (int) (ttl >> EDNS_VERSION_SHIFT & EDNS_VERSION_MASK);
        edns = new Edns(recordClass, version, (ttl & EDNS_DNSSEC_OK) != 0);
    }

    private void parseSignature(int start, byte[] key, int end) throws MalformedDnsException {
        CompressedNames.DecodedName algorithm = CompressedNames.read(octets, position, end);
        position = algorithm.end();
        if (position + Tsig.FIXED_BYTES > end) {
            throw new MalformedDnsException("a signature is cut short");
        }
        long time = (long) next16() << Integer.SIZE | next32();
        int fudge = next16();
        int macLength = next16();
        if (position - Tsig.BYTES_BEFORE_MAC + Tsig.FIXED_BYTES + macLength > end) {
            throw new MalformedDnsException("a signature is cut short");
        }
        byte[] mac = Arrays.copyOfRange(octets, position, position + macLength);
        position += macLength;
        int originalId = next16();
        int error = next16();
        int otherLength = next16();
        if (position + otherLength != end) {
            throw new MalformedDnsException("a signature of a wrong length");
        }
        byte[] other = Arrays.copyOfRange(octets, position, end);
        signature = new Signature(start, key, algorithm.wire(), time, fudge, mac, originalId, error, other);
    }

    /** The message as it was read. */
    public byte[] octets() {
        return octets;
    }

    /** The id, which a response repeats. */
    public int id() {
        return id;
    }

    /** The header flags, with opcode and response code. */
    public int flags() {
        return flags;
    }

    /** Whether it is a response. */
    public boolean isResponse() {
        return (flags & RESPONSE) != 0;
    }

    /** Whether it was cut to fit a datagram. */
    public boolean isTruncated() {
        return (flags & TRUNCATED) != 0;
    }

    /** What kind of message it is. */
    public Opcode opcode() {
        return Opcode.ofFlags(flags);
    }

    /** The response code without what EDNS adds to it. */
    public int code() {
        return flags & RESPONSE_CODE_MASK;
    }

    /** Whether it has a question, or in an update a zone. */
    public boolean hasQuestion() {
        return questions == 1;
    }

    /** The name asked for, or the zone of an update; in lower case. Null without a question. */
    public byte[] name() {
        return name;
    }

    /** The type asked for. */
    public int type() {
        return type;
    }

    /** The class asked for. */
    public int dclass() {
        return dclass;
    }

    /** The answers, or an update's prerequisites. */
    public List<UpdateEntry> answers() {
        return answers;
    }

    /** The authority section, or an update's changes. */
    public List<UpdateEntry> authority() {
        return authority;
    }

    /** The additional section without EDNS and signature. */
    public List<UpdateEntry> additional() {
        return additional;
    }

    /** Null where it has none. */
    public Edns edns() {
        return edns;
    }

    /** Null where it has none. */
    public Signature signature() {
        return signature;
    }
}
