package slipfield.client.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** When a thousand clients connect anew: one tracker each, on one clock, and a sender that dies and comes back. */
class ReconnectBackoffTest {
    private static final int CLIENTS = 1000;
    private static final long WINDOW_MS = 5000;
    private static final Rules RULES = Rules.DEFAULT.spreadOver(1000, 0.02).atMost(1, 1);

    /** The connects of one client are all that is noted. */
    private static final class Connects implements OrderTracker.Actions {
        private int asked;

        @Override
        public void send(long order, int attempt, String sender, long budgetMs, OrderTracker.PreviousSubmission again) {
        }

        @Override
        public void abandon(long order, int attempt) {
        }

        @Override
        public void connect(String sender, boolean probe) {
            asked++;
        }

        @Override
        public void complete(long order, End end) {
        }
    }

    /** When each client connects for the first time after all lost the sender at 1,000 ms. */
    private static List<Long> connects(long toldMs) {
        List<Long> at = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Connects connects = new Connects();
            OrderTracker tracker = new OrderTracker(RULES, new SplittableRandom(i), 0, connects);
            tracker.updateSenders(0, List.of("s"));
            assertEquals(1, connects.asked, "the first connection of a life waits for nothing");
            tracker.onConnected(1, "s");
            tracker.onReconnectWindow(1, "s", toldMs);
            tracker.onConnectionClosed(1000, "s", false);
            // One that drew nothing has connected already.
            long next = connects.asked == 2 ? 1000 : tracker.nextTickMs();
            if (next > 1000) {
                tracker.tick(next - 1);
                assertEquals(1, connects.asked);
            }
            tracker.tick(next);
            assertEquals(2, connects.asked);
            at.add(next - 1000);
        }
        return at;
    }

    @Test
    void theyAreSpreadOverTheWindowThatTheSenderTold() {
        List<Long> at = connects(WINDOW_MS);
        int[] tenths = new int[10];
        at.forEach(ms -> tenths[(int) (ms * 10 / WINDOW_MS)]++);
        // A fiftieth in the first tenth, to find out; the rest evenly: 109 a tenth, give or take four deviations.
        assertTrue(tenths[0] >= 5 && tenths[0] <= 40, "trials: " + tenths[0]);
        for (int i = 1; i < 10; i++) {
            assertTrue(tenths[i] > 70 && tenths[i] < 150, "in tenth " + i + ": " + tenths[i]);
        }
    }

    @Test
    void withoutAToldWindowTheirOwnHolds() {
        assertTrue(connects(-1).stream().allMatch(ms -> ms < 1000));
    }

    @Test
    void connectsThatFailComeEverMoreSeldomAndNeverStop() {
        Connects connects = new Connects();
        OrderTracker tracker = new OrderTracker(RULES, new SplittableRandom(3), 0, connects);
        tracker.updateSenders(0, List.of("s"));
        long now = 0;
        for (int i = 1; i < 40; i++) {
            assertEquals(i, connects.asked);
            tracker.onConnectFailed(now, "s");
            long next = tracker.nextTickMs();
            assertTrue(next - now <= RULES.mostSpreadMs(), "after " + (next - now));
            now = next;
            tracker.tick(now);
        }
        assertTrue(now > 10 * RULES.mostSpreadMs() / 2, "in " + now);
    }

    @Test
    void aToldWindowWithoutEndIsBounded() {
        assertTrue(connects(Long.MAX_VALUE).stream().allMatch(ms -> ms <= RULES.mostSpreadMs()));
    }

    @Test
    void aPoolRefillsOneByOneOverTheWindow() {
        Connects connects = new Connects();
        OrderTracker tracker = new OrderTracker(Rules.DEFAULT.spreadOver(1000, 0).atMost(100, 10), new SplittableRandom(1), 0,
                connects);
        tracker.updateSenders(0, List.of("s"));
        tracker.onConnected(0, "s");
        for (int i = 0; i < 50; i++) {
            tracker.submit(0, i, ClassRule.safe(), "7", "t", 60_000);
        }
        assertEquals(1, connects.asked, "all that wait do not open a connection each");
        for (int i = 1; i <= 9; i++) {
            tracker.tick(i * 100 - 1);
            assertEquals(i, connects.asked);
            tracker.tick(i * 100);
            assertEquals(i + 1, connects.asked);
            tracker.onConnected(i * 100, "s");
        }
    }
}
