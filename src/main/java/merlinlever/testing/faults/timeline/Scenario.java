package merlinlever.testing.faults.timeline;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Predicate;
import merlinlever.testing.faults.link.LinkFaults;

/**
 * A few nodes of decisions alone on a network and clocks of the play's own, with faults at stated moments; what passes
 * becomes a timeline. Exact: the same nodes, seed and faults are always the same play.
 *
 * <p>A message is drawn as {@link MessageVisibility} says: most of them matter only where hearing them changed what the hearer believes.
 *
 * @param <M> what nodes say to each other
 */
public final class Scenario<M> {

    /** Something that is to be said to another. */
    public record AddressedMessage<M>(String to, M message) {}

    /** One that decides, without input and output; times are since it began. */
    public interface ScenarioNode<M> {
        /** What it says now; asked for each step. */
        List<AddressedMessage<M>> look(Duration now);

        /** It hears that; returns what it says to it. */
        List<AddressedMessage<M>> heard(Duration now, String from, M message);

        /** What it believes, in words, by what it is about; in the order in which it is drawn. What is empty is not drawn. */
        Map<String, String> believes(Duration now);
    }

    /**
     * One that begins.
     *
     * @param life from 1, counted up with each start
     * @param notes what it decides, in words, beside what it believes
     */
    public record NodeContext(String node, int life, Duration now, SplittableRandom chance, Consumer<String> notes) {}

    /** Makes a node where one begins. */
    public interface NodeFactory<M> {
        ScenarioNode<M> born(NodeContext born);
    }

    /** When a message is drawn, where it was said and where it was heard; {@code SAID} is drawn always, and only where it was said. */
    public enum MessageVisibility {
        NEVER,
        EFFECT,
        EFFECT_OR_LOST,
        SAID,
        ALWAYS
    }

    /** How messages are drawn. */
    public interface MessageDescriber<M> {
        String of(M message);

        MessageVisibility show(M message);

        /** What of it is new to one that believed that before, to be drawn behind it where it had an effect; may be empty. */
        default String news(M message, Map<String, String> believed) {
            return "";
        }
    }

    /** Drawn across where something happened that must not. */
    public static final String BROKEN = "BROKEN: ";

    /** Messages on their way at the most. */
    private static final int MOST_UNDER_WAY = 20_000;

    private static final long STEP = 10;
    private static final LinkFaults.LinkFault USUAL =
            LinkFaults.LinkFault.delayed(Duration.ofMillis(STEP), Duration.ZERO);

    private record SentMessage<M>(long at, long order, int from, int to, M message, LazyEvent draft) {}

    private record ScheduledAction<M>(long at, Consumer<Scenario<M>> act) {}

    private static final class NodeSlot<M> {
        ScenarioNode<M> node;
        boolean paused;
        int life;
        long began;
        final List<SentMessage<M>> held = new ArrayList<>();
        Map<String, String> believed = Map.of();
    }

    private final List<String> names;
    private final NodeFactory<M> birth;
    private final MessageDescriber<M> words;
    private final SplittableRandom chance;
    private final LinkFaults links;
    private final List<NodeSlot<M>> places = new ArrayList<>();
    private final PriorityQueue<SentMessage<M>> net =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final List<ScheduledAction<M>> script = new ArrayList<>();
    private final Map<Predicate<Scenario<M>>, Consumer<Scenario<M>>> when = new LinkedHashMap<>();
    private final List<LazyEvent> drafts = new ArrayList<>();
    private long now;
    private long orders;
    /** The moment that is drawn as 0. */
    private long drawn;

    /** @param names one column each, in this order; all begin at 0, but for those that end on {@code '}, which are started by the script */
    public Scenario(long seed, List<String> names, NodeFactory<M> birth, MessageDescriber<M> words) {
        this.names = List.copyOf(names);
        this.birth = birth;
        this.words = words;
        chance = new SplittableRandom(seed);
        links = new LinkFaults(names.size());
        names.forEach(name -> places.add(new NodeSlot<>()));
        heal(null);
    }

    // ---- the script

    /** It is done at that moment, before anything else then. */
    public Scenario<M> at(long ms, Consumer<Scenario<M>> act) {
        script.add(new ScheduledAction<>(ms, act));
        return this;
    }

