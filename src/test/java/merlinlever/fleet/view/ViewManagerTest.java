package merlinlever.fleet.view;

import static merlinlever.fleet.view.ViewFixture.ms;
import static merlinlever.fleet.view.ViewFixture.names;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.LongPredicate;
import merlinlever.fleet.election.ElectionSettings;
import merlinlever.fleet.election.LeaderElection;
import merlinlever.fleet.membership.MemberRecord;
import merlinlever.fleet.membership.MemberStatus;
import merlinlever.fleet.membership.MemberTable;
import org.junit.jupiter.api.Test;

class ViewManagerTest {

    private static final ElectionSettings ELECTION = new ElectionSettings(List.of("b0", "b1", "b2"), ms(2000), 0.01);

    private final ViewCodec codec = new ViewCodec();
    private final MemberTable memberTable = new MemberTable("b0", "g0", "-", 1);

    private final List<String> log = new ArrayList<>();

    private ViewManager manager(
            long incarnationId, long termFloor, LongPredicate persistTerm, SplittableRandom random) {
        LeaderElection election =
                new LeaderElection(ms(0), "b0", ELECTION, termFloor, term -> true, random.split(), line -> {});
        ViewManager.Setup setup = new ViewManager.Setup(
                ViewSettings.defaults(),
                incarnationId,
                termFloor,
                persistTerm,
                random.split(),
                event -> log.add(event.text()));
        return new ViewManager(ms(0), setup, memberTable, election);
    }

    private byte[] complete(MembershipView view) {
        return codec.encode(view, 0);
    }

    private ViewManager managerWithView(MembershipView view, SplittableRandom random) {
        memberTable.merge(new MemberRecord("b1", "g1", "-", MemberStatus.ALIVE, 1));
        ViewManager manager = manager(1L << 20, 0, term -> true, random);
        manager.receivePayload(ms(50), complete(view));
        assertEquals(view, manager.view());
        return manager;
    }

    @Test
    void malformedTextsAndPayloadsChangeNothing() {
        SplittableRandom random = new SplittableRandom(7);
        MembershipView view = MembershipView.of(MembershipView.numberOf(2, 1), names(3));
        ViewManager manager = managerWithView(view, random);
        List<String> texts = List.of(
                "WQ",
                "WA",
                "WG",
                "WO",
                "WP",
                "WQ/1",
                "WQ/zz/-/0/3/.0.1.99",
                "WA/zzzz/ab/1",
                "WA/!/x/0",
                "WG/0",
                "WG/0/zzzzzzzzzzzzzzzzzzz",
                "WQ/1/x/y/z/./");
        for (int i = 0; i < 3000; i++) {
            String text = texts.get(random.nextInt(texts.size()));
            manager.receive(ms(100), "b" + random.nextInt(4), random.nextLong(), text);
            byte[] payload = new byte[random.nextInt(60)];
            random.nextBytes(payload);
            manager.receivePayload(ms(100), payload);
        }
        assertEquals(view, manager.view());
        String json = manager.json(ms(100));
        assertTrue(json.contains("\"hears\":[]") && json.contains("\"clashes\":0"), json);
    }

    @Test
    void anAnswerWithoutAPendingPollIsIgnored() {
        MembershipView view = MembershipView.of(MembershipView.numberOf(2, 1), names(3));
        ViewManager manager = managerWithView(view, new SplittableRandom(7));
        String answer = "WA/" + Long.toString(view.number(), 36) + "/" + view.digest() + "/0";
        for (int i = 0; i < 200; i++) {
            manager.receive(ms(100), "b1", (1L << 20) + i, answer);
        }
        String json = manager.json(ms(100));
        assertTrue(json.contains("\"hears\":[]"), json);
    }

    @Test
    void anOlderViewAndADifferentViewWithTheSameNumberAreNotAdopted() {
        MembershipView view = MembershipView.of(MembershipView.numberOf(2, 1), names(3));
        ViewManager manager = managerWithView(view, new SplittableRandom(7));
        manager.receivePayload(ms(200), complete(MembershipView.of(MembershipView.numberOf(1, 9), names(2))));
        manager.receivePayload(ms(200), complete(MembershipView.of(view.number(), names(2))));
        assertEquals(view, manager.view());
        String json = manager.json(ms(200));
        assertTrue(json.contains("\"clashes\":1"), json);
    }

    @Test
    void aRestartedBackendAdoptsOnlyViewsLaterThanThoseOfItsEarlierIncarnations() {
        long[] persistedTerm = {4};
        ViewManager manager = manager(1, 4, term -> term <= persistedTerm[0], new SplittableRandom(8));
        manager.receivePayload(ms(50), complete(MembershipView.of(MembershipView.numberOf(4, 2), names(3))));
        manager.tick(ms(100));
        assertEquals(
                MembershipView.NONE, manager.view(), "the view has the term on disk and no leader has confirmed it");
        manager.receivePayload(ms(150), complete(MembershipView.of(MembershipView.numberOf(5, 1), names(3))));
        manager.tick(ms(200));
        assertEquals(MembershipView.NONE, manager.view(), "the term of the view is not on disk yet");
        persistedTerm[0] = 5;
        manager.tick(ms(250));
        assertEquals(MembershipView.numberOf(5, 1), manager.view().number());
    }

    /** Fields that the receiver does not need are not parsed, so malformed values in these fields are accepted. */
    @Test
    void malformedTextsAreLoggedWhenTheirFieldsAreParsed() {
        MembershipView view = MembershipView.of(MembershipView.numberOf(2, 1), names(3));
        ViewManager manager = managerWithView(view, new SplittableRandom(7));
        String currentView = Long.toString(view.number(), 36) + "/" + view.digest();
        log.clear();
        List<String> accepted = List.of(
                "WP",
                "WP/x",
                "WO",
                "WQ/1/other/0/3",
                "WQ/1/other/0/3/x",
                "WQ/" + currentView + "/0/3/.0.2",
                "WQ/" + currentView + "/0/3//",
                "WG/!/zzzzzz",
                "WA/1/other/0/more");
        for (String text : accepted) {
            manager.receive(ms(100), "b1", 7, text);
        }
        assertEquals(List.of(), log);
        List<String> malformed = List.of(
                "WQ",
                "WQ/1/other/0",
                "WQ/1/other/0/x",
                "WQ/!/other/0/3",
                "WQ/" + currentView + "/0/3/.99",
                "WQ/" + currentView + "/0/3/.!",
                "WQ/" + currentView + "/0/3//more",
                "WA/1/other",
                "WA/1/other/!",
                "WG/0",
                "WG/!/0",
                "X",
                "/");
        for (String text : malformed) {
            assertEquals(List.of(), manager.receive(ms(100), "b1", 7, text), text);
        }
        assertEquals(
                malformed.stream()
                        .map(text -> "view-message-rejected sender=b1 text=" + text)
                        .toList(),
                log);
    }
}
