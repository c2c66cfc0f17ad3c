package merlinlever.dns.text;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CoderResult;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.MalformedDnsException;
import merlinlever.dns.record.Rdata;
import merlinlever.dns.record.RecordTypes;
import merlinlever.dns.record.ResourceRecord;
import merlinlever.dns.record.TimeToLive;
import merlinlever.dns.state.Zone;

/**
 * Reads a zone file (RFC 1035 section 5, {@code $TTL} of RFC 2308 section 4, unknown types of RFC 3597). One fault, and
 * nothing of it is used; all of them are told, up to a bound.
 */
public final class ZoneFile {

    /** Octets of a file with all that it includes, depth of inclusion, faults told, at the most. */
    public static final long MOST_OCTETS = 160L << 20;

    public static final int MOST_DEPTH = 8;
    public static final int MOST_FAULTS = 50;

    /** Why a file was rejected: lines of {@code FILE:LINE: reason}. */
    public static final class InvalidZoneFileException extends Exception {
        private static final long serialVersionUID = 1;
        private final transient List<String> faults;

        InvalidZoneFileException(List<String> faults) {
            super(String.join("\n", faults), null, false, false);
            this.faults = faults;
        }

        public List<String> faults() {
            return faults;
        }
    }

    /** Where a record stood, for the checks that need more than one. */
    private record SourcePosition(Path file, int line) {}

    /** What holds for one file from some line on. */
    private static final class FileScope {
        final Path file;
        byte[] origin;
        byte[] owner;

        FileScope(Path file, byte[] origin) {
            this.file = file;
            this.origin = origin;
        }
    }

    private final Path folder;
    private final List<String> faults = new ArrayList<>();
    private final List<ResourceRecord> records = new ArrayList<>();
    /** The line of each record, and from which record on it is which file. */
    private int[] lines = new int[64];

    private final List<Integer> fileFrom = new ArrayList<>();
    private final List<Path> files = new ArrayList<>();
    private byte[] zone;
    private SourcePosition soa;
    private long defaultTtl = -1;
    private long lastTtl = -1;
    private long octets;
    private String lastOwnerText;
    private byte[] lastOwner;

    private ZoneFile(Path folder, byte[] zone) {
        this.folder = folder;
        this.zone = zone;
    }

    /**
     * Reads a zone file with what it includes.
     *
     * @param origin the zone that is expected, on the wire; null takes it from the SOA's owner
     */
    public static Zone read(Path file, byte[] origin) throws InvalidZoneFileException {
        Path real = file.toAbsolutePath().normalize();
        ZoneFile reading = new ZoneFile(real.getParent(), origin);
        reading.include(file, origin, 0, null);
        reading.check(file, reading.faults.isEmpty());
        if (!reading.faults.isEmpty()) {
            throw new InvalidZoneFileException(List.copyOf(reading.faults));
        }
        return Zone.of(reading.zone, reading.records);
    }

    private void fault(Path file, int line, String reason) {
        if (faults.size() < MOST_FAULTS) {
            faults.add(file + ":" + line + ": " + reason);
        }
    }

    // ---- one file

    private void include(Path file, byte[] origin, int depth, SourcePosition from) {
        SourcePosition at = from == null ? new SourcePosition(file, 1) : from;
        byte[] text;
        try {
            text = octets(file);
        } catch (MalformedDnsException e) {
            fault(at.file, at.line, from == null ? e.getMessage() : file + ": " + e.getMessage());
            return;
        }
        FileScope scope = new FileScope(file, origin);
        enter(file);
        ZoneFileLexer lexer = new ZoneFileLexer(text);
        while (faults.size() < MOST_FAULTS) {
            try {
                if (!lexer.next()) {
                    break;
                }
                entry(scope, lexer, depth);
            } catch (MalformedDnsException e) {
                fault(file, lexer.line(), e.getMessage());
            }
        }
    }

    private void enter(Path file) {
        fileFrom.add(records.size());
        files.add(file);
    }

