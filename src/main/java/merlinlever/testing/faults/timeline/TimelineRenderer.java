package merlinlever.testing.faults.timeline;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Draws a timeline: time downwards in ms, one row a moment, one column a node. The same timeline is always drawn the same.
 * What a node does again before anything turns in its column is drawn once, with how often and until when.
 */
public final class TimelineRenderer {

    /** So wide at the most for up to five nodes; more of them have this much each, however wide it gets. */
    public static final int WIDTH = 100;

    private static final int NARROWEST = 14;
    private static final int TIME = 7;

    private enum LaneStyle {
        RUNS('|'),
        STANDS(':'),
        DOWN(' ');

        final char drawn;

        LaneStyle(char drawn) {
            this.drawn = drawn;
        }
    }

    /** One cell's entry: several sayings of the same at the same moment to several are one. */
    private static final class RowEntry {
        final String before, after;
        final List<String> others = new ArrayList<>();
        final TimelineEvent first;
        int times = 1;
        Duration last;

        RowEntry(TimelineEvent event) {
            first = event;
            last = event.at();
            int colon = event.mark() == '*' || event.mark() == '!'
                    ? -1
                    : event.what().indexOf(": ");
            before = colon < 0 ? event.what() : event.what().substring(0, 2);
            after = colon < 0 ? "" : event.what().substring(colon);
            if (colon >= 0) {
                others.add(event.what().substring(2, colon));
            }
        }

        String key() {
            return before + others + after;
        }

        String drawn() {
            return before
                    + String.join(" ", others)
                    + after
                    + (times == 1 ? "" : " (x" + times + " to " + last.toMillis() + ")");
        }
    }

    private TimelineRenderer() {}

    public static String draw(Timeline timeline) {
        List<String> nodes = timeline.nodes();
        int wide = Math.max(NARROWEST, (WIDTH - TIME) / Math.max(1, nodes.size()) - 3);
        StringBuilder text = new StringBuilder(timeline.title()).append("\n\n");
        line(text, "ms", nodes, new HashMap<>(), wide);
        line(text, "", nodes.stream().map(node -> "-".repeat(wide)).toList(), new HashMap<>(), wide);
        Map<Integer, LaneStyle> lines = new HashMap<>();
        Map<Duration, Map<String, List<RowEntry>>> rows = rows(timeline);
        for (Map.Entry<Duration, Map<String, List<RowEntry>>> row : rows.entrySet()) {
            row(text, row.getKey(), row.getValue(), nodes, lines, wide);
        }
        if (timeline.left() > 0) {
            text.append("... and ").append(timeline.left()).append(" more, for which there was no room\n");
        }
        return text.append('\n').append(legend(timeline)).toString();
    }

    /** By moment and node, repeats folded into the first of them. */
    private static Map<Duration, Map<String, List<RowEntry>>> rows(Timeline timeline) {
        Map<Duration, Map<String, List<RowEntry>>> rows = new TreeMap<>();
        Map<String, Map<String, RowEntry>> lately = new HashMap<>();
        // First what is said at one moment to several, then what is said again.
        for (TimelineEvent event : timeline.events()) {
            List<RowEntry> cell = rows.computeIfAbsent(event.at(), at -> new LinkedHashMap<>())
                    .computeIfAbsent(event.node(), node -> new ArrayList<>());
            RowEntry entry = new RowEntry(event);
            RowEntry same = entry.others.isEmpty()
                    ? null
                    : cell.stream()
                            .filter(each -> each.before.equals(entry.before) && each.after.equals(entry.after))
                            .findFirst()
                            .orElse(null);
            if (same == null) {
                cell.add(entry);
            } else if (!same.others.contains(entry.others.get(0))) {
                same.others.add(entry.others.get(0));
            } else {
                same.times++;
            }
        }
        for (Map<String, List<RowEntry>> row : rows.values()) {
            if (row.containsKey("")) {
                lately.clear();
            }
            row.forEach((node, cell) -> {
                Map<String, RowEntry> its = lately.computeIfAbsent(node, none -> new HashMap<>());
                cell.removeIf(entry -> {
                    if (entry.first.turns()) {
                        its.clear();
                        return false;
                    }
                    RowEntry before = its.putIfAbsent(entry.key(), entry);
                    if (before != null) {
                        before.times += entry.times;
                        before.last = entry.last;
                    }
                    return before != null;
                });
            });
        }
        return rows;
    }

