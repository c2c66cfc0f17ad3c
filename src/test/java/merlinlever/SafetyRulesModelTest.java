package merlinlever;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * A slow, plain model of the four rules beside the module: it plays a server that starts, ends, stops and calls, with
 * repeats, hang-ups, a drain, cold starts, failed calls and little memory, and checks what the module may do.
 */
class SafetyRulesModelTest {

    private static final Duration SLACK = ControllerFixture.millis(60);

    private static final class ModelRequest {
        int tariff;
        Duration arrival;
        Duration due;
        double kb;
        ModelRequest same;
        boolean running;
        boolean calling;
        boolean out;
        boolean sharing;
        boolean ran;
        boolean answered;
        boolean gone;
        boolean callMayHaveRun;
        boolean over;
        Duration kept;
    }

    private final Map<RequestHandle, ModelRequest> all = new IdentityHashMap<>();
    private final List<RequestHandle> order = new ArrayList<>();
    private SplittableRandom chance;
    private ControllerFixture server;
    private Duration leave;
    private Duration stop;

    @Property(tries = 60, seed = "20261201")
    void theModuleKeepsTheRules(@ForAll long seed) {
        chance = new SplittableRandom(seed);
        all.clear();
        order.clear();
        leave = null;
        double memory = chance.nextBoolean() ? 1500 : 20000;
        server = new ControllerFixture()
                .with("server.memory-kb", memory)
                .with("server.cold", chance.nextBoolean())
                .with("rules.cold-share", 0.25)
                .with("rules.cold", 8000)
                .with("server.halt", chance.nextBoolean() ? "drop" : "none");
        boolean cold = server.given.get("server.cold").equals("true");
        boolean hangs = chance.nextInt(4) == 0;
        for (int step = 0; step < 900 && (leave == null || server.now.compareTo(stop) < 0); step++) {
            server.now = server.now.plusMillis(10);
            if (leave == null && step > 300 && chance.nextInt(200) == 0) {
                leave = server.now;
                stop = leave.plusMillis(3500);
                server.control().leave(server.now, stop);
            }
            int arrivals = chance.nextInt(10) == 0 ? chance.nextInt(12) : chance.nextInt(2);
            for (int i = 0; i < arrivals; i++) {
                arrive();
            }
            if (!(hangs && step > 200 && step < 500)) {
                advance();
            }
            server.control().look(server.now, new double[] {1, onCores()});
            carryOut(server.settle());
            checkLoad(memory, cold);
        }
        for (ModelRequest entry : all.values()) {
            boolean owed = (leave != null && server.now.compareTo(stop) >= 0) || server.now.compareTo(entry.due) > 0;
            assertTrue(!owed || entry.answered || entry.gone, "rule 1 and 3: answered in the end");
        }
    }

    private void arrive() {
        ModelRequest entry = new ModelRequest();
        entry.tariff = chance.nextInt(4);
        double unread = chance.nextInt(4) == 0 ? chance.nextDouble(400) : 5;
        entry.arrival = server.now.minus(ControllerFixture.millis(unread));
        entry.due = entry.arrival.plusMillis(3000);
        entry.kb = 5 + chance.nextDouble(30);
        RequestHandle same = null;
        if (entry.tariff == ControllerFixture.CHARGE || entry.tariff == ControllerFixture.CALLING) {
            for (RequestHandle earlier : order) {
                ModelRequest e = all.get(earlier);
                boolean live = e.kept != null && e.kept.compareTo(entry.arrival) > 0 && (e.ran || !e.over);
                if (live && e.tariff == entry.tariff && e.same == null && chance.nextInt(6) == 0) {
                    same = earlier;
                }
            }
        }
        RequestHandle taken = server.take(entry.tariff, unread, entry.kb, same);
        entry.same = same == null ? null : all.get(same);
        all.put(taken, entry);
        order.add(taken);
    }