    /** It is done once, as soon as that is so. */
    public Scenario<M> when(Predicate<Scenario<M>> so, Consumer<Scenario<M>> act) {
        when.put(so, act);
        return this;
    }

    /** It must not be so at any moment; where it is, that is drawn. */
    public Scenario<M> never(String told, Predicate<Scenario<M>> so) {
        return when(so, play -> play.all(BROKEN + told));
    }

    public long now() {
        return now;
    }

    /** The node now, or null where it is down. */
    public ScenarioNode<M> node(String name) {
        return place(name).node;
    }

    /** Its own steady clock now. */
    public Duration clock(String name) {
        return Duration.ofMillis(now - place(name).began);
    }

    public List<String> names() {
        return names;
    }

    private NodeSlot<M> place(String name) {
        int i = names.indexOf(name);
        if (i < 0) {
            throw new IllegalArgumentException("no node " + name);
        }
        return places.get(i);
    }

    public void start(String name) {
        NodeSlot<M> place = place(name);
        place.life++;
        place.began = now;
        place.paused = false;
        place.held.clear();
        note(name, place.life == 1 ? TimelineEvent.STARTED : TimelineEvent.STARTED + " again");
        place.node = birth.born(
                new NodeContext(name, place.life, Duration.ZERO, chance.split(), told -> note(name, "* " + told)));
        place.believed = Map.of();
    }

    public void kill(String name) {
        place(name).node = null;
        place(name).held.clear();
        note(name, TimelineEvent.KILLED);
    }

    public void pause(String name) {
        place(name).paused = true;
        note(name, TimelineEvent.PAUSED);
    }

    /** What came meanwhile is read now. */
    public void resume(String name) {
        NodeSlot<M> place = place(name);
        place.paused = false;
        note(name, TimelineEvent.RESUMED);
        net.addAll(place.held);
        place.held.clear();
    }

    /** Its steady clock goes on from later. */
    public void jump(String name, long ms) {
        place(name).began -= ms;
        note(name, "! its clock jumps by " + ms + " ms");
    }

    /** One way. */
    public void link(String from, String to, LinkFaults.LinkFault fault, String told) {
        links.set(names.indexOf(from), names.indexOf(to), fault);
        all(told);
    }

    /** One way: nothing comes through. */
    public void cut(String from, String to) {
        link(from, to, LinkFaults.LinkFault.CUT, "nothing from " + from + " reaches " + to);
    }

    /** Both ways; each side is names with spaces between, and sides have a bar between. */
    public void partition(String sides) {
        List<Set<Integer>> all = new ArrayList<>();
        for (String side : sides.split(" \\| ")) {
            Set<Integer> of = new LinkedHashSet<>();
            for (String name : side.split(" ")) {
                place(name);
                of.add(names.indexOf(name));
            }
            all.add(of);
        }
        links.partition(all);
        all("parted: " + sides);
    }

    /** Every link loses that share. */
    public void lose(double share) {
        each(new LinkFaults.LinkFault(share, 0, Duration.ofMillis(STEP), Duration.ZERO, 0, false));
        all("every link loses " + Math.round(100 * share) + " % of what is said");
    }

    /** Every link is slow. */
    public void delay(long ms) {
        each(LinkFaults.LinkFault.delayed(Duration.ofMillis(ms), Duration.ZERO));
        all("every link takes " + ms + " ms");
    }

    private void each(LinkFaults.LinkFault fault) {
        for (int i = 0; i < names.size(); i++) {
            for (int k = 0; k < names.size(); k++) {
                links.set(i, k, fault);
            }
        }
    }

    public void heal() {
        heal("all links are well");
    }

    private void heal(String told) {
        each(USUAL);
        if (told != null) {
            all(told);
        }
    }

    /** Drawn across all columns. */
    public void all(String told) {
        drafts.add(new LazyEvent(now, "", told, true));
    }

    public void note(String name, String what) {
        drafts.add(new LazyEvent(now, name, what, true));
    }

    // ---- the play

