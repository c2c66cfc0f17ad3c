package merlinlever.testing.faults;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import merlinlever.common.WireNamed;
import merlinlever.fleet.view.MembershipView;
import merlinlever.testing.faults.audit.ViewConsistencyAudit;
import merlinlever.testing.faults.link.LinkFaults;
import merlinlever.testing.faults.timeline.LogTimeline;
import merlinlever.testing.faults.timeline.TimelineEvent;
import merlinlever.testing.faults.timeline.TimelineRenderer;

/**
 * Faults among real backends that know who is there: what each tells of its standing and its view is asked for all the
 * while, and after each fault all have to be whole again, under one view. What fails is drawn as a timeline.
 */
public final class ViewFaults {

    /** What happens. */
    public enum ViewFaultKind implements WireNamed {
        /** The smaller part is cut off from the larger, and healed. */
        PARTED("parted"),
        /** One is cut off from all others, and healed. */
        ONE_CUT_OFF("one-cut-off"),
        /** What one says does not reach one other. */
        ONE_WAY("one-way"),
        /** One stands still past every lease and goes on. */
        PAUSE("pause"),
        /** One is killed and begins again. */
        KILL("kill"),
        /** One stands still half of the time. */
        FLAP("flap"),
        /** Every link is slow. */
        SLOW("slow");

        private final String wireName;

        ViewFaultKind(String wireName) {
            this.wireName = wireName;
        }

        @Override
        public String wireName() {
            return wireName;
        }
    }

    /**
     * How it ended.
     *
     * @param views seen anew from the fault until all was well again
     * @param parted until each side knew its standing, or null where that is not asked for
     * @param healed until all were whole under one view
     */
    public record ViewFaultOutcome(
            ViewFaultKind kind,
            long seed,
            int views,
            Duration parted,
            Duration healed,
            List<String> breaches,
            String timeline) {
        public String told() {
            return kind.wireName() + ", seed " + seed + ": " + (breaches.isEmpty() ? "passed" : "FAILED") + ", " + views
                    + " views"
                    + (parted == null ? "" : ", known after " + parted.toMillis() + " ms")
                    + (healed == null ? "" : ", healed after " + healed.toMillis() + " ms")
                    + (breaches.isEmpty()
                            ? ""
                            : "\n  breach: " + String.join("\n  breach: ", breaches) + "\n" + timeline);
        }
    }

    private static final Duration LOOK = Duration.ofMillis(50);

    private final ServeFleet fleet;
    private final Duration patience;
    private ViewConsistencyAudit audit = new ViewConsistencyAudit();
    private LogTimeline logs;

    public ViewFaults(ServeFleet fleet, Duration patience) {
        this.fleet = fleet;
        this.patience = patience;
        logs = logs();
    }

    private LogTimeline logs() {
        return new LogTimeline(
                Instant.now(), fleet.all().stream().map(fleet::name).toList());
    }

    /** Starts all; returns when they are whole under one view. */
    public void begin() throws IOException, InterruptedException {
        for (int i : fleet.all()) {
            start(i);
        }
        if (until(this::allWhole) == null) {
            throw new IOException("not whole within " + patience.toMillis() + " ms: "
                    + audit.lastReports().values() + "\n" + drawn("The start"));
        }
    }

    private void start(int i) throws IOException, InterruptedException {
        logs.note(Instant.now(), fleet.name(i), TimelineEvent.STARTED);
        fleet.start(i);
    }

    private String drawn(String title) throws IOException {
        Map<String, Path> files = new LinkedHashMap<>();
        fleet.all().forEach(i -> files.put(fleet.name(i), fleet.processes().log(fleet.name(i))));
        return TimelineRenderer.draw(logs.timeline(title, files, "recovery: "));
    }

    /** Asks all that run, and notes what changed. */
    private Map<Integer, ViewConsistencyAudit.ReportedView> look() {
        Map<Integer, ViewConsistencyAudit.ReportedView> now = new TreeMap<>();
        for (int i : fleet.all()) {
            JsonNode told = fleet.runs(i) ? fleet.told(i) : null;
            JsonNode view = told == null ? null : told.path("recovery").path("view");
            if (view == null || view.isMissingNode()) {
                continue;
            }
            // Term and count.
            String[] place = view.path("view").asText("0.0").split("\\.");
            long number = place.length == 2
                    ? MembershipView.numberOf(Long.parseLong(place[0]), Integer.parseInt(place[1]))
                    : 0;
            ViewConsistencyAudit.ReportedView its = new ViewConsistencyAudit.ReportedView(
                    fleet.name(i),
                    fleet.processes().starts(fleet.name(i)),
                    view.path("standing").asText(),
                    number,
                    view.path("digest").asText(),
                    view.path("members").asInt());
            ViewConsistencyAudit.ReportedView before = audit.lastReports().get(its.by());
            if (before == null
                    || !before.quorumStatus().equals(its.quorumStatus())
                    || before.number() != its.number()) {
                logs.note(
                        Instant.now(),
                        its.by(),
                        "* " + its.quorumStatus() + ", view "
                                + view.path("view").asText() + " of " + its.members() + " members, hears "
                                + view.path("hears").size());
            }
            audit.recordReport(its);
            now.put(i, its);
        }
        return now;
    }

    /** Looks until it is so; null where that took too long. */
    private Duration until(Predicate<Map<Integer, ViewConsistencyAudit.ReportedView>> so) throws InterruptedException {
        long began = System.nanoTime();
        while (System.nanoTime() - began < patience.toNanos()) {
            if (so.test(look())) {
                return Duration.ofNanos(System.nanoTime() - began);
            }
            Thread.sleep(LOOK.toMillis());
        }
        return null;
    }