    private byte[] octets(Path file) throws MalformedDnsException {
        try {
            if (!Files.exists(file)) {
                throw new MalformedDnsException("no such file");
            }
            if (!Files.isRegularFile(file)) {
                throw new MalformedDnsException("not a plain file");
            }
            byte[] text;
            try (InputStream in = Files.newInputStream(file)) {
                // The size that the system tells may be old or none.
                text = in.readNBytes((int) Math.min(Integer.MAX_VALUE - 16, MOST_OCTETS - octets + 1));
            }
            octets += text.length;
            if (octets > MOST_OCTETS) {
                throw new MalformedDnsException("over " + (MOST_OCTETS >> 20) + " MiB with what it includes");
            }
            int wrong = notUtf8(text);
            if (wrong >= 0) {
                int line = 1;
                for (int i = 0; i < wrong; i++) {
                    line += text[i] == '\n' ? 1 : 0;
                }
                throw new MalformedDnsException("not UTF-8 in line " + line);
            }
            return text;
        } catch (IOException e) {
            throw new MalformedDnsException("cannot be read: " + e.getClass().getSimpleName());
        }
    }

    /** Where the octets stop being UTF-8 (or hold a NUL, which no text does), or -1. */
    private static int notUtf8(byte[] text) {
        int plain = 0;
        while (plain < text.length && text[plain] > 0) {
            plain++;
        }
        if (plain == text.length) {
            return -1;
        }
        for (int i = 0; i < text.length; i++) {
            if (text[i] == 0) {
                return i;
            }
        }
        ByteBuffer in = ByteBuffer.wrap(text);
        CharBuffer out = CharBuffer.allocate(8192);
        java.nio.charset.CharsetDecoder decoder = StandardCharsets.UTF_8.newDecoder();
        while (true) {
            CoderResult result = decoder.decode(in, out, true);
            if (result.isError()) {
                return in.position();
            }
            if (result.isUnderflow()) {
                return -1;
            }
            out.clear();
        }
    }

    // ---- one entry

    private void entry(FileScope scope, ZoneFileLexer lexer, int depth) throws MalformedDnsException {
        List<String> words = lexer.words();
        String first = words.get(0);
        if (!lexer.blank() && first.startsWith("$")) {
            directive(scope, lexer, depth);
            return;
        }
        int next = 0;
        if (!lexer.blank()) {
            next = 1;
            scope.owner = null;
            scope.owner = owner(first, scope.origin);
        }
        if (scope.owner == null) {
            throw new MalformedDnsException("no owner: the entry before has none either");
        }
        long ttl = -1;
        boolean classed = false;
        for (; next < words.size(); next++) {
            String word = words.get(next);
            if (!classed && word.equalsIgnoreCase("IN")) {
                classed = true;
            } else if (!classed
                    && (word.equalsIgnoreCase("CH") || word.equalsIgnoreCase("HS") || word.equalsIgnoreCase("CS"))) {
                throw new MalformedDnsException("the class " + word + " is not held here, only IN");
            } else if (ttl < 0 && word.charAt(0) >= '0' && word.charAt(0) <= '9') {
                ttl = timeToLive(word);
            } else {
                break;
            }
        }
        if (next == words.size()) {
            throw new MalformedDnsException("no type");
        }
        int type = RecordTypes.number(words.get(next));
        if (type < 0 || RecordTypes.isMeta(type)) {
            throw new MalformedDnsException((type < 0 ? "unknown type " : "no zone holds the type ")
                    + MalformedDnsException.excerpt(words.get(next)));
        }
        byte[] data = Rdata.fromText(type, words.subList(next + 1, words.size()), scope.origin);
        if (type == RecordTypes.SOA && zone == null) {
            zone = scope.owner;
        }
        if (ttl < 0) {
            ttl = defaultTtl >= 0 ? defaultTtl : lastTtl;
            if (ttl < 0 && type == RecordTypes.SOA) {
                ttl = (data[data.length - 4] & 0x7fL) << 24
                        | (data[data.length - 3] & 0xffL) << 16
                        | (data[data.length - 2] & 0xffL) << 8
                        | (data[data.length - 1] & 0xffL);
            }
            if (ttl < 0) {
                throw new MalformedDnsException("no time to live: none here, no $TTL, none in an entry before");
            }
        }
        lastTtl = ttl;
        if (type == RecordTypes.SOA) {
            if (soa != null) {
                throw new MalformedDnsException("a second SOA; the first is at " + soa.file + ":" + soa.line);
            }
            soa = new SourcePosition(scope.file, lexer.line());
            if (!Arrays.equals(scope.owner, zone)) {
                throw new MalformedDnsException(
                        "the SOA is at " + DomainNames.text(scope.owner) + ", not at " + DomainNames.text(zone));
            }
        }
        if (zone != null && !DomainNames.isUnder(scope.owner, zone)) {
            throw new MalformedDnsException(
                    DomainNames.text(scope.owner) + " is out of the zone " + DomainNames.text(zone));
        }
        if (records.size() == lines.length) {
            lines = Arrays.copyOf(lines, 2 * lines.length);
        }
        lines[records.size()] = lexer.line();
        records.add(new ResourceRecord(scope.owner, type, ttl, data));
    }

