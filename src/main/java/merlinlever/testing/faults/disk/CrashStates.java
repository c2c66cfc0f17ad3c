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
 * Enumerates the possible states of a directory after a crash, from the file operations that a
 * {@link merlinlever.common.storage.RecordingStateDirectory} recorded. Performs no I/O.
 *
 * <p>The disk model, applied after each recorded operation:
 * <ul>
 * <li>a kill of the process keeps all writes, because the kernel holds them;</li>
 * <li>a power loss keeps the forced contents of a file; of the writes since the last force, it may keep the first ones,
 * the next one torn in half, or only the last one (reordered: the gap reads as zeros);</li>
 * <li>a power loss keeps any prefix of the files created and deleted since the directory was last forced; a rename is
 * durable when the operation returns.</li>
 * </ul>
 * Identical states are returned once.
 */
public final class CrashStates {

    /** One state of the directory: the number of operations before the crash, its kind and the remaining files. */
    public record CrashState(int cut, String description, SortedMap<String, byte[]> files) {}

    /** Reports an invalid line of a recording. */
    public static final class MalformedRecordingException extends Exception {
        private static final long serialVersionUID = 1;

        MalformedRecordingException(int line, String message) {
            super("line " + line + ": " + message);
        }
    }

    private sealed interface RecordedOperation
            permits Begin, ExistingFile, Open, Write, Force, Truncate, Rename, Delete, Sync {}

    /**
     * The process opened the directory; the following lines list its files.
     *
     * @param fileCount number of existing files, each listed by a line of its own
     */
    private record Begin(String directory, int fileCount) implements RecordedOperation {}

    private record ExistingFile(String name, byte[] bytes) implements RecordedOperation {}

    private record Open(String name) implements RecordedOperation {}

    private record Write(String name, long offset, byte[] bytes) implements RecordedOperation {}

    private record Force(String name) implements RecordedOperation {}

    private record Truncate(String name, long length) implements RecordedOperation {}

    private record Rename(String from, String to) implements RecordedOperation {}

    private record Delete(String name) implements RecordedOperation {}

    private record Sync() implements RecordedOperation {}

    /** The contents of a file, independent of its name. */
    private static final class FileContents {
        byte[] current;
        byte[] forced;
        final List<Write> unforced = new ArrayList<>();

        FileContents(byte[] bytes) {
            current = bytes;
            forced = bytes;
        }
    }

    /**
     * A creation, rename or deletion that has not been forced yet.
     *
     * @param to new name of a renamed file, else null
     * @param created contents of a created file, else null
     */
    private record DirectoryChange(String name, String to, FileContents created) {}

    private static final Base64.Decoder BASE64 = Base64.getDecoder();
    /** Maximum file size in bytes, because a test restores complete states. */
    private static final long MAX_FILE_BYTES = 64 << 20;

    private final List<RecordedOperation> ops;
    private final List<String> lines;

    private CrashStates(List<RecordedOperation> ops, List<String> lines) {
        this.ops = ops;
        this.lines = lines;
    }

    /** Parses the lines of a recording; ignores an incomplete last line, which a kill of the process may leave. */
    public static CrashStates parse(String recording) throws MalformedRecordingException {
        List<String> lines = new ArrayList<>(Arrays.asList(recording.split("\n", -1)));
        lines.remove(lines.size() - 1);
        List<RecordedOperation> ops = new ArrayList<>();
        for (int i = 0; i < lines.size(); i++) {
            ops.add(parseLine(i + 1, lines.get(i)));
        }
        return withoutIncompleteStarts(ops, lines);
    }

