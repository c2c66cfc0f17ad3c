package merlinlever.testing.faults.disk;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

/**
 * The states that a power loss may leave of one folder, made from the record of what passed through its seam
 * ({@link merlinlever.common.storage.RecordingStateDirectory}). Decisions alone: lines in, states out.
 *
 * <p>What the disk is taken to do, after each operation of the record in turn:
 * <ul>
 * <li>a kill keeps all that was written (the kernel has it);</li>
 * <li>a power loss keeps of a file what was forced; of the writes after its last force it may keep the first few, the last
 * of them torn in half, or the last of them alone (reordered: a hole reads as zeros);</li>
 * <li>names made, renamed or taken away since the folder was last forced may be there in the order they were made, up to
 * any point; a rename returns forced, as the seam says.</li>
 * </ul>
 * Where two of these states are the same, the state is given once.
 */
public final class CrashStates {

    /** One state: what the folder holds, and how it came to be. */
    public record CrashState(int cut, String description, SortedMap<String, byte[]> files) {}

    /** A line of the record that is not one the seam writes. */
    public static final class MalformedRecordingException extends Exception {
        private static final long serialVersionUID = 1;

        MalformedRecordingException(int line, String message) {
            super("line " + line + ": " + message);
        }
    }

    private sealed interface RecordedOperation permits Begin, Had, Open, Write, Force, Truncate, Rename, Delete, Sync {}

    /** The folder was opened anew (a start of the process): what it holds is told by the lines that follow. */
    /** @param had files that were there, each told by a line of its own after this one */
    private record Begin(String folder, int had) implements RecordedOperation {}

    private record Had(String name, byte[] octets) implements RecordedOperation {}

    private record Open(String name) implements RecordedOperation {}

    private record Write(String name, long offset, byte[] octets) implements RecordedOperation {}

    private record Force(String name) implements RecordedOperation {}

    private record Truncate(String name, long length) implements RecordedOperation {}

    private record Rename(String from, String to) implements RecordedOperation {}

    private record Delete(String name) implements RecordedOperation {}

    private record Sync() implements RecordedOperation {}

    /** A file apart from its names. */
    private static final class FileContents {
        byte[] current;
        byte[] forced;
        final List<Write> unforced = new ArrayList<>();

        FileContents(byte[] octets) {
            current = octets;
            forced = octets;
        }
    }

    /** What the folder's names go through, kept till the folder is forced. */
    private record DirectoryChange(String name, String to, FileContents made) {}

    private static final Base64.Decoder BASE64 = Base64.getDecoder();
    /** Files larger than this in a record are refused, as the harness lays every state whole. */
    private static final long MOST = 64 << 20;

    private final List<RecordedOperation> ops;
    private final List<String> lines;

    private CrashStates(List<RecordedOperation> ops, List<String> lines) {
        this.ops = ops;
        this.lines = lines;
    }

    /** Of the lines of a record; a last line without its end (the process was killed while telling it) is left out. */
    public static CrashStates parse(String record) throws MalformedRecordingException {
        List<String> lines = new ArrayList<>(Arrays.asList(record.split("\n", -1)));
        lines.remove(lines.size() - 1);
        List<RecordedOperation> ops = new ArrayList<>();
        for (int i = 0; i < lines.size(); i++) {
            ops.add(op(i + 1, lines.get(i)));
        }
        return whole(ops, lines);
    }

