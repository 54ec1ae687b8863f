package slipfield.client.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Reconnects of a thousand clients to a sender that went away and comes back: one tracker per client, on one clock. */
class ReconnectBackoffTest {
    private static final int CLIENTS = 1000;
    private static final long WINDOW_MS = 5000;
    private static final Rules RULES = Rules.DEFAULT.spreadOver(1000, 0.02).atMost(1, 1);

    /** Counts the connects of one client and ignores everything else. */
    private static final class ConnectCounter implements OrderTracker.Actions {
        private int count;

        @Override
        public void send(long order, int attempt, String sender, long budgetMs, OrderTracker.PreviousSubmission previous) {
        }

        @Override
        public void abandon(long order, int attempt) {
        }

        @Override
        public void connect(String sender, boolean probe) {
            count++;
        }

        @Override
        public void complete(long order, End end) {
        }
    }

    /** For each client, the delay of its first reconnect after all lost the sender at 1,000 ms. */
    private static List<Long> reconnectDelays(long reportedWindowMs) {
        List<Long> delays = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            ConnectCounter counter = new ConnectCounter();
            OrderTracker tracker = new OrderTracker(RULES, new SplittableRandom(i), 0, counter);
            tracker.updateSenders(0, List.of("s"));
            assertEquals(1, counter.count, "the first connection of a client is opened at once");
            tracker.onConnected(1, "s");
            tracker.onReconnectWindow(1, "s", reportedWindowMs);
            tracker.onConnectionClosed(1000, "s", false);
            // A client that drew a delay of 0 has connected already.
            long next = counter.count == 2 ? 1000 : tracker.nextTickMs();
            if (next > 1000) {
                tracker.tick(next - 1);
                assertEquals(1, counter.count);
            }
            tracker.tick(next);
            assertEquals(2, counter.count);
            delays.add(next - 1000);
        }
        return delays;
    }

    @Test
    void reconnectsAreSpreadOverTheReportedWindow() {
        List<Long> delays = reconnectDelays(WINDOW_MS);
        int[] tenths = new int[10];
        delays.forEach(ms -> tenths[(int) (ms * 10 / WINDOW_MS)]++);
        // 2 % of the clients probe in the first tenth; the others are spread evenly: 109 per tenth, within four deviations.
        assertTrue(tenths[0] >= 5 && tenths[0] <= 40, "probes: " + tenths[0]);
        for (int i = 1; i < 10; i++) {
            assertTrue(tenths[i] > 70 && tenths[i] < 150, "in tenth " + i + ": " + tenths[i]);
        }
    }

    @Test
    void withoutAReportedWindowTheClientsDefaultApplies() {
        assertTrue(reconnectDelays(-1).stream().allMatch(ms -> ms < 1000));
    }

    @Test
    void failedConnectsAreRetriedWithGrowingDelaysAndNeverStop() {
        ConnectCounter counter = new ConnectCounter();
        OrderTracker tracker = new OrderTracker(RULES, new SplittableRandom(3), 0, counter);
        tracker.updateSenders(0, List.of("s"));
        long now = 0;
        for (int i = 1; i < 40; i++) {
            assertEquals(i, counter.count);
            tracker.onConnectFailed(now, "s");
            long next = tracker.nextTickMs();
            assertTrue(next - now <= RULES.mostSpreadMs(), "delay " + (next - now));
            now = next;
            tracker.tick(now);
        }
        assertTrue(now > 10 * RULES.mostSpreadMs() / 2, "after " + now);
    }

    @Test
    void anUnlimitedReportedWindowIsBounded() {
        assertTrue(reconnectDelays(Long.MAX_VALUE).stream().allMatch(ms -> ms <= RULES.mostSpreadMs()));
    }

    @Test
    void theConnectionPoolRefillsOneByOneOverTheWindow() {
        ConnectCounter counter = new ConnectCounter();
        OrderTracker tracker = new OrderTracker(Rules.DEFAULT.spreadOver(1000, 0).atMost(100, 10), new SplittableRandom(1), 0,
                counter);
        tracker.updateSenders(0, List.of("s"));
        tracker.onConnected(0, "s");
        for (int i = 0; i < 50; i++) {
            tracker.submit(0, i, ClassRule.safe(), "7", "t", 60_000);
        }
        assertEquals(1, counter.count, "not every waiting order opens a connection");
        for (int i = 1; i <= 9; i++) {
            tracker.tick(i * 100 - 1);
            assertEquals(i, counter.count);
            tracker.tick(i * 100);
            assertEquals(i + 1, counter.count);
            tracker.onConnected(i * 100, "s");
        }
    }
}