    private static long timeToLive(String word) throws MalformedDnsException {
        return TimeToLive.parseSeconds(word)
                .orElseThrow(() -> new MalformedDnsException("expected a time to live from 0 to "
                        + ResourceRecord.MAX_TTL_SECONDS + " seconds, found " + word));
    }

    /** The same owner in entry after entry is one array. */
    private byte[] owner(String text, byte[] origin) throws MalformedDnsException {
        if (text.equals(lastOwnerText) && lastOwner != null) {
            return lastOwner;
        }
        byte[] owner = DomainNames.parse(text, origin);
        lastOwnerText = text;
        lastOwner = owner;
        return owner;
    }

    private void directive(FileScope scope, ZoneFileLexer lexer, int depth) throws MalformedDnsException {
        List<String> words = lexer.words();
        String name = words.get(0).toUpperCase(Locale.ROOT);
        switch (name) {
            case "$ORIGIN" -> {
                count(words, 2, 2, "$ORIGIN NAME");
                scope.origin = DomainNames.parse(words.get(1), scope.origin);
                lastOwnerText = null;
            }
            case "$TTL" -> {
                count(words, 2, 2, "$TTL SECONDS");
                // Without a valid one, the entries that need it are reported as well.
                defaultTtl = -1;
                defaultTtl = timeToLive(words.get(1));
            }
            case "$INCLUDE" -> {
                count(words, 2, 3, "$INCLUDE FILE [ORIGIN]");
                byte[] origin = words.size() == 3 ? DomainNames.parse(words.get(2), scope.origin) : scope.origin;
                Path file = confined(scope.file, words.get(1));
                if (depth >= MOST_DEPTH) {
                    throw new MalformedDnsException("files included over " + MOST_DEPTH + " deep");
                }
                lastOwnerText = null;
                include(file, origin, depth + 1, new SourcePosition(scope.file, lexer.line()));
                lastOwnerText = null;
                enter(scope.file);
            }
            default -> throw new MalformedDnsException("unknown directive "
                    + MalformedDnsException.excerpt(words.get(0)) + "; known are $ORIGIN, $TTL, $INCLUDE");
        }
    }

    private static void count(List<String> words, int least, int most, String form) throws MalformedDnsException {
        if (words.size() < least || words.size() > most) {
            throw new MalformedDnsException("expected " + form);
        }
    }

    /** What is included lies in the folder of the file that was asked for, also behind links. */
    private Path confined(Path from, String word) throws MalformedDnsException {
        String name = word.startsWith("\"") ? word.substring(1, word.length() - 1) : word;
        Path shown = from.resolveSibling(name);
        try {
            Path real = folder.resolve(from.toAbsolutePath().getParent().relativize(shown.toAbsolutePath()))
                    .normalize();
            if (Path.of(name).isAbsolute()
                    || !shown.toAbsolutePath().normalize().startsWith(folder)
                    || !real.startsWith(folder)
                    || (Files.exists(shown) && !shown.toRealPath().startsWith(folder.toRealPath()))
                    || (Files.isSymbolicLink(shown) && !Files.exists(shown, LinkOption.NOFOLLOW_LINKS))) {
                throw new MalformedDnsException(
                        "$INCLUDE " + MalformedDnsException.excerpt(name) + " leaves the folder of the zone file");
            }
        } catch (IOException | RuntimeException e) {
            throw new MalformedDnsException("$INCLUDE " + MalformedDnsException.excerpt(name) + " cannot be followed");
        }
        return shown;
    }

