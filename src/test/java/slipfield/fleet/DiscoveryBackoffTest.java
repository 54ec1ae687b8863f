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
    /** When each sender first heard a list, in ms from the moment at which all asked; and the calls of the busiest second. */
    private record Outcome(double[] heardAt, long calls) {
        double last() {
            return Arrays.stream(heardAt).max().orElseThrow();
        }
    }

    /**
     * All senders ask one discovery at one moment. It answers one call after the other; one that has waited for its
     * time-out is answered 503 then, though its work is still done, and one that would wait longer than that at once.
     */
    private static Outcome allAtOnce(int senders, double callMs, long seed) {
        double timeoutMs = 2000;
        double[] heardAt = new double[senders];
        Arrays.fill(heardAt, Double.POSITIVE_INFINITY);
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
                heardAt[i] = Math.min(heardAt[i], endsAt);
                continue;
            }
            double answered = refused ? call[0] : call[0] + timeoutMs;
            due.add(new double[] {answered + backoffs[i].pause(Result.REJECTED, answered - call[0]), i});
        }
        return new Outcome(heardAt, calls);
    }

    /** Found on a fleet day: fourteen senders asked every 100 ms after a refusal and had no list for half a minute. */
    @ParameterizedTest
    @CsvSource({"14, 140", "14, 570", "60, 140", "1, 500"})
    void manyThatAskAtOnceAllHearBeforeLong(int senders, double callMs) {
        for (long seed = 1; seed <= 20; seed++) {
            Outcome outcome = allAtOnce(senders, callMs, 1000 * seed);
            // What the work alone takes, thrice, and the pauses of one that has no luck twice.
            double bound = 3 * senders * callMs + 2 * 250 * senders + 4000;
            assertTrue(outcome.last() <= bound, "the last heard after " + outcome.last() + " ms, seed " + seed);
            assertTrue(outcome.calls() <= 4L * senders, "calls: " + outcome.calls() + ", seed " + seed);
        }
    }

    @Test
    void pausesAfterRefusalsAreSpreadAndGrowToABound() {
        for (int senders : List.of(0, 1, 14, 1000)) {
            DiscoveryBackoff backoff = new DiscoveryBackoff(senders, new SplittableRandom(7));
            double first = Math.min(30_000, Math.max(1000, 250 * senders));
            for (int i = 0; i < 40; i++) {
                double bound = Math.min(30_000, first * Math.pow(2, Math.min(i, 3)));
                long pause = backoff.pause(Result.REJECTED, 5);
                assertTrue(pause >= bound / 4 - 1 && pause <= bound, pause + " of " + bound);
            }
            backoff.pause(Result.LIST, 1);
            assertTrue(backoff.pause(Result.REJECTED, 5) <= first, "a list ends the growth");
        }
    }

    @Test
    void aDiscoveryThatIsSilentIsAskedAgainSoonAndNotInStep() {
        Deque<Long> pauses = new ArrayDeque<>();
        for (long seed = 0; seed < 14; seed++) {
            DiscoveryBackoff backoff = new DiscoveryBackoff(14, new SplittableRandom(seed));
            for (int i = 0; i < 30; i++) {
                pauses.add(backoff.pause(Result.NONE, 2500));
                pauses.add(backoff.pause(Result.UNUSABLE, 2500));
            }
        }
        assertTrue(pauses.stream().allMatch(p -> p >= 100 && p <= 600), pauses.toString());
        assertTrue(pauses.stream().distinct().count() > 100, "drawn");
    }

    @Test
    void aWatchGoesOnAtOnceUnlessTheListBeforeItWasSlow() {
        DiscoveryBackoff backoff = new DiscoveryBackoff(14, new SplittableRandom(3));
        assertEquals(0, backoff.pause(Result.LIST, 3));
        assertEquals(0, backoff.pause(Result.LIST, -2990), "news came before the wait was over");
        long later = 0;
        for (int i = 0; i < 50; i++) {
            long pause = backoff.pause(Result.LIST, 800);
            assertTrue(pause <= 1000, "pause " + pause);
            later += pause > 200 ? 1 : 0;
        }
        assertTrue(later > 30, "spread, lest all that heard a list watch at one moment");
    }

    /**
     * Found on a day of rolling restarts with 97 senders: after a list that took 100 ms nothing was watched for up to 24 s,
     * and what the agent heard meanwhile counted as told. Half of the rule's 2 s is left for the watch's own answer.
     */
    @ParameterizedTest
    @CsvSource({"1", "3", "14", "97", "300", "10000"})
    void noFleetIsSoLargeThatADrainGoesUnwatched(int senders) {
        DiscoveryBackoff backoff = new DiscoveryBackoff(senders, new SplittableRandom(senders));
        for (int i = 0; i < 1000; i++) {
            assertTrue(backoff.pause(Result.LIST, 100 + i) <= 1000);
        }
    }
}
