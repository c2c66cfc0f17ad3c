package merlinlever.dns.text;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.RandomAccessFile;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeSet;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.RecordTypes;
import merlinlever.dns.record.ResourceRecord;
import merlinlever.dns.state.Difference;
import merlinlever.dns.state.Zone;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.xbill.DNS.Master;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;

class ZoneFileTest {

    private static final String HEAD = "$ORIGIN example.org.\n$TTL 60\n@ IN SOA ns1 host 7 1h 15m 1w 5m\n@ NS ns1\n";

    @TempDir
    Path folder;

    private Zone read(String text) throws Exception {
        return ZoneFile.read(Files.writeString(folder.resolve("z"), text, StandardCharsets.ISO_8859_1), null);
    }

    private List<String> faults(String text) throws Exception {
        Path file = Files.writeString(folder.resolve("z"), text, StandardCharsets.ISO_8859_1);
        List<String> faults = assertThrows(
                        ZoneFile.InvalidZoneFileException.class, () -> ZoneFile.read(file, null), text)
                .faults();
        return faults.stream()
                .map(fault -> fault.substring(folder.toString().length() + 1))
                .toList();
    }

    private void rejected(String entry, String reason) throws Exception {
        assertEquals(List.of("z:5: " + reason), faults(HEAD + entry));
    }

    @Test
    void eachFaultIsToldWithItsLineAndNothingIsUsed() throws Exception {
        rejected("x A 1.2.3\n", "not an IPv4 address: 1.2.3");
        rejected("x A 01.2.3.4\n", "not an IPv4 address: 01.2.3.4");
        rejected("x A 1.2.3.4 5\n", "expected an address, found 2 words");
        rejected("x AAAA 1::2::3\n", "not an IPv6 address: 1::2::3");
        rejected("x TXT \"open\n", "a quote is not closed on its line");
        rejected("x TXT ( a\n b\n", "a parenthesis is not closed");
        rejected("x TXT a )\n", "a closing parenthesis without an opening one");
        rejected("x BLA a\n", "unknown type BLA");
        rejected("x CH TXT a\n", "the class CH is not held here, only IN");
        rejected("x\n", "no type");
        rejected("x 9999999999 A 1.2.3.4\n", "expected a time to live from 0 to 2147483647 seconds, found 9999999999");
        rejected("x.example.com. A 1.2.3.4\n", "x.example.com. is out of the zone example.org.");
        rejected("@ SOA ns1 host 8 1 1 1 1\n", "a second SOA; the first is at " + folder.resolve("z") + ":3");
        rejected("x MX 70000 a\n", "expected a number from 0 to 65535, found 70000");
        rejected(
                "x TYPE65400 \\# 2 010203\n",
                "expected \\#, a length, and that number of octets in hexadecimal; found 6 digits");
        rejected("x A \\# 3 010203\n", "address has 3 octets, expected 4");
        rejected("a..b A 1.2.3.4\n", "empty label in a..b");
        rejected("x".repeat(64) + " A 1.2.3.4\n", "label is longer than 63 octets in " + "x".repeat(40) + "...");
        rejected(
                ("y".repeat(60) + ".").repeat(4) + "z A 1.2.3.4\n",
                "domain name is longer than 255 octets: " + "y".repeat(40) + "...");
        rejected("$GENERATE 1-2 a$ A 1.2.3.4\n", "unknown directive $GENERATE; known are $ORIGIN, $TTL, $INCLUDE");
        rejected("$INCLUDE ../other\n", "$INCLUDE ../other leaves the folder of the zone file");
        rejected("$INCLUDE /etc/hostname\n", "$INCLUDE /etc/hostname leaves the folder of the zone file");
        rejected("x\\300 A 1.2.3.4\n", "escape is larger than 255 in x\\300");
        assertEquals(
                List.of("z:6: a CNAME beside other data at c.example.org."), faults(HEAD + "c CNAME x\nc A 1.2.3.4\n"));
        assertEquals(
                List.of("z:6: times to live differ within c.example.org. A: 5 here, 60 in line 5"),
                faults(HEAD + "c A 1.2.3.4\nc 5 A 1.2.3.5\n"));
        assertEquals(List.of("z:1: no SOA"), faults("$ORIGIN a.\n@ 5 NS b\n"));
        assertEquals(List.of("z:1: no NS at a."), faults("a. 5 SOA a. a. 1 1 1 1 1\n"));
        assertEquals(List.of("z:1: not UTF-8 in line 2"), faults("; a\n; \u00ff\n"));
        assertEquals(List.of("z:1: no SOA"), faults(""));
    }

    @Test
    void allFaultsAreToldUpToFifty() throws Exception {
        assertEquals(3, faults(HEAD + "a A x\nb A y\nc A 1.1.1.1\nd A z\n").size());
        assertEquals(50, faults(HEAD + "a A x\n".repeat(80)).size());
    }

    @Test
    void whatIsNoPlainFileOrTooLargeIsRejectedAtOnce() throws Exception {
        assertThrows(ZoneFile.InvalidZoneFileException.class, () -> ZoneFile.read(folder, null));
        assertThrows(ZoneFile.InvalidZoneFileException.class, () -> ZoneFile.read(Path.of("/dev/zero"), null));
        assertThrows(ZoneFile.InvalidZoneFileException.class, () -> ZoneFile.read(folder.resolve("none"), null));
        try (RandomAccessFile large =
                new RandomAccessFile(folder.resolve("large").toFile(), "rw")) {
            large.setLength(200L << 20);
        }
        String said = assertThrows(
                        ZoneFile.InvalidZoneFileException.class, () -> ZoneFile.read(folder.resolve("large"), null))
                .getMessage();
        assertTrue(said.endsWith("over 160 MiB with what it includes"), said);
    }