    /** Without starts that ended before all was told that was there: they changed nothing, and what was before stands. */
    private static CrashStates whole(List<RecordedOperation> all, List<String> allLines) {
        List<RecordedOperation> ops = new ArrayList<>();
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
            int told = 0;
            if (all.get(i) instanceof Begin begin) {
                while (told < begin.had() && i + told + 1 < all.size() && all.get(i + told + 1) instanceof Had) {
                    told++;
                }
                if (told < begin.had()) {
                    i += told;
                    continue;
                }
            }
            ops.add(all.get(i));
            lines.add(allLines.get(i));
        }
        return new CrashStates(ops, lines);
    }

    private static RecordedOperation op(int at, String line) throws MalformedRecordingException {
        String[] words = line.split(" ", -1);
        try {
            RecordedOperation op =
                    switch (words[0]) {
                        case "folder" -> words.length == 3 ? new Begin(words[1], Integer.parseInt(words[2])) : null;
                        case "had" -> words.length == 3 ? new Had(words[1], BASE64.decode(words[2])) : null;
                        case "open" -> words.length == 2 ? new Open(words[1]) : null;
                        case "write" -> words.length == 4
                                ? new Write(words[1], Long.parseLong(words[2]), BASE64.decode(words[3]))
                                : null;
                        case "force" -> words.length == 2 ? new Force(words[1]) : null;
                        case "truncate" -> words.length == 3 ? new Truncate(words[1], Long.parseLong(words[2])) : null;
                        case "rename" -> words.length == 3 ? new Rename(words[1], words[2]) : null;
                        case "delete" -> words.length == 2 ? new Delete(words[1]) : null;
                        case "sync" -> words.length == 1 ? new Sync() : null;
                        default -> throw new MalformedRecordingException(
                                at,
                                "'" + words[0]
                                        + "' is none of folder, had, open, write, force, truncate, rename, delete, sync");
                    };
            if (op == null) {
                throw new MalformedRecordingException(
                        at, "'" + words[0] + "' with " + (words.length - 1) + " words after it");
            }
            return op;
        } catch (IllegalArgumentException e) {
            throw new MalformedRecordingException(at, "not a number or not base64: " + e.getMessage());
        }
    }

    /** The folder that the record is of, as its last start named it; null where no line names it. */
    public String folder() {
        String folder = null;
        for (RecordedOperation op : ops) {
            if (op instanceof Begin begin) {
                folder = begin.folder();
            }
        }
        return folder;
    }

    /** The states after the last operation of the record: what the folder may hold after a power loss now. */
    public List<CrashState> finalStates() throws MalformedRecordingException {
        List<CrashState> last = new ArrayList<>();
        forEachState(last::add, ops.size());
        return last;
    }

    /** Operations in the record: the cuts are 0 (before the first) to this. */
    public int operations() {
        return ops.size();
    }

    /** The line of an operation, numbered from 1, for telling a failing state. */
    public String line(int number) {
        return lines.get(number - 1);
    }

    /** Every state, cut by cut, each once; returns how many. */
    public int forEachState(Consumer<CrashState> into) throws MalformedRecordingException {
        return forEachState(into, -1);
    }

    /** Of one cut alone where it is not below 0. */
    private int forEachState(Consumer<CrashState> into, int onlyCut) throws MalformedRecordingException {
        Map<String, FileContents> names = new LinkedHashMap<>();
        Map<String, FileContents> forcedNames = new LinkedHashMap<>();
        List<DirectoryChange> namings = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        int[] told = {0};
        Consumer<CrashState> once = state -> {
            if ((onlyCut < 0 || state.cut() == onlyCut) && seen.add(key(state.files()))) {
                told[0]++;
                into.accept(state);
            }
        };
        states(0, names, forcedNames, namings, once);
        for (int i = 0; i < ops.size(); i++) {
            apply(i + 1, ops.get(i), names, forcedNames, namings);
            states(i + 1, names, forcedNames, namings, once);
        }
        return told[0];
    }

    private static void apply(
            int at,
            RecordedOperation op,
            Map<String, FileContents> names,
            Map<String, FileContents> forcedNames,
            List<DirectoryChange> namings)
            throws MalformedRecordingException {
        if (op instanceof Begin) {
            names.clear();
            forcedNames.clear();
            namings.clear();
        } else if (op instanceof Had had) {
            FileContents node = new FileContents(had.octets());
            names.put(had.name(), node);
            forcedNames.put(had.name(), node);
        } else if (op instanceof Open open) {
            if (!names.containsKey(open.name())) {
                FileContents node = new FileContents(new byte[0]);
                names.put(open.name(), node);
                namings.add(new DirectoryChange(open.name(), null, node));
            }
        } else if (op instanceof Write write) {
            FileContents node = node(at, names, write.name());
            if (write.offset() < 0 || write.offset() + write.octets().length > MOST) {
                throw new MalformedRecordingException(at, "a write outside 0 to " + MOST + " octets");
            }
            node.current = written(node.current, write);
            node.unforced.add(write);
        } else if (op instanceof Force force) {
            FileContents node = node(at, names, force.name());
            node.forced = node.current;
            node.unforced.clear();
        } else if (op instanceof Truncate truncate) {
            FileContents node = node(at, names, truncate.name());
            node.current =
                    Arrays.copyOf(node.current, (int) Math.max(0, Math.min(truncate.length(), node.current.length)));
            node.forced = node.current;
            node.unforced.clear();
        } else if (op instanceof Rename rename) {
            names.put(rename.to(), node(at, names, rename.from()));
            names.remove(rename.from());
            namings.add(new DirectoryChange(rename.from(), rename.to(), null));
            named(forcedNames, namings, namings.size());
        } else if (op instanceof Delete delete) {
            if (names.remove(delete.name()) != null) {
                namings.add(new DirectoryChange(delete.name(), null, null));
            }
        } else {
            named(forcedNames, namings, namings.size());
        }
    }

    private static FileContents node(int at, Map<String, FileContents> names, String name)
            throws MalformedRecordingException {
        FileContents node = names.get(name);
        if (node == null) {
            throw new MalformedRecordingException(at, name + " is not there");
        }
        return node;
    }

    /** The first so many namings are on the disk, and leave the list. */
    private static void named(Map<String, FileContents> forcedNames, List<DirectoryChange> namings, int first) {
        for (DirectoryChange naming : namings.subList(0, first)) {
            name(forcedNames, naming);
        }
        namings.subList(0, first).clear();
    }

    private static void name(Map<String, FileContents> into, DirectoryChange naming) {
        if (naming.made() != null) {
            into.put(naming.name(), naming.made());
        } else if (naming.to() != null) {
            FileContents node = into.remove(naming.name());
            if (node != null) {
                into.put(naming.to(), node);
            }
        } else {
            into.remove(naming.name());
        }
    }

    private static byte[] written(byte[] before, Write write) {
        int end = (int) (write.offset() + write.octets().length);
        byte[] after = Arrays.copyOf(before, Math.max(before.length, end));
        System.arraycopy(write.octets(), 0, after, (int) write.offset(), write.octets().length);
        return after;
    }

    private static void states(
            int cut,
            Map<String, FileContents> names,
            Map<String, FileContents> forcedNames,
            List<DirectoryChange> namings,
            Consumer<CrashState> into) {
        into.accept(new CrashState(cut, "kill: all that was written", contents(names, true, null, null)));
        into.accept(new CrashState(cut, "power: what was forced", contents(forcedNames, false, null, null)));
        for (Map.Entry<String, FileContents> entry : names.entrySet()) {
            FileContents node = entry.getValue();
            List<Write> writes = node.unforced;
            for (int k = 0; k < writes.size(); k++) {
                byte[] kept = node.forced;
                for (Write write : writes.subList(0, k)) {
                    kept = written(kept, write);
                }
                if (k > 0) {
                    into.accept(new CrashState(
                            cut,
                            "power: " + entry.getKey() + " keeps " + k + " of " + writes.size()
                                    + " writes since its force",
                            contents(names, false, node, kept)));
                }
                Write next = writes.get(k);
                if (next.octets().length > 1) {
                    Write half = new Write(
                            next.name(), next.offset(), Arrays.copyOf(next.octets(), next.octets().length / 2));
                    into.accept(new CrashState(
                            cut,
                            "power: " + entry.getKey() + " keeps " + k + " of " + writes.size()
                                    + " writes since its force and half of the next",
                            contents(names, false, node, written(kept, half))));
                }
            }
            if (writes.size() > 1) {
                Write last = writes.get(writes.size() - 1);
                into.accept(new CrashState(
                        cut,
                        "power: " + entry.getKey() + " keeps the last of its writes since its force alone",
                        contents(names, false, node, written(node.forced, last))));
            }
        }
        for (int k = 1; k <= namings.size(); k++) {
            Map<String, FileContents> named = new LinkedHashMap<>(forcedNames);
            for (DirectoryChange naming : namings.subList(0, k)) {
                name(named, naming);
            }
            into.accept(new CrashState(
                    cut,
                    "power: " + k + " of " + namings.size() + " changes of names since the folder's force",
                    contents(named, false, null, null)));
        }
    }

    /** Each file as it is now, or as forced but for one that holds what is given (none where odd is null). */
    private static SortedMap<String, byte[]> contents(
            Map<String, FileContents> names, boolean now, FileContents odd, byte[] octets) {
        SortedMap<String, byte[]> files = new TreeMap<>();
        for (Map.Entry<String, FileContents> entry : names.entrySet()) {
            FileContents node = entry.getValue();
            files.put(entry.getKey(), now ? node.current : node == odd ? octets : node.forced);
        }
        return files;
    }

    private static String key(SortedMap<String, byte[]> files) {
        StringBuilder key = new StringBuilder();
        for (Map.Entry<String, byte[]> entry : files.entrySet()) {
            CRC32C crc = new CRC32C();
            crc.update(entry.getValue());
            key.append(entry.getKey())
                    .append(' ')
                    .append(entry.getValue().length)
                    .append(' ')
                    .append(crc.getValue())
                    .append('/');
        }
        return key.toString();
    }
}