    private void advance() {
        order.removeIf(o ->
                all.get(o).over && (all.get(o).kept == null || all.get(o).kept.compareTo(server.now) < 0));
        for (RequestHandle operation : new ArrayList<>(order)) {
            ModelRequest e = all.get(operation);
            if (e.over) {
                continue;
            }
            if (e.running && !e.calling && chance.nextInt(20) == 0) {
                if (e.tariff == ControllerFixture.CALLING && chance.nextBoolean()) {
                    e.calling = true;
                    operation.reachedCall(server.now);
                } else {
                    end(operation, e, chance.nextInt(9) == 0 ? Outcome.ERROR : Outcome.OK);
                }
            } else if (e.out && chance.nextInt(10) == 0) {
                Outcome[] ways = {Outcome.OK, Outcome.OK, Outcome.TURNED_AWAY, Outcome.GIVEN_UP, Outcome.UNREACHABLE};
                Outcome how = ways[chance.nextInt(ways.length)];
                e.callMayHaveRun |= how != Outcome.OK && !how.provesUnrun();
                e.calling = how != Outcome.OK;
                e.out = false;
                operation.callEnded(server.now, how, ControllerFixture.millis(50));
            } else if (e.sharing && e.same.over) {
                end(operation, e, Outcome.OK);
            } else if (!e.answered && chance.nextInt(300) == 0) {
                e.gone = true;
                operation.callerGone(server.now);
                if (!e.running) {
                    e.over = true;
                } else if (e.calling) {
                    end(operation, e, Outcome.STOPPED);
                }
            }
        }
    }

    private void end(RequestHandle operation, ModelRequest e, Outcome how) {
        e.over = true;
        e.running = false;
        e.out = false;
        e.answered = true;
        operation.ended(server.now, how);
    }

    private void carryOut(Decisions settled) {
        for (Decisions.TimedDecision kept : settled.kept) {
            ModelRequest e = all.get(kept.operation());
            if (e.same != null) {
                all.values().stream()
                        .filter(o -> o == e.same || o.same == e.same)
                        .forEach(o -> o.kept = null);
            }
            e.kept = server.now.plus(kept.span());
        }
        for (RequestHandle operation : settled.brokenOff) {
            answer(operation);
        }
        for (RequestHandle operation : settled.halted) {
            ModelRequest e = all.get(operation);
            if (e.running) {
                assertTrue(e.answered || e.gone, "nothing unanswered is stopped here");
                end(operation, e, Outcome.STOPPED);
            }
        }
        for (Decisions.Rejection pushback : settled.pushedBack) {
            ModelRequest e = all.get(pushback.operation());
            assertTrue(!e.ran, "rule 2: what ran is not pushed back");
            answer(pushback.operation());
        }
        for (RequestHandle operation : settled.forgotten) {
            all.get(operation).kept = null;
        }
        for (RequestHandle operation : settled.started) {
            ModelRequest e = all.get(operation);
            assertTrue(!e.answered && !e.gone && !e.running, "only what is held and owed is started");
            assertTrue(!e.ran || e.tariff == ControllerFixture.LOOKUP, "rule 2: nothing with an effect runs twice");
            assertTrue(e.tariff != ControllerFixture.CHARGE || e.kept != null, "rule 2: remembered before it runs");
            assertTrue(e.same == null || !e.same.ran, "rule 2: no repeat of what ran is run");
            assertTrue(leave == null || e.arrival.compareTo(leave.plusMillis(2000)) <= 0, "rule 3: grace");
            e.running = true;
            e.ran = true;
        }
        for (RequestHandle operation : settled.shared) {
            ModelRequest e = all.get(operation);
            assertTrue(e.same != null && !e.answered, "only repeats share");
            e.sharing = true;
        }
        for (Decisions.TimedDecision call : settled.called) {
            ModelRequest e = all.get(call.operation());
            assertTrue(e.calling && !e.out && !e.answered, "only what waits for a call makes one");
            assertTrue(!e.callMayHaveRun, "rule 2: no call again that may have run");
            e.out = true;
        }
    }

    private void answer(RequestHandle operation) {
        ModelRequest e = all.get(operation);
        assertTrue(!e.answered, "rule 1: one answer");
        assertTrue(server.now.compareTo(e.due.plus(SLACK)) <= 0, "rule 1: in time");
        e.answered = true;
        if (!e.running) {
            e.over = true;
        } else if (e.calling) {
            end(operation, e, Outcome.STOPPED);
        }
    }

    private int onCores() {
        return (int) order.stream()
                .map(all::get)
                .filter(e -> e.running && !e.calling)
                .count();
    }

    private void checkLoad(double memory, boolean cold) {
        double used = 0;
        for (RequestHandle operation : order) {
            ModelRequest e = all.get(operation);
            used += e.over ? 0 : e.running ? e.kb * 4 : e.kb;
            used += e.kept != null && e.kept.compareTo(server.now) > 0 ? 100 : 0;
        }
        assertTrue(used <= memory, "rule 4: memory " + used);
        double share = cold ? Math.min(1, 0.25 + 0.75 * ControllerFixture.ms(server.now) / 8000) : 1;
        assertTrue(onCores() <= 8 * (1 + 3 * share), "rule 4: crowd " + onCores());
    }
}