    private static void row(
            StringBuilder text,
            Duration at,
            Map<String, List<RowEntry>> row,
            List<String> nodes,
            Map<Integer, LaneStyle> lines,
            int wide) {
        String time = Long.toString(at.toMillis());
        for (RowEntry entry : row.getOrDefault("", List.of())) {
            int whole = (wide + 3) * nodes.size();
            String said = " == " + entry.drawn() + " ";
            for (String part : wrapped(said, whole)) {
                text.append(String.format("%" + TIME + "s", time))
                        .append(part)
                        .append(part.equals(said) ? "=".repeat(Math.max(0, whole - part.length())) : "")
                        .append('\n');
                time = "";
            }
        }
        List<List<String>> cells = new ArrayList<>();
        int high = 0;
        for (String node : nodes) {
            List<String> cell = new ArrayList<>();
            for (RowEntry entry : row.getOrDefault(node, List.of())) {
                cell.addAll(wrapped(entry.drawn(), wide));
            }
            cells.add(cell);
            high = Math.max(high, cell.size());
        }
        for (int k = 0; k < nodes.size(); k++) {
            for (RowEntry entry : row.getOrDefault(nodes.get(k), List.of())) {
                if (entry.first.what().startsWith(TimelineEvent.STARTED)
                        || entry.first.what().startsWith(TimelineEvent.RESUMED)) {
                    lines.put(k, LaneStyle.RUNS);
                }
            }
        }
        for (int i = 0; i < high; i++) {
            List<String> parts = new ArrayList<>();
            for (List<String> cell : cells) {
                parts.add(i < cell.size() ? cell.get(i) : "");
            }
            line(text, i == 0 ? time : "", parts, lines, wide);
        }
        for (int k = 0; k < nodes.size(); k++) {
            for (RowEntry entry : row.getOrDefault(nodes.get(k), List.of())) {
                if (entry.first.what().startsWith(TimelineEvent.KILLED)) {
                    lines.put(k, LaneStyle.DOWN);
                } else if (entry.first.what().startsWith(TimelineEvent.PAUSED)) {
                    lines.put(k, LaneStyle.STANDS);
                }
            }
        }
    }

    private static void line(
            StringBuilder text, String time, List<String> parts, Map<Integer, LaneStyle> lines, int wide) {
        StringBuilder line = new StringBuilder(String.format("%" + TIME + "s", time));
        for (int k = 0; k < parts.size(); k++) {
            String part = parts.get(k);
            line.append(' ')
                    .append(lines.getOrDefault(k, LaneStyle.RUNS).drawn)
                    .append(' ')
                    .append(part)
                    .append(" ".repeat(Math.max(0, wide - part.length())));
        }
        text.append(line.toString().stripTrailing()).append('\n');
    }

    /** At spaces where there are some, else in the middle of a word; what goes on is set in by two. */
    static List<String> wrapped(String what, int wide) {
        List<String> parts = new ArrayList<>();
        String rest = what;
        while (rest.length() > wide) {
            int space = rest.lastIndexOf(' ', wide);
            // Not in the set-in before a word that is too long itself, nor right after the mark.
            boolean there = space > 2;
            parts.add((there ? rest.substring(0, space) : rest.substring(0, wide)).stripTrailing());
            rest = "  " + (there ? rest.substring(space + 1) : rest.substring(wide));
        }
        parts.add(rest);
        return parts;
    }

    /** Of what is drawn alone. */
    private static String legend(Timeline timeline) {
        Map<Character, String> marks = new LinkedHashMap<>();
        marks.put('>', "> to: says");
        marks.put('x', "x to: says, and it is lost");
        marks.put('<', "< from: hears");
        marks.put('*', "* believes or decides");
        marks.put('!', "! is done to it");
        List<String> used = new ArrayList<>();
        marks.forEach((mark, told) -> {
            if (timeline.events().stream().anyMatch(event -> !event.node().isEmpty() && event.mark() == mark)) {
                used.add(told);
            }
        });
        return String.join("   ", used)
                + "\n| runs   : stands still   (no line) is down   == for all   (x3 to 900) three times, last at 900\n";
    }
}
