package slipfield.client.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The parts of a tracker, and what it makes of senders that fail. */
class OrderTrackerTest {
    /** Senders that are always connected, and hand-ins that the test answers. */
    private static final class Desk implements OrderTracker.Actions {
        private final OrderTracker tracker;
        private final Map<Long, End> ends = new HashMap<>();
        private final List<String> sentTo = new ArrayList<>();
        private long number;
        private long last;
        private int lastAttempt;

        Desk(Rules rules, String... senders) {
            tracker = new OrderTracker(rules, new SplittableRandom(5), 0, this);
            tracker.updateSenders(0, List.of(senders));
        }

        long submit(long now, long withinMs) {
            tracker.submit(now, number, ClassRule.unsafe(), "7", "t", withinMs);
            return number++;
        }

        void answer(long now, SubmissionReply heard) {
            tracker.onReply(now, last, lastAttempt, heard, true, false);
        }

        private String at() {
            return sentTo.get(sentTo.size() - 1);
        }

        @Override
        public void send(long order, int attempt, String sender, long budgetMs, OrderTracker.PreviousSubmission again) {
            last = order;
            lastAttempt = attempt;
            sentTo.add(sender);
        }

        @Override
        public void abandon(long order, int attempt) {
        }

        @Override
        public void connect(String sender, boolean probe) {
        }

        @Override
        public void complete(long order, End end) {
            ends.put(order, end);
        }
    }

    @Test
    void repeatsAreAShareOfWhatComesFirst() {
        RetryBudget budget = new RetryBudget(0.2, 10, 0);
        for (int i = 0; i < 10; i++) {
            assertTrue(budget.take(0));
        }
        assertFalse(budget.take(0));
        assertEquals(1000, budget.nextMs(0));
        for (int i = 0; i < 50; i++) {
            budget.first();
        }
        int repeats = 0;
        while (budget.take(0)) {
            repeats++;
        }
        assertEquals(10, repeats, 1);
        assertTrue(budget.take(1000) && !budget.take(1000), "and one a second");
    }

    @Test
    void theLevelFindsWhatASenderAnswersQuickly() {
        ConcurrencyLimit level = new ConcurrencyLimit(2, 100, 0);
        assertEquals(8, level.level());
        long now = 0;
        // A sender that takes 20 at once: each more adds to the time that its answer takes.
        for (int i = 0; i < 20_000; i++) {
            now++;
            int out = level.level();
            level.answered(now, 5 + 2.0 * Math.max(0, out - 20), out);
        }
        assertTrue(level.level() >= 18 && level.level() <= 32, "it is " + level.level());
        for (int i = 0; i < 100; i++) {
            now += 200;
            level.pushedBack(now);
        }
        assertEquals(2, level.level());
    }

    @Test
    void oneFaultCutsTheLevelOnce() {
        ConcurrencyLimit level = new ConcurrencyLimit(2, 100, 0);
        for (int i = 0; i < 50; i++) {
            level.pushedBack(1000);
        }
        assertEquals(5, level.level());
    }

    @Test
    void aSenderThatDoesNotAnswerIsLeftAlone() {
        Rules rules = Rules.DEFAULT;
        Desk desk = new Desk(rules, "bad", "good");
        for (String sender : List.of("bad", "good")) {
            for (int i = 0; i < 8; i++) {
                desk.tracker.onConnected(0, sender);
            }
        }
        long now = 10_000;
        int lost = 0;
        while (lost < rules.ejectAfter()) {
            desk.submit(now, 20_000);
            boolean bad = desk.at().equals("bad");
            desk.answer(now, bad ? SubmissionReply.lost("") : SubmissionReply.accepted());
            lost += bad ? 1 : 0;
        }
        desk.sentTo.clear();
        for (int i = 0; i < 200; i++) {
            desk.submit(now + 10, 20_000);
            desk.answer(now + 10, SubmissionReply.accepted());
        }
        for (int i = 0; i < 9; i++) {
            desk.submit(now + 20, 20_000);
        }
        assertFalse(desk.sentTo.contains("bad"), "it is left alone, though the other has no connection free");
        desk.tracker.close(now + 30);
    }

    @Test
    void aSenderThatComesBackGetsItsPartSlowly() {
        Desk desk = new Desk(Rules.DEFAULT.atMost(64, 64), "fresh", "old");
        for (int i = 0; i < 20; i++) {
            desk.tracker.onConnected(0, "old");
        }
        for (int i = 0; i < 20; i++) {
            desk.tracker.onConnected(100_000, "fresh");
        }
        for (int i = 0; i < 12; i++) {
            desk.submit(100_001, 20_000);
        }
        assertTrue(desk.sentTo.stream().filter("fresh"::equals).count() <= 2, "of 12: " + desk.sentTo);
    }

    @Test
    void withEverySenderLeftAloneOneIsAskedStill() {
        Desk desk = new Desk(Rules.DEFAULT, "only");
        for (int i = 0; i < 30; i++) {
            desk.tracker.onConnected(0, "only");
        }
        for (int i = 0; i < 10; i++) {
            desk.submit(10, 20_000);
            desk.answer(10, SubmissionReply.lost(""));
        }
        assertEquals(10, desk.sentTo.size());
    }

    @Test
    void whatASenderHasIsNotCalledOff() {
        Desk desk = new Desk(Rules.DEFAULT.following(true), "s");
        desk.tracker.onConnected(0, "s");
        long taken = desk.submit(0, 20_000);
        desk.answer(5, SubmissionReply.accepted());
        assertFalse(desk.tracker.cancel(6, taken));
        assertTrue(desk.ends.isEmpty());
        desk.tracker.onFinalAnswer(7, taken, 1, new End.Delivered());
        assertInstanceOf(End.Delivered.class, desk.ends.get(taken));
    }

    @Test
    void ordersWhoseTimeEndsFirstGoFirst() {
        Desk desk = new Desk(Rules.DEFAULT.atMost(1, 1), "s");
        long late = desk.submit(0, 20_000);
        long soon = desk.submit(0, 5000);
        desk.tracker.onConnected(10, "s");
        assertEquals(soon, desk.last);
        desk.answer(20, SubmissionReply.accepted());
        assertEquals(late, desk.last);
    }

    @Test
    void moreThanMayWaitIsRefusedAtOnce() {
        Desk desk = new Desk(Rules.DEFAULT, "s");
        long last = 0;
        for (int i = 0; i <= Rules.DEFAULT.mostQueued(); i++) {
            last = desk.submit(0, 20_000);
        }
        assertEquals(1, desk.ends.size());
        assertInstanceOf(End.Refused.class, desk.ends.get(last));
    }

    @Test
    void aDeliveryThatIsToldBeforeItsAnswerEndsTheOrderAndFreesTheConnectionLater() {
        Desk desk = new Desk(Rules.DEFAULT.following(true).atMost(1, 1), "s");
        desk.tracker.onConnected(0, "s");
        long first = desk.submit(0, 20_000);
        desk.tracker.onFinalAnswer(5, first, 1, new End.Delivered());
        assertInstanceOf(End.Delivered.class, desk.ends.get(first));
        long second = desk.submit(6, 20_000);
        assertEquals(first, desk.last, "the connection still waits for its answer");
        desk.tracker.onReply(7, first, 1, SubmissionReply.accepted(), true, false);
        assertEquals(second, desk.last);
        assertEquals(1, desk.ends.size());
    }
}