    @Test
    void includesAreReadInTheirOwnOriginAndNotForEver() throws Exception {
        Files.createDirectories(folder.resolve("sub"));
        Files.writeString(folder.resolve("sub/more"), "a A 1.1.1.1\n$INCLUDE more2\n");
        Files.writeString(folder.resolve("sub/more2"), "b A 1.1.1.2\n");
        Zone zone = read(HEAD + "$INCLUDE sub/more deep\nc A 1.1.1.3\n");
        assertEquals(5, zone.records());
        assertTrue(zone.set(DomainNames.absolute("b.deep.example.org"), RecordTypes.A) != null);
        assertTrue(zone.set(DomainNames.absolute("c.example.org"), RecordTypes.A) != null);
        Files.writeString(folder.resolve("sub/more2"), "b A x\n");
        assertEquals(List.of("sub/more2:1: not an IPv4 address: x"), faults(HEAD + "$INCLUDE sub/more deep\n"));
        Files.writeString(folder.resolve("sub/loop"), "$INCLUDE loop\n");
        assertEquals(List.of("sub/loop:1: files included over 8 deep"), faults(HEAD + "$INCLUDE sub/loop\n"));
        Files.createSymbolicLink(folder.resolve("link"), Path.of("/etc/hostname"));
        assertEquals(1, faults(HEAD + "$INCLUDE link\n").size());
    }

    private static Zone fresh(Path file, String text) throws Exception {
        return ZoneFile.read(Files.writeString(file, text), null);
    }

    /** What is read here is what the library reads, for files that both take; and what is written is read the same. */
    @Test
    void agreesWithTheLibraryOnGoodFiles() throws Exception {
        SplittableRandom chance = new SplittableRandom(4);
        for (int round = 0; round < 60; round++) {
            StringBuilder text = new StringBuilder(HEAD);
            for (int i = 0; i < 40; i++) {
                String owner = chance.nextInt(4) == 0
                        ? ""
                        : "n" + chance.nextInt(20) + (chance.nextInt(3) == 0 ? ".deep" : "");
                text.append(owner)
                        .append(chance.nextBoolean() ? " IN " : " ")
                        .append(
                                switch (chance.nextInt(8)) {
                                    case 0 -> "A 10.0.0." + chance.nextInt(250);
                                    case 1 -> "AAAA 2001:db8::" + Integer.toHexString(chance.nextInt(65536));
                                    case 2 -> "MX ( " + chance.nextInt(99) + " ; comment ) (\n mail" + chance.nextInt(3)
                                            + " )";
                                    case 3 -> "TXT \"a b; (c\\\"\" plain\\059x";
                                    case 4 -> "SRV 1 2 " + chance.nextInt(65536) + " target.example.com.";
                                    case 5 -> "CAA 0 issue \"ca.example.net\"";
                                    case 6 -> "TYPE65400 \\# 4 0a0b0c" + String.format("%02x", chance.nextInt(256));
                                    default -> "SSHFP 1 1 "
                                            + String.format("%040x", chance.nextLong() & Long.MAX_VALUE);
                                })
                        .append('\n');
            }
            Zone ours = read(text.toString());
            TreeSet<String> theirs = new TreeSet<>();
            Master master = new Master(
                    new ByteArrayInputStream(text.toString().getBytes(StandardCharsets.US_ASCII)), Name.root);
            for (Record record = master.nextRecord(); record != null; record = master.nextRecord()) {
                theirs.add(new ResourceRecord(
                                DomainNames.lower(record.getName().toWire()),
                                record.getType(),
                                record.getTTL(),
                                record.rdataToWireCanonical())
                        .toString());
            }
            TreeSet<String> read = new TreeSet<>();
            ours.each(rec -> read.add(rec.toString()));
            assertEquals(theirs, read);
            StringWriter written = new StringWriter();
            ZoneFile.write(ours, written);
            assertEquals(
                    2,
                    Difference.between(ours, fresh(folder.resolve("w"), written.toString()))
                            .records());
        }
    }

    /** Any octets: a zone or faults, in bounded time, and never anything else. */
    @Test
    void garbageIsRejectedInGoodOrder() throws Exception {
        SplittableRandom chance = new SplittableRandom(9);
        byte[] good = (HEAD + "a TXT \"x\" ( y\n z )\nb MX 10 c\n$INCLUDE none\nd CAA 0 issue \"q\"\n")
                .getBytes(StandardCharsets.US_ASCII);
        List<Integer> outcomes = new ArrayList<>();
        for (int i = 0; i < 4000; i++) {
            byte[] bad = good.clone();
            for (int k = chance.nextInt(6); k >= 0; k--) {
                bad[chance.nextInt(bad.length)] = chance.nextBoolean()
                        ? (byte) chance.nextInt(256)
                        : (byte) "\"();\\$@ \n0".charAt(chance.nextInt(10));
            }
            Path file = Files.write(folder.resolve("g"), bad);
            try {
                ZoneFile.read(file, null);
                outcomes.add(0);
            } catch (ZoneFile.InvalidZoneFileException e) {
                outcomes.add(e.faults().size());
                e.faults()
                        .forEach(fault -> assertTrue(
                                fault.matches("(?s).*/g:[0-9]+: .*") && !fault.contains("Exception"), fault));
            }
        }
        assertTrue(outcomes.stream().anyMatch(n -> n > 1));
    }
}
