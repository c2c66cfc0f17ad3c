package merlinlever.dns.record;

import java.util.List;
import java.util.Map;

/** Field layouts of the record types whose data contains domain names, which need decompression and lower case. */
final class RdataLayout {

    enum FieldKind {
        DOMAIN_NAME,
        /** A length octet, followed by that number of octets. */
        CHARACTER_STRING,
        FIXED_LENGTH
    }

    /**
     * A field of record data.
     *
     * @param length the size in octets of a fixed-length field, or 0 for other kinds
     */
    record Field(FieldKind kind, int length) {}

    private static final Field NAME = new Field(FieldKind.DOMAIN_NAME, 0);
    private static final Field STRING = new Field(FieldKind.CHARACTER_STRING, 0);
    private static final Field PREFERENCE = fixed(Short.BYTES);
    /** Serial, refresh, retry, expire and minimum (RFC 1035 section 3.3.13). */
    private static final Field SOA_NUMBERS = fixed(5 * Integer.BYTES);
    /** Priority, weight and port (RFC 2782). */
    private static final Field SRV_NUMBERS = fixed(3 * Short.BYTES);
    /** Order and preference (RFC 3403 section 4.1). */
    private static final Field NAPTR_NUMBERS = fixed(2 * Short.BYTES);

    private static final Map<Integer, List<Field>> FIELDS_BY_TYPE = Map.ofEntries(
            Map.entry(RecordTypes.NS, List.of(NAME)),
            Map.entry(RecordTypes.MD, List.of(NAME)),
            Map.entry(RecordTypes.MF, List.of(NAME)),
            Map.entry(RecordTypes.CNAME, List.of(NAME)),
            Map.entry(RecordTypes.MB, List.of(NAME)),
            Map.entry(RecordTypes.MG, List.of(NAME)),
            Map.entry(RecordTypes.MR, List.of(NAME)),
            Map.entry(RecordTypes.PTR, List.of(NAME)),
            Map.entry(RecordTypes.DNAME, List.of(NAME)),
            Map.entry(RecordTypes.SOA, List.of(NAME, NAME, SOA_NUMBERS)),
            Map.entry(RecordTypes.MX, List.of(PREFERENCE, NAME)),
            Map.entry(RecordTypes.AFSDB, List.of(PREFERENCE, NAME)),
            Map.entry(RecordTypes.RT, List.of(PREFERENCE, NAME)),
            Map.entry(RecordTypes.KX, List.of(PREFERENCE, NAME)),
            Map.entry(RecordTypes.MINFO, List.of(NAME, NAME)),
            Map.entry(RecordTypes.RP, List.of(NAME, NAME)),
            Map.entry(RecordTypes.PX, List.of(PREFERENCE, NAME, NAME)),
            Map.entry(RecordTypes.SRV, List.of(SRV_NUMBERS, NAME)),
            Map.entry(RecordTypes.NAPTR, List.of(NAPTR_NUMBERS, STRING, STRING, STRING, NAME)));

    private RdataLayout() {}

    private static Field fixed(int length) {
        return new Field(FieldKind.FIXED_LENGTH, length);
    }

    /** Returns the fields of the type, or an empty list if its data contains no domain names. */
    static List<Field> of(int type) {
        return FIELDS_BY_TYPE.getOrDefault(type, List.of());
    }
}