    /** Omits starts that ended before they had listed all existing files; these starts changed no file. */
    private static CrashStates withoutIncompleteStarts(List<RecordedOperation> all, List<String> allLines) {
        List<RecordedOperation> ops = new ArrayList<>();
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
            int listed = 0;
            if (all.get(i) instanceof Begin begin) {
                while (listed < begin.fileCount()
                        && i + listed + 1 < all.size()
                        && all.get(i + listed + 1) instanceof ExistingFile) {
                    listed++;
                }
                if (listed < begin.fileCount()) {
                    i += listed;
                    continue;
                }
            }
            ops.add(all.get(i));
            lines.add(allLines.get(i));
        }
        return new CrashStates(ops, lines);
    }

    private static RecordedOperation parseLine(int lineNumber, String line) throws MalformedRecordingException {
        String[] words = line.split(" ", -1);
        try {
            RecordedOperation op =
                    switch (words[0]) {
                        case "folder" -> words.length == 3 ? new Begin(words[1], Integer.parseInt(words[2])) : null;
                        case "had" -> words.length == 3 ? new ExistingFile(words[1], BASE64.decode(words[2])) : null;
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
                                lineNumber,
                                "'" + words[0]
                                        + "' is none of folder, had, open, write, force, truncate, rename, delete, sync");
                    };
            if (op == null) {
                throw new MalformedRecordingException(
                        lineNumber, "'" + words[0] + "' with " + (words.length - 1) + " arguments");
            }
            return op;
        } catch (IllegalArgumentException e) {
            throw new MalformedRecordingException(lineNumber, "invalid number or base64: " + e.getMessage());
        }
    }

    /** Returns the path of the recorded directory at its last start; null without a start. */
    public String directory() {
        String directory = null;
        for (RecordedOperation op : ops) {
            if (op instanceof Begin begin) {
                directory = begin.directory();
            }
        }
        return directory;
    }

    /** Returns the states after the last operation of the recording. */
    public List<CrashState> finalStates() throws MalformedRecordingException {
        List<CrashState> last = new ArrayList<>();
        forEachState(last::add, ops.size());
        return last;
    }

    /** Returns the number of operations; a crash can occur after 0 to this many operations. */
    public int operations() {
        return ops.size();
    }

    /** Returns the recorded line of an operation, numbered from 1. */
    public String line(int number) {
        return lines.get(number - 1);
    }

    /** Passes each distinct state to the consumer in order of operations; returns the number of states. */
    public int forEachState(Consumer<CrashState> into) throws MalformedRecordingException {
        return forEachState(into, -1);
    }

    /** Restricts the states to those after {@code onlyCut} operations, unless negative. */
    private int forEachState(Consumer<CrashState> into, int onlyCut) throws MalformedRecordingException {
        Map<String, FileContents> names = new LinkedHashMap<>();
        Map<String, FileContents> forcedNames = new LinkedHashMap<>();
        List<DirectoryChange> changes = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        int[] count = {0};
        Consumer<CrashState> once = state -> {
            if ((onlyCut < 0 || state.cut() == onlyCut) && seen.add(key(state.files()))) {
                count[0]++;
                into.accept(state);
            }
        };
        states(0, names, forcedNames, changes, once);
        for (int i = 0; i < ops.size(); i++) {
            apply(i + 1, ops.get(i), names, forcedNames, changes);
            states(i + 1, names, forcedNames, changes, once);
        }
        return count[0];
    }

    private static void apply(
            int lineNumber,
            RecordedOperation op,
            Map<String, FileContents> names,
            Map<String, FileContents> forcedNames,
            List<DirectoryChange> changes)
            throws MalformedRecordingException {
        if (op instanceof Begin) {
            names.clear();
            forcedNames.clear();
            changes.clear();
        } else if (op instanceof ExistingFile existing) {
            FileContents node = new FileContents(existing.bytes());
            names.put(existing.name(), node);
            forcedNames.put(existing.name(), node);
        } else if (op instanceof Open open) {
            if (!names.containsKey(open.name())) {
                FileContents node = new FileContents(new byte[0]);
                names.put(open.name(), node);
                changes.add(new DirectoryChange(open.name(), null, node));
            }
        } else if (op instanceof Write write) {
            FileContents node = node(lineNumber, names, write.name());
            if (write.offset() < 0 || write.offset() + write.bytes().length > MAX_FILE_BYTES) {
                throw new MalformedRecordingException(lineNumber, "write outside 0 to " + MAX_FILE_BYTES + " bytes");
            }
            node.current = withWrite(node.current, write);
            node.unforced.add(write);
        } else if (op instanceof Force force) {
            FileContents node = node(lineNumber, names, force.name());
            node.forced = node.current;
            node.unforced.clear();
        } else if (op instanceof Truncate truncate) {
            FileContents node = node(lineNumber, names, truncate.name());
            node.current =
                    Arrays.copyOf(node.current, (int) Math.max(0, Math.min(truncate.length(), node.current.length)));
            node.forced = node.current;
            node.unforced.clear();
        } else if (op instanceof Rename rename) {
            names.put(rename.to(), node(lineNumber, names, rename.from()));
            names.remove(rename.from());
            changes.add(new DirectoryChange(rename.from(), rename.to(), null));
            force(forcedNames, changes, changes.size());
        } else if (op instanceof Delete delete) {
            if (names.remove(delete.name()) != null) {
                changes.add(new DirectoryChange(delete.name(), null, null));
            }
        } else {
            force(forcedNames, changes, changes.size());
        }
    }

    private static FileContents node(int lineNumber, Map<String, FileContents> names, String name)
            throws MalformedRecordingException {
        FileContents node = names.get(name);
        if (node == null) {
            throw new MalformedRecordingException(lineNumber, "file " + name + " does not exist");
        }
        return node;
    }

    /** Makes the first changes durable and removes them from the list. */
    private static void force(Map<String, FileContents> forcedNames, List<DirectoryChange> changes, int count) {
        for (DirectoryChange change : changes.subList(0, count)) {
            apply(forcedNames, change);
        }
        changes.subList(0, count).clear();
    }

    private static void apply(Map<String, FileContents> directory, DirectoryChange change) {
        if (change.created() != null) {
            directory.put(change.name(), change.created());
        } else if (change.to() != null) {
            FileContents node = directory.remove(change.name());
            if (node != null) {
                directory.put(change.to(), node);
            }
        } else {
            directory.remove(change.name());
        }
    }

    private static byte[] withWrite(byte[] before, Write write) {
        int end = (int) (write.offset() + write.bytes().length);
        byte[] after = Arrays.copyOf(before, Math.max(before.length, end));
        System.arraycopy(write.bytes(), 0, after, (int) write.offset(), write.bytes().length);
        return after;
    }

    private static void states(
            int cut,
            Map<String, FileContents> names,
            Map<String, FileContents> forcedNames,
            List<DirectoryChange> changes,
            Consumer<CrashState> into) {
        into.accept(new CrashState(cut, "kill: all writes", contents(names, true, null, null)));
        into.accept(new CrashState(cut, "power: forced contents", contents(forcedNames, false, null, null)));
        for (Map.Entry<String, FileContents> entry : names.entrySet()) {
            FileContents node = entry.getValue();
            List<Write> writes = node.unforced;
            for (int k = 0; k < writes.size(); k++) {
                byte[] kept = node.forced;
                for (Write write : writes.subList(0, k)) {
                    kept = withWrite(kept, write);
                }
                if (k > 0) {
                    into.accept(new CrashState(
                            cut,
                            "power: " + entry.getKey() + " keeps " + k + " of " + writes.size()
                                    + " writes since its last force",
                            contents(names, false, node, kept)));
                }
                Write next = writes.get(k);
                if (next.bytes().length > 1) {
                    Write half =
                            new Write(next.name(), next.offset(), Arrays.copyOf(next.bytes(), next.bytes().length / 2));
                    into.accept(new CrashState(
                            cut,
                            "power: " + entry.getKey() + " keeps " + k + " of " + writes.size()
                                    + " writes since its last force and half of the next",
                            contents(names, false, node, withWrite(kept, half))));
                }
            }
            if (writes.size() > 1) {
                Write last = writes.get(writes.size() - 1);
                into.accept(new CrashState(
                        cut,
                        "power: " + entry.getKey() + " keeps only the last of its writes since its last force",
                        contents(names, false, node, withWrite(node.forced, last))));
            }
        }
        for (int k = 1; k <= changes.size(); k++) {
            Map<String, FileContents> named = new LinkedHashMap<>(forcedNames);
            for (DirectoryChange change : changes.subList(0, k)) {
                apply(named, change);
            }
            into.accept(new CrashState(
                    cut,
                    "power: " + k + " of " + changes.size() + " directory changes since the last force",
                    contents(named, false, null, null)));
        }
    }

    /** Returns the current or forced contents of each file, with other contents for {@code replaced} unless null. */
    private static SortedMap<String, byte[]> contents(
            Map<String, FileContents> names, boolean current, FileContents replaced, byte[] bytes) {
        SortedMap<String, byte[]> files = new TreeMap<>();
        for (Map.Entry<String, FileContents> entry : names.entrySet()) {
            FileContents node = entry.getValue();
            files.put(entry.getKey(), current ? node.current : node == replaced ? bytes : node.forced);
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
