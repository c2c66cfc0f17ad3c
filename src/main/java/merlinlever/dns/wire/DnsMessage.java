package merlinlever.dns.wire;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import merlinlever.dns.record.CompressedNames;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.MalformedDnsException;
import merlinlever.dns.record.Rdata;
import merlinlever.dns.record.RecordTypes;
import merlinlever.dns.state.UpdateEntry;

/** A DNS message that was read whole (RFC 1035 section 4, EDNS of RFC 6891). */
public final class DnsMessage {

    /** Operations (RFC 1035 section 4.1.1, RFC 1996, RFC 2136). */
    public static final int QUERY = 0, NOTIFY = 4, UPDATE = 5;
    /** Flags. */
    public static final int RESPONSE = 0x8000, AUTHORITATIVE = 0x0400, TRUNCATED = 0x0200, DESIRED = 0x0100;
    /** Octets of a message at the most, and of a datagram before EDNS. */
    public static final int MOST = 65_535;

    public static final int PLAIN_DATAGRAM = 512;
    private static final int HEADER = 12;

    /** EDNS as the sender stated it. */
    public record Edns(int payload, int version, boolean dnssec) {}

    /** What a signature record said, and where in the message it begins. */
    public record Signature(
            int at, byte[] key, byte[] algorithm, long time, int fudge, byte[] mac, int id, int error, byte[] other) {}

    private final byte[] octets;
    private int id, flags, at;
    private byte[] name;
    private int type, dclass;
    private int questions;
    /** Answers, authority, additional; in an update, prerequisites, changes, additional. */
    private final List<List<UpdateEntry>> sections =
            List.of(new ArrayList<>(0), new ArrayList<>(0), new ArrayList<>(0));

    private Edns edns;
    private Signature signature;

    private DnsMessage(byte[] octets) {
        this.octets = octets;
    }

    /** The id alone, of what may be no message otherwise; -1 where there is not even that. */
    public static int id(byte[] octets) {
        return octets.length < HEADER ? -1 : (octets[0] & 0xff) << 8 | (octets[1] & 0xff);
    }

    public static int flags(byte[] octets) {
        return (octets[2] & 0xff) << 8 | (octets[3] & 0xff);
    }

    public static DnsMessage read(byte[] octets) throws MalformedDnsException {
        DnsMessage message = new DnsMessage(octets);
        message.parse();
        return message;
    }

    private int u16(int from) {
        return (octets[from] & 0xff) << 8 | (octets[from + 1] & 0xff);
    }

    private long u32(int from) {
        return (long) u16(from) << 16 | u16(from + 2);
    }

    private void parse() throws MalformedDnsException {
        if (octets.length < HEADER || octets.length > MOST) {
            throw new MalformedDnsException("a message of " + octets.length + " octets");
        }
        id = u16(0);
        flags = u16(2);
        questions = u16(4);
        if (questions > 1) {
            throw new MalformedDnsException(questions + " questions");
        }
        at = HEADER;
        byte[] room = new byte[DomainNames.MOST];
        if (questions == 1) {
            name = name(room);
            need(4);
            type = u16(at);
            dclass = u16(at + 2);
            at += 4;
        }
        for (int section = 0; section < 3; section++) {
            int count = u16(6 + 2 * section);
            for (int i = 0; i < count; i++) {
                if (signature != null) {
                    throw new MalformedDnsException("a record behind the signature");
                }
                record(section, room, section == 2 && i == count - 1);
            }
        }
        if (at != octets.length) {
            throw new MalformedDnsException("octets behind the message");
        }
    }

    private void need(int count) throws MalformedDnsException {
        if (at + count > octets.length) {
            throw new MalformedDnsException("the message is cut short");
        }
    }

    private byte[] name(byte[] room) throws MalformedDnsException {
        long read = CompressedNames.name(octets, at, octets.length, room);
        at = (int) read;
        return Arrays.copyOf(room, (int) (read >>> 32));
    }

    private void record(int section, byte[] room, boolean last) throws MalformedDnsException {
        int begins = at;
        byte[] owner = name(room);
        need(10);
        int recordType = u16(at);
        int recordClass = u16(at + 2);
        long ttl = u32(at + 4);
        int length = u16(at + 8);
        at += 10;
        need(length);
        if (recordType == RecordTypes.OPT && section == 2) {
            if (edns != null || owner.length != 1) {
                throw new MalformedDnsException("EDNS twice, or under a name");
            }
            edns = new Edns(recordClass, (int) (ttl >> 16 & 0xff), (ttl & 0x8000) != 0);
        } else if (recordType == RecordTypes.TSIG) {
            if (!last || recordClass != RecordTypes.CLASS_ANY || ttl != 0) {
                throw new MalformedDnsException("a signature that is not the last record");
            }
            signature = signature(begins, owner, room, length);
        } else {
            byte[] data = length == 0 && recordClass != RecordTypes.IN
                    ? null
                    : Rdata.fromWire(recordType, octets, at, length);
            // RFC 2181 section 8: with the top bit set it counts as 0.
            sections.get(section)
                    .add(new UpdateEntry(owner, recordType, recordClass, ttl > Integer.MAX_VALUE ? 0 : ttl, data));
        }
        at += length;
    }

    private Signature signature(int begins, byte[] key, byte[] room, int length) throws MalformedDnsException {
        int end = at + length;
        long read = CompressedNames.name(octets, at, end, room);
        byte[] algorithm = Arrays.copyOf(room, (int) (read >>> 32));
        int from = (int) read;
        if (from + 16 > end) {
            throw new MalformedDnsException("a signature is cut short");
        }
        long time = (long) u16(from) << 32 | u32(from + 2);
        int fudge = u16(from + 6);
        int size = u16(from + 8);
        if (from + 16 + size > end) {
            throw new MalformedDnsException("a signature is cut short");
        }
        byte[] mac = Arrays.copyOfRange(octets, from + 10, from + 10 + size);
        from += 10 + size;
        int others = u16(from + 4);
        if (from + 6 + others != end) {
            throw new MalformedDnsException("a signature of a wrong length");
        }
        return new Signature(
                begins,
                key,
                algorithm,
                time,
                fudge,
                mac,
                u16(from),
                u16(from + 2),
                Arrays.copyOfRange(octets, from + 6, end));
    }

    // ---- what it says

    public byte[] octets() {
        return octets;
    }

    public int id() {
        return id;
    }

    public int flags() {
        return flags;
    }

    public boolean response() {
        return (flags & RESPONSE) != 0;
    }

    public boolean truncated() {
        return (flags & TRUNCATED) != 0;
    }

    public int operation() {
        return flags >> 11 & 15;
    }

    /** The response code without what EDNS adds to it. */
    public int code() {
        return flags & 15;
    }

    public boolean hasQuestion() {
        return questions == 1;
    }

    /** The name asked for, or the zone of an update; in lower case. */
    public byte[] name() {
        return name;
    }

    public int type() {
        return type;
    }

    public int dclass() {
        return dclass;
    }

    public List<UpdateEntry> answers() {
        return sections.get(0);
    }

    public List<UpdateEntry> authority() {
        return sections.get(1);
    }

    public List<UpdateEntry> additional() {
        return sections.get(2);
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
