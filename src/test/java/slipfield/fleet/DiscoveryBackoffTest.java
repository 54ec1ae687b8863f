package slipfield.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import slipfield.fleet.DiscoveryBackoff.Result;

class DiscoveryBackoffTest {
    /** When each sender received its first list, in ms after all called at once, and the total number of calls. */
    private record Outcome(double[] receivedAt, long calls) {
        double last() {
            return Arrays.stream(receivedAt).max().orElseThrow();
        }
    }

    /**
     * Simulates senders that all call one discovery at once. It handles calls one at a time. A call that reaches its time-out
     * gets a 503 then, though its work is still done; a call that would wait longer for its start gets a 503 at once.
     */
    private static Outcome allAtOnce(int senders, double callMs, long seed) {
        double timeoutMs = 2000;
        double[] receivedAt = new double[senders];
        Arrays.fill(receivedAt, Double.POSITIVE_INFINITY);
        DiscoveryBackoff[] backoffs = new DiscoveryBackoff[senders];
        PriorityQueue<double[]> due = new PriorityQueue<>(Comparator.comparingDouble(d -> d[0]));
        for (int i = 0; i < senders; i++) {
            backoffs[i] = new DiscoveryBackoff(senders, new SplittableRandom(seed + i));
            due.add(new double[] {0, i});
        }
        double freeAt = 0;
        long calls = 0;
        while (!due.isEmpty() && due.peek()[0] < 120_000) {
            double[] call = due.poll();
            int i = (int) call[1];
            calls++;
            double begins = Math.max(freeAt, call[0]);
            boolean refused = begins - call[0] > timeoutMs;
            double endsAt = begins + callMs;
            freeAt = refused ? freeAt : endsAt;
            if (!refused && endsAt - call[0] <= timeoutMs) {
                receivedAt[i] = Math.min(receivedAt[i], endsAt);
                continue;
            }
            double answered = refused ? call[0] : call[0] + timeoutMs;
            due.add(new double[] {answered + backoffs[i].pause(Result.REJECTED, answered - call[0]), i});
        }
        return new Outcome(receivedAt, calls);
    }

    /** Guards against an incident: 14 senders retried 100 ms after each rejection and got no list for half a minute. */
    @ParameterizedTest
    @CsvSource({"14, 140", "14, 570", "60, 140", "1, 500"})
    void allSendersThatCallAtOnceReceiveAListWithinTheBound(int senders, double callMs) {
        for (long seed = 1; seed <= 20; seed++) {
            Outcome outcome = allAtOnce(senders, callMs, 1000 * seed);
            // Three times the work alone, plus the pauses of a sender that is rejected twice.
            double bound = 3 * senders * callMs + 2 * 250 * senders + 4000;
            assertTrue(outcome.last() <= bound, "last list received after " + outcome.last() + " ms, seed " + seed);
            assertTrue(outcome.calls() <= 4L * senders, "calls: " + outcome.calls() + ", seed " + seed);
        }
    }

    @Test
    void pausesAfterRejectionsAreRandomAndGrowToABound() {
        for (int senders : List.of(0, 1, 14, 1000)) {
            DiscoveryBackoff backoff = new DiscoveryBackoff(senders, new SplittableRandom(7));
            double first = Math.min(30_000, Math.max(1000, 250 * senders));
            for (int i = 0; i < 40; i++) {
                double bound = Math.min(30_000, first * Math.pow(2, Math.min(i, 3)));
                long pause = backoff.pause(Result.REJECTED, 5);
                assertTrue(pause >= bound / 4 - 1 && pause <= bound, pause + " of " + bound);
            }
            backoff.pause(Result.LIST, 1);
            assertTrue(backoff.pause(Result.REJECTED, 5) <= first, "a list resets the bound");
        }
    }

    @Test
    void anUnresponsiveDiscoveryIsRetriedSoonAtRandomTimes() {
        Deque<Long> pauses = new ArrayDeque<>();
        for (long seed = 0; seed < 14; seed++) {
            DiscoveryBackoff backoff = new DiscoveryBackoff(14, new SplittableRandom(seed));
            for (int i = 0; i < 30; i++) {
                pauses.add(backoff.pause(Result.NONE, 2500));
                pauses.add(backoff.pause(Result.UNUSABLE, 2500));
            }
        }
        assertTrue(pauses.stream().allMatch(p -> p >= 100 && p <= 600), pauses.toString());
        assertTrue(pauses.stream().distinct().count() > 100, "pauses are random");
    }

    @Test
    void theNextPollIsDelayedOnlyAfterASlowList() {
        DiscoveryBackoff backoff = new DiscoveryBackoff(14, new SplittableRandom(3));
        assertEquals(0, backoff.pause(Result.LIST, 3));
        assertEquals(0, backoff.pause(Result.LIST, -2990), "a change ended the wait early");
        long later = 0;
        for (int i = 0; i < 50; i++) {
            long pause = backoff.pause(Result.LIST, 800);
            assertTrue(pause <= 1000, "pause " + pause);
            later += pause > 200 ? 1 : 0;
        }
        assertTrue(later > 30, "spread, so that senders don't all poll at once");
    }

    /**
     * Guards against an incident in rolling restarts of 97 senders: after a list that took 100 ms the next poll came up to 24 s
     * later, while changes at the agent counted as reported. Half of the allowed 2 s is left for the poll's answer.
     */
    @ParameterizedTest
    @CsvSource({"1", "3", "14", "97", "300", "10000"})
    void theDelayOfTheNextPollIsBoundedForAnyNumberOfSenders(int senders) {
        DiscoveryBackoff backoff = new DiscoveryBackoff(senders, new SplittableRandom(senders));
        for (int i = 0; i < 1000; i++) {
            assertTrue(backoff.pause(Result.LIST, 100 + i) <= 1000);
        }
    }
}