    // ---- the zone as a whole

    private SourcePosition place(int record) {
        int file = 0;
        while (file + 1 < fileFrom.size() && fileFrom.get(file + 1) <= record) {
            file++;
        }
        return new SourcePosition(files.get(file), lines[record]);
    }

    /** @param whole whether every entry could be read: only then is what was not found not there */
    private void check(Path file, boolean whole) {
        if (soa == null && whole) {
            fault(file, 1, "no SOA");
        }
        if (soa == null || faults.size() >= MOST_FAULTS) {
            return;
        }
        // What stood before the SOA of a zone that was not named was not held against it yet.
        record Key(int hash, byte[] owner) {
            @Override
            public boolean equals(Object other) {
                return other instanceof Key key && Arrays.equals(owner, key.owner);
            }

            @Override
            public int hashCode() {
                return hash;
            }
        }

        // Of each name, the first record of each type.
        Map<Key, Map<Integer, Integer>> names = new HashMap<>(records.size());
        boolean ns = false;
        Map<Integer, Integer> firstOfType = null;
        byte[] last = null;
        for (int i = 0; i < records.size() && faults.size() < MOST_FAULTS; i++) {
            ResourceRecord rec = records.get(i);
            if (!DomainNames.isUnder(rec.owner(), zone)) {
                fault(
                        place(i).file,
                        lines[i],
                        DomainNames.text(rec.owner()) + " is out of the zone " + DomainNames.text(zone));
                continue;
            }
            if (rec.owner() != last) {
                last = rec.owner();
                firstOfType = names.computeIfAbsent(new Key(Arrays.hashCode(last), last), key -> new HashMap<>(4));
            }
            ns |= rec.type() == RecordTypes.NS && Arrays.equals(rec.owner(), zone);
            Integer first = firstOfType.putIfAbsent(rec.type(), i);
            if (first != null && records.get(first).ttl() != rec.ttl()) {
                fault(
                        place(i).file,
                        lines[i],
                        "times to live differ within " + DomainNames.text(rec.owner()) + " "
                                + RecordTypes.text(rec.type()) + ": " + rec.ttl() + " here, "
                                + records.get(first).ttl() + " in line " + lines[first]);
            }
            if (first != null
                    && (rec.type() == RecordTypes.CNAME || rec.type() == RecordTypes.DNAME)
                    && !Arrays.equals(records.get(first).data(), rec.data())) {
                fault(
                        place(i).file,
                        lines[i],
                        "a second " + RecordTypes.text(rec.type()) + " at " + DomainNames.text(rec.owner()));
            }
            if (first == null
                    && (rec.type() == RecordTypes.CNAME
                            ? firstOfType.size() > 1
                            : firstOfType.containsKey(RecordTypes.CNAME))) {
                fault(place(i).file, lines[i], "a CNAME beside other data at " + DomainNames.text(rec.owner()));
            }
        }
        if (!ns && whole && faults.isEmpty()) {
            fault(soa.file, soa.line, "no NS at " + DomainNames.text(zone));
        }
    }

    // ---- writing

    /** Writes a zone in the form that {@link #read} takes: the SOA first, each record whole on its line. */
    public static void write(Zone zone, Writer out) throws IOException {
        try {
            zone.soa().forEachRecord(zone.origin(), rec -> line(out, rec));
            zone.each(rec -> {
                if (rec.type() != RecordTypes.SOA) {
                    line(out, rec);
                }
            });
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
    }

    private static void line(Writer out, ResourceRecord rec) {
        try {
            out.write(rec.toString());
            out.write('\n');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