    private void watch(long ms) throws InterruptedException {
        for (long until = System.nanoTime() + ms * 1_000_000;
                System.nanoTime() < until;
                Thread.sleep(LOOK.toMillis())) {
            look();
        }
    }

    private boolean allWhole(Map<Integer, ViewConsistencyAudit.ReportedView> told) {
        return told.size() == fleet.count()
                && told.values().stream()
                        .allMatch(each -> each.quorumStatus().equals("whole") && each.members() == fleet.count())
                && told.values().stream()
                                .map(ViewConsistencyAudit.ReportedView::number)
                                .distinct()
                                .count()
                        == 1;
    }

    private static boolean stand(
            Map<Integer, ViewConsistencyAudit.ReportedView> told, Set<Integer> who, List<String> standings) {
        return who.stream()
                .allMatch(i ->
                        told.containsKey(i) && standings.contains(told.get(i).quorumStatus()));
    }

    public ViewFaultOutcome play(ViewFaultKind kind, long seed) throws IOException, InterruptedException {
        SplittableRandom chance = new SplittableRandom(seed);
        audit = new ViewConsistencyAudit();
        logs = logs();
        look();
        int before = audit.viewCount();
        List<String> breaches = new ArrayList<>();
        List<Integer> drawn = new ArrayList<>(fleet.all());
        for (int i = drawn.size() - 1; i > 0; i--) {
            java.util.Collections.swap(drawn, i, chance.nextInt(i + 1));
        }
        int one = drawn.get(0);
        int few = kind == ViewFaultKind.PARTED ? (fleet.count() - 1) / 2 : 1;
        Set<Integer> less = new TreeSet<>(drawn.subList(0, few));
        Set<Integer> most = new TreeSet<>(drawn.subList(few, drawn.size()));
        Duration known = null;
        boolean parts = kind == ViewFaultKind.PARTED || kind == ViewFaultKind.ONE_CUT_OFF;
        switch (kind) {
            case PARTED, ONE_CUT_OFF -> {
                all("parted: " + names(less) + " | " + names(most));
                fleet.on(links -> links.partition(List.of(less, most)));
                // One that is gone for so long is taken out of the view; two of five are not waited for.
                int members = kind == ViewFaultKind.PARTED ? fleet.count() : most.size();
                known = until(told -> stand(told, most, List.of("most"))
                        && stand(told, less, List.of("few", "alone"))
                        && most.stream().allMatch(i -> told.get(i).members() <= members));
            }
            case ONE_WAY -> {
                int other = drawn.get(1);
                all("nothing from " + fleet.name(one) + " reaches " + fleet.name(other));
                fleet.on(links -> links.set(one, other, LinkFaults.LinkFault.CUT));
                watch(4000);
                within(breaches, List.of("few", "alone"));
            }
            case PAUSE -> {
                pause(one);
                watch(4000 + chance.nextInt(1000));
                resume(one);
            }
            case KILL -> {
                logs.note(Instant.now(), fleet.name(one), TimelineEvent.KILLED);
                fleet.powerOff(one);
                known = until(told -> stand(told, most, List.of("most")));
                start(one);
            }
            case FLAP -> {
                for (int i = 0; i < 4; i++) {
                    pause(one);
                    watch(500);
                    resume(one);
                    watch(500);
                }
            }
            default -> {
                all("every link takes 150 to 250 ms");
                fleet.on(links -> fleet.all().forEach(i -> fleet.all().stream()
                        .filter(k -> !k.equals(i))
                        .forEach(k -> links.set(
                                i, k, LinkFaults.LinkFault.delayed(Duration.ofMillis(150), Duration.ofMillis(100))))));
                watch(4000);
                within(breaches, List.of("few", "alone"));
            }
        }
        if ((parts || kind == ViewFaultKind.KILL) && known == null) {
            breaches.add("after " + patience.toMillis() + " ms not known on both sides: " + standings());
        }
        all("all links are well");
        fleet.on(LinkFaults::heal);
        Duration healed = until(this::allWhole);
        if (healed == null) {
            breaches.add("after " + patience.toMillis() + " ms not whole under one view: " + standings());
        }
        breaches.addAll(audit.violations());
        String title = kind.wireName() + ", seed " + seed + "\n" + String.join("\n", breaches);
        return new ViewFaultOutcome(kind, seed, audit.viewCount() - before, known, healed, breaches, drawn(title));
    }

    /** Nobody may have come to these. */
    private void within(List<String> breaches, List<String> standings) {
        audit.lastReports().values().stream()
                .filter(told -> standings.contains(told.quorumStatus()))
                .forEach(told -> breaches.add(told.by() + " is " + told.quorumStatus()));
    }

    private String standings() {
        List<String> all = new ArrayList<>();
        audit.lastReports()
                .values()
                .forEach(told -> all.add(told.by() + " " + told.quorumStatus() + ", view " + told.number()));
        return String.join("; ", all);
    }

    private void all(String what) {
        logs.note(Instant.now(), "", what);
    }

    private String names(Set<Integer> who) {
        return String.join(" ", who.stream().map(fleet::name).toList());
    }

    private void pause(int i) throws IOException, InterruptedException {
        logs.note(Instant.now(), fleet.name(i), TimelineEvent.PAUSED);
        fleet.processes().pause(fleet.name(i));
    }

    private void resume(int i) throws IOException, InterruptedException {
        logs.note(Instant.now(), fleet.name(i), TimelineEvent.RESUMED);
        fleet.processes().resume(fleet.name(i));
    }
}
