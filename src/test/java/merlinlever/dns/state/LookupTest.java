package merlinlever.dns.state;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeSet;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.RecordTypes;
import merlinlever.dns.record.ResourceRecord;
import org.junit.jupiter.api.Test;

class LookupTest {

    private static byte[] name(String text) {
        try {
            return DomainNames.absolute(text);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static Zone zone(List<ResourceRecord> more) throws Exception {
        byte[] origin = name("z.");
        List<ResourceRecord> all = new ArrayList<>(more);
        byte[] soa = new byte[24];
        soa[1] = 0;
        soa[5] = 1;
        all.add(new ResourceRecord(origin, RecordTypes.SOA, 60, soa));
        all.add(new ResourceRecord(origin, RecordTypes.NS, 60, name("ns.z.")));
        return Zone.of(origin, all);
    }

    private static String random(SplittableRandom chance) {
        StringBuilder name = new StringBuilder();
        for (int labels = 1 + chance.nextInt(4); labels > 0; labels--) {
            name.append("*ab".charAt(chance.nextInt(3))).append('.');
        }
        return name + "z.";
    }

    /** By hand: the name itself, or the wildcard below the longest ancestor that exists (RFC 4592 section 3.3.1). */
    private static String slowly(TreeSet<String> names, String asked) {
        if (names.contains(asked)) {
            return asked;
        }
        for (String other : names) {
            if (other.endsWith("." + asked)) {
                return "empty";
            }
        }
        String encloser = asked;
        do {
            encloser = encloser.substring(encloser.indexOf('.') + 1);
            String at = encloser;
            if (names.stream().anyMatch(n -> n.equals(at) || n.endsWith("." + at))) {
                return names.contains("*." + at) ? "*." + at : "none";
            }
        } while (true);
    }

    @Test
    void namesWildcardsAndEmptyOnesAsTheSlowWayFindsThem() throws Exception {
        SplittableRandom chance = new SplittableRandom(5);
        for (int round = 0; round < 400; round++) {
            TreeSet<String> names = new TreeSet<>(List.of("z."));
            List<ResourceRecord> records = new ArrayList<>();
            for (int i = chance.nextInt(8); i >= 0; i--) {
                String name = random(chance);
                if (names.add(name)) {
                    records.add(new ResourceRecord(name(name), RecordTypes.TXT, 60, (" " + name).getBytes(UTF_8)));
                }
            }
            Zone zone = zone(records);
            for (int i = 0; i < 60; i++) {
                String asked = random(chance);
                String wanted = slowly(names, asked);
                Lookup.Answer answer = Lookup.find(zone, name(asked), RecordTypes.TXT);
                String found = answer.code == DynamicUpdate.NXDOMAIN
                        ? "none"
                        : answer.answer.isEmpty()
                                ? "empty"
                                : new String(answer.answer.get(0).set().data(0), UTF_8).substring(1);
                assertEquals(wanted, found, asked + " in " + names);
            }
        }
    }

    @Test
    void renamedTreesAndCutsDecideBeforeWhatIsBelowThem() throws Exception {
        Zone zone = zone(List.of(
                new ResourceRecord(name("old.z."), RecordTypes.DNAME, 60, name("new.z.")),
                new ResourceRecord(name("x.new.z."), RecordTypes.A, 60, new byte[4]),
                new ResourceRecord(name("cut.z."), RecordTypes.NS, 60, name("ns.cut.z.")),
                new ResourceRecord(name("ns.cut.z."), RecordTypes.A, 60, new byte[4]),
                new ResourceRecord(name("cut.z."), RecordTypes.DS, 60, new byte[8]),
                new ResourceRecord(name("loop.z."), RecordTypes.CNAME, 60, name("loop.z."))));
        Lookup.Answer renamed = Lookup.find(zone, name("x.old.z."), RecordTypes.A);
        assertEquals(
                List.of(RecordTypes.DNAME, RecordTypes.CNAME, RecordTypes.A),
                renamed.answer.stream().map(shown -> shown.set().type()).toList());
        Lookup.Answer cut = Lookup.find(zone, name("a.b.cut.z."), RecordTypes.A);
        assertFalse(cut.authoritative);
        assertEquals(RecordTypes.NS, cut.authority.get(0).set().type());
        assertEquals(1, cut.additional.size());
        assertTrue(Lookup.find(zone, name("cut.z."), RecordTypes.DS).authoritative);
        assertEquals(8, Lookup.find(zone, name("loop.z."), RecordTypes.A).answer.size());
    }

    @Test
    void serialsWrap() {
        assertTrue(SerialNumbers.after(1, 0xffff_ffffL));
        assertFalse(SerialNumbers.after(0xffff_ffffL, 1));
        assertFalse(SerialNumbers.after(0x8000_0000L, 0));
        assertFalse(SerialNumbers.after(0, 0x8000_0000L));
        assertFalse(SerialNumbers.after(5, 5));
        assertEquals(1, SerialNumbers.next(0xffff_ffffL));
    }

    /** Any two versions: what lies between them leads from one to the other, and back. */
    @Test
    void differencesLeadFromOneVersionToTheOther() throws Exception {
        SplittableRandom chance = new SplittableRandom(6);
        for (int round = 0; round < 300; round++) {
            Zone[] zones = new Zone[2];
            for (int side = 0; side < 2; side++) {
                List<ResourceRecord> records = new ArrayList<>();
                for (int i = chance.nextInt(20); i >= 0; i--) {
                    records.add(new ResourceRecord(
                            name(random(chance)), 16 + chance.nextInt(2), 60, new byte[] {1, (byte) chance.nextInt(3)
                            }));
                }
                zones[side] = zone(records);
            }
            Zone made = Difference.between(zones[0], zones[1]).applyTo(zones[0]);
            assertEquals(2, Difference.between(made, zones[1]).records());
            assertEquals(zones[1].records(), made.records());
            assertEquals(zones[1].names().size(), made.names().size());
        }
    }
}