    /** Plays until then, on from where it was. */
    public Scenario<M> until(long ms) {
        while (now < ms) {
            if (now == 0) {
                for (String name : names) {
                    if (place(name).life == 0 && !name.endsWith("'")) {
                        start(name);
                    }
                }
            }
            for (ScheduledAction<M> fault : List.copyOf(script)) {
                if (fault.at <= now) {
                    script.remove(fault);
                    fault.act.accept(this);
                }
            }
            while (!net.isEmpty() && net.peek().at <= now) {
                arrive(net.poll());
            }
            for (int i = 0; i < places.size(); i++) {
                NodeSlot<M> place = places.get(i);
                if (place.node != null && !place.paused) {
                    List<AddressedMessage<M>> said = place.node.look(clock(names.get(i)));
                    believes(i);
                    send(i, said);
                }
            }
            for (Map.Entry<Predicate<Scenario<M>>, Consumer<Scenario<M>>> entry : List.copyOf(when.entrySet())) {
                if (entry.getKey().test(this)) {
                    when.remove(entry.getKey());
                    entry.getValue().accept(this);
                }
            }
            now += STEP;
        }
        return this;
    }

    private void arrive(SentMessage<M> sent) {
        NodeSlot<M> to = places.get(sent.to);
        MessageVisibility show = words.show(sent.message);
        if (to.node == null) {
            sent.draft.shown |= show == MessageVisibility.EFFECT_OR_LOST;
            return;
        }
        if (to.paused) {
            sent.draft.shown |= show == MessageVisibility.EFFECT_OR_LOST;
            to.held.add(sent);
            return;
        }
        LazyEvent heard = new LazyEvent(
                now,
                names.get(sent.to),
                "< " + names.get(sent.from) + ": " + words.of(sent.message),
                show == MessageVisibility.ALWAYS);
        drafts.add(heard);
        int before = drafts.size();
        Map<String, String> believed = to.believed;
        List<AddressedMessage<M>> said = to.node.heard(clock(names.get(sent.to)), names.get(sent.from), sent.message);
        believes(sent.to);
        if (show != MessageVisibility.NEVER && drafts.size() > before) {
            String news = words.news(sent.message, believed);
            heard.shown = show != MessageVisibility.SAID;
            sent.draft.shown = true;
            heard.what += news;
            sent.draft.what += news;
        }
        send(sent.to, said);
    }

    /** What changed of what it believes is drawn together. */
    private void believes(int i) {
        NodeSlot<M> place = places.get(i);
        Map<String, String> believed = new LinkedHashMap<>(place.node.believes(clock(names.get(i))));
        List<String> changed = NodeStateFormatter.changed(place.believed, believed);
        place.believed = believed;
        if (!changed.isEmpty()) {
            note(names.get(i), "* " + NodeStateFormatter.together(changed));
        }
    }

    private void send(int from, List<AddressedMessage<M>> said) {
        for (AddressedMessage<M> out : said) {
            int to = names.indexOf(out.to);
            if (to < 0 || net.size() >= MOST_UNDER_WAY) {
                throw new IllegalStateException(to < 0 ? "nobody is at " + out.to : "too much is under way");
            }
            MessageVisibility show = words.show(out.message);
            List<Duration> times = links.datagram(Duration.ofMillis(now), from, to, 100, chance);
            boolean lost = times.isEmpty();
            boolean gone = places.get(to).node == null;
            LazyEvent draft = new LazyEvent(
                    now,
                    names.get(from),
                    (lost || gone ? "x " : "> ") + out.to + ": " + words.of(out.message),
                    show == MessageVisibility.ALWAYS
                            || show == MessageVisibility.SAID
                            || (lost && show == MessageVisibility.EFFECT_OR_LOST));
            drafts.add(draft);
            times.forEach(at -> net.add(
                    new SentMessage<>(Math.max(now + 1, at.toMillis()), orders++, from, to, out.message, draft)));
        }
    }

    /** What was before is left out, but for what each believes now; times count from here. */
    public Scenario<M> begin() {
        drafts.clear();
        for (int i = 0; i < places.size(); i++) {
            NodeSlot<M> place = places.get(i);
            if (place.node != null && !place.believed.isEmpty()) {
                note(names.get(i), "* " + NodeStateFormatter.together(place.believed.values()));
            }
        }
        drawn = now;
        return this;
    }

    public Timeline timeline(String title) {
        Timeline timeline = new Timeline(title, names);
        drafts.stream()
                .filter(draft -> draft.shown)
                .forEach(draft -> timeline.add(Duration.ofMillis(draft.at - drawn), draft.node, draft.what));
        return timeline;
    }
}
