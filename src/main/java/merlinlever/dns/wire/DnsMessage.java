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
 * A fully parsed DNS message (RFC 1035 section 4, with EDNS as in RFC 6891). Has at most one question; the names in its
 * records are uncompressed.
 */
public final class DnsMessage {

    /** Header flag QR: the message is a response. */
    public static final int RESPONSE = 0x8000;
    /** Header flag AA: the answer is authoritative. */
    public static final int AUTHORITATIVE = 0x0400;
    /** Header flag TC: the message is truncated. */
    public static final int TRUNCATED = 0x0200;
    /** Header flag RD: the client desires recursion. */
    public static final int RECURSION_DESIRED = 0x0100;

    /** Maximum size of a message in octets. */
    public static final int MAX_BYTES = 65_535;
    /** Maximum size in octets of a datagram without EDNS (RFC 1035 section 4.2.1). */
    public static final int MAX_PLAIN_DATAGRAM_BYTES = 512;
    /** Size of the header in octets. */
    public static final int HEADER_BYTES = 12;
    /** Size in octets of the fixed fields of a record: type, class, time to live and length of the data. */
    public static final int RECORD_FIXED_BYTES = 3 * Short.BYTES + Integer.BYTES;

    static final int FLAGS_OFFSET = 2;
    static final int COUNTS_OFFSET = 4;
    /** Size in octets of the fixed fields of a question: type and class. */
    static final int QUESTION_FIXED_BYTES = 2 * Short.BYTES;

    private static final int RESPONSE_CODE_MASK = 0xf;
    private static final int EDNS_VERSION_SHIFT = 16;
    private static final int EDNS_VERSION_MASK = 0xff;
    private static final int EDNS_DNSSEC_OK = 0x8000;

    /**
     * The EDNS fields of a message (RFC 6891 section 6.1).
     *
     * @param maxDatagramBytes the largest datagram that the sender accepts, in octets
     * @param dnssecOk whether the sender accepts DNSSEC records
     */
    public record Edns(int maxDatagramBytes, int version, boolean dnssecOk) {}

    /**
     * A TSIG record (RFC 8945 section 4.2).
     *
     * @param offset the offset of the record in the message
     * @param keyName the name of the key on the wire
     * @param time the time of signing, in Unix seconds
     * @param fudge the permitted clock difference, in seconds
     * @param originalId the id of the message at the time of signing
     */
    public record Signature(
            int offset,
            byte[] keyName,
            byte[] algorithm,
            long time,
            int fudge,
            byte[] mac,
            int originalId,
            int error,
            byte[] otherData) {}

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

    /** Returns the message id, or -1 if the octets are shorter than a header; the rest may be malformed. */
    public static int id(byte[] octets) {
        return octets.length < HEADER_BYTES ? -1 : Octets.u16(octets, 0);
    }

    /** Returns the header flags. The octets contain at least a header; the rest of the message may be malformed. */
    public static int flags(byte[] octets) {
        return Octets.u16(octets, FLAGS_OFFSET);
    }

    /** Parses a whole message. A signature is parsed but not verified. */
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
            throw new MalformedDnsException("message size of " + octets.length + " octets is out of range");
        }
        id = id(octets);
        flags = flags(octets);
        position = HEADER_BYTES;
        parseQuestion();
        parseSection(MessageSection.ANSWER, answers);
        parseSection(MessageSection.AUTHORITY, authority);
        parseSection(MessageSection.ADDITIONAL, additional);
        if (position != octets.length) {
            throw new MalformedDnsException("message has trailing octets");
        }
    }

    private void parseQuestion() throws MalformedDnsException {
        questions = Octets.u16(octets, MessageSection.QUESTION.countOffset());
        if (questions > 1) {
            throw new MalformedDnsException("message has " + questions + " questions; at most one is supported");
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
                throw new MalformedDnsException("TSIG record is followed by another record");
            }
            boolean isLast = section == MessageSection.ADDITIONAL && i == count - 1;
            parseRecord(section, entries, isLast);
        }
    }

    private void requireAvailable(int count) throws MalformedDnsException {
        if (position + count > octets.length) {
            throw new MalformedDnsException("message is truncated");
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
                throw new MalformedDnsException("TSIG record is not last, or has a wrong class or time to live");
            }
            parseSignature(start, owner, end);
        } else {
            boolean isEmpty = length == 0 && recordClass != RecordTypes.IN;
            byte[] data = isEmpty ? null : Rdata.fromWire(recordType, octets, position, length);
            // RFC 2181 section 8: a time to live with the top bit set is treated as 0.
            long effectiveTtl = ttl > ResourceRecord.MAX_TTL_SECONDS ? 0 : ttl;
            entries.add(new UpdateEntry(owner, recordType, recordClass, effectiveTtl, data));
        }
        position = end;
    }

    /**
     * Parses an OPT record: its class is the datagram size, its time to live holds version and flags (RFC 6891 section
     * 6.1).
     */
    private void parseEdns(byte[] owner, int recordClass, long ttl) throws MalformedDnsException {
        if (edns != null || owner.length != 1) {
            throw new MalformedDnsException("OPT record is repeated, or its owner is not the root");
        }
        int version = (int) (ttl >> EDNS_VERSION_SHIFT & EDNS_VERSION_MASK);
        edns = new Edns(recordClass, version, (ttl & EDNS_DNSSEC_OK) != 0);
    }

    private void parseSignature(int start, byte[] keyName, int end) throws MalformedDnsException {
        CompressedNames.DecodedName algorithm = CompressedNames.read(octets, position, end);
        position = algorithm.end();
        if (position + Tsig.FIXED_BYTES > end) {
            throw new MalformedDnsException("TSIG record is truncated");
        }
        long time = (long) next16() << Integer.SIZE | next32();
        int fudge = next16();
        int macLength = next16();
        if (position - Tsig.BYTES_BEFORE_MAC + Tsig.FIXED_BYTES + macLength > end) {
            throw new MalformedDnsException("TSIG record is truncated");
        }
        byte[] mac = Arrays.copyOfRange(octets, position, position + macLength);
        position += macLength;
        int originalId = next16();
        int error = next16();
        int otherLength = next16();
        if (position + otherLength != end) {
            throw new MalformedDnsException("length of the other data in the TSIG record is wrong");
        }
        byte[] otherData = Arrays.copyOfRange(octets, position, end);
        signature = new Signature(start, keyName, algorithm.wire(), time, fudge, mac, originalId, error, otherData);
    }

    /** Returns the octets that the message was parsed from. */
    public byte[] octets() {
        return octets;
    }

    /** Returns the message id, which a response repeats. */
    public int id() {
        return id;
    }

    /** Returns the header flags, including the opcode and the response code. */
    public int flags() {
        return flags;
    }

    /** Whether the message is a response. */
    public boolean isResponse() {
        return (flags & RESPONSE) != 0;
    }

    /** Whether the sender truncated the message to fit a datagram. */
    public boolean isTruncated() {
        return (flags & TRUNCATED) != 0;
    }

    /** Returns the kind of message. */
    public Opcode opcode() {
        return Opcode.ofFlags(flags);
    }

    /** Returns the response code of the header, without the upper bits that EDNS adds. */
    public int code() {
        return flags & RESPONSE_CODE_MASK;
    }

    /** Whether the message has a question (in an update, a zone). */
    public boolean hasQuestion() {
        return questions == 1;
    }

    /** Returns the queried name (in an update, the zone) in lower case, or null without a question. */
    public byte[] name() {
        return name;
    }

    /** Returns the queried type. */
    public int type() {
        return type;
    }

    /** Returns the queried class. */
    public int dclass() {
        return dclass;
    }

    /** Returns the answer section (in an update, the prerequisites). */
    public List<UpdateEntry> answers() {
        return answers;
    }

    /** Returns the authority section (in an update, the changes). */
    public List<UpdateEntry> authority() {
        return authority;
    }

    /** Returns the additional section without its OPT and TSIG records. */
    public List<UpdateEntry> additional() {
        return additional;
    }

    /** Returns the EDNS fields, or null without an OPT record. */
    public Edns edns() {
        return edns;
    }

    /** Returns the TSIG record, or null if the message is unsigned. */
    public Signature signature() {
        return signature;
    }
}
