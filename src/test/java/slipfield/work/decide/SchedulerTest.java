package slipfield.work.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the scheduler on a simulated clock: single cases, and random histories that are checked against simple rules. */
class SchedulerTest {
    private static final double CPU_SHARE = 0.2;
    private static final double BURST_MS = 50;
    private static final double MAX_SLICE_MS = 10;

    private static Kind kind(String name, Grade grade) {
        return new Kind(name, grade, 0.1, 20, 0, 4, false, 1000);
    }

    private static Scheduler scheduler(int maxJobs, Kind... kinds) {
        Scheduler s = new Scheduler(maxJobs, CPU_SHARE, BURST_MS, 1, 0);
        for (Kind kind : kinds) {
            s.addKind(kind, 0);
        }
        return s;
    }

    /** Runs the next slice of a new iteration at no cost; returns its job's name, or an empty string if none may run. */
    private static String runNext(Scheduler s, double now, double latenessMs) {
        s.beginIteration();
        return s.next(now, latenessMs).map(slice -> {
            s.sliceDone(slice.job(), new Cost(0, 0, false), now);
            return slice.name();
        }).orElse("");
    }

    // ---- random histories ----

    /** Runs a random history from this seed, and checks what must always hold. */
    private static void runHistory(long seed) {
        Random random = new Random(seed);
        List<Kind> kinds = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            kinds.add(new Kind("k" + i, Grade.values()[random.nextInt(4)], 0.02 + random.nextDouble() * 0.2,
                    1 + random.nextInt(40), random.nextBoolean() ? 0 : 1000 + random.nextInt(100_000), 1 + random.nextInt(5),
                    random.nextBoolean(), 1e9));
        }
        Scheduler s = new Scheduler(200, CPU_SHARE, BURST_MS, seed, 0);
        kinds.forEach(k -> s.addKind(k, 0));
        Map<Long, Grade> grades = new HashMap<>();
        Map<Long, Integer> slicesLeft = new HashMap<>();
        Map<Long, Set<Long>> after = new HashMap<>();
        Map<Long, Double> due = new HashMap<>();
        Map<Long, Kind> kindOf = new HashMap<>();
        Map<String, BudgetCheck> cpu = new HashMap<>();
        Map<String, BudgetCheck> bytes = new HashMap<>();
        BudgetCheck total = new BudgetCheck();
        List<Scheduler.Slice> running = new ArrayList<>();
        Map<String, Integer> inIteration = new HashMap<>();
        double now = 0;
        for (int step = 0; step < 120 || !slicesLeft.isEmpty() && step < 200_000; step++) {
            now += random.nextInt(step < 120 ? 20 : 200);
            double latenessMs = random.nextInt(6) == 0 && step < 200 ? 60 : 0;
            if (step < 120 && random.nextBoolean()) {
                Kind kind = kinds.get(random.nextInt(kinds.size()));
                Set<Long> before = new HashSet<>();
                if (!slicesLeft.isEmpty() && random.nextInt(4) == 0) {
                    before.add(new ArrayList<>(slicesLeft.keySet()).get(random.nextInt(slicesLeft.size())));
                }
                double dueMs = now + random.nextInt(100);
                Optional<Long> number = s.add(new Job("j", kind.name(), dueMs, Double.POSITIVE_INFINITY, 0, 0, before), now);
                slicesLeft.put(number.orElseThrow(), 1 + random.nextInt(4));
                grades.put(number.get(), kind.grade());
                after.put(number.get(), before);
                due.put(number.get(), dueMs);
                kindOf.put(number.get(), kind);
            }
            s.beginIteration();
            inIteration.clear();
            for (Optional<Scheduler.Slice> given = s.next(now, latenessMs); given.isPresent();
                    given = s.next(now, latenessMs)) {
                Scheduler.Slice slice = given.get();
                long number = slice.job();
                double at = now;
                assertTrue(slicesLeft.containsKey(number), "a completed job");
                assertTrue(due.get(number) <= now, "before the job was due");
                assertTrue(after.get(number).stream().noneMatch(slicesLeft::containsKey), "before the jobs it depends on");
                assertTrue(inIteration.merge(slice.kind(), 1, Integer::sum) <= kindOf.get(number).slicesPerIteration(),
                        "too many slices in an iteration");
                if (grades.get(number) != Grade.ENDS) {
                    assertTrue(latenessMs < Scheduler.LATE_LOOP_MS, "while the event loop was late");
                    for (long other : slicesLeft.keySet()) {
                        boolean couldRun = grades.get(other) == Grade.ENDS && due.get(other) <= at
                                && running.stream().noneMatch(r -> r.job() == other)
                                && after.get(other).stream().noneMatch(slicesLeft::containsKey)
                                && inIteration.getOrDefault(kindOf.get(other).name(), 0) < kindOf.get(other).slicesPerIteration();
                        assertFalse(couldRun, "a job of grade ENDS was overtaken");
                    }
                }
                running.add(slice);
                if (random.nextInt(4) > 0) {
                    endSlice(s, running, running.size() - 1, random, now, slicesLeft, due, kindOf, cpu, bytes, total);
                }
            }
            if (!running.isEmpty()) {
                endSlice(s, running, random.nextInt(running.size()), random, now, slicesLeft, due, kindOf, cpu, bytes, total);
            }
        }
        assertEquals(Map.of(), slicesLeft, "jobs that were not completed");
        assertEquals(0, s.jobCount());
    }

    private static void endSlice(Scheduler s, List<Scheduler.Slice> running, int index, Random random, double now,
            Map<Long, Integer> slicesLeft, Map<Long, Double> due, Map<Long, Kind> kindOf, Map<String, BudgetCheck> cpu,
            Map<String, BudgetCheck> bytes, BudgetCheck total) {
        Scheduler.Slice slice = running.remove(index);
        Kind kind = kindOf.get(slice.job());
        double cost = random.nextDouble() * MAX_SLICE_MS;
        long bytesWritten = kind.bytesPerSecond() == 0 ? 0 : random.nextInt(5000);
        int remaining = slicesLeft.merge(slice.job(), -1, Integer::sum);
        due.put(slice.job(), now);
        if (remaining == 0) {
            slicesLeft.remove(slice.job());
        }
        s.sliceDone(slice.job(), new Cost(cost, bytesWritten, remaining > 0), now);
        if (kind.grade() != Grade.ENDS) {
            // Several slices may have started on the pool before the cost of the first is known.
            double overrun = MAX_SLICE_MS * (1 + running.size());
            total.check(now, cost, CPU_SHARE, BURST_MS + overrun);
            cpu.computeIfAbsent(kind.name(), k -> new BudgetCheck()).check(now, cost, kind.cpuShare(), kind.burstMs() + overrun);
            if (kind.bytesPerSecond() > 0) {
                bytes.computeIfAbsent(kind.name(), k -> new BudgetCheck()).check(now, bytesWritten,
                        kind.bytesPerSecond() / 1000.0, kind.bytesPerSecond() + 5000 * (1 + running.size()));
            }
        }
    }

    /** Checks a budget: the largest excess of usage over the granted rate, over all time spans that end now. */
    private static final class BudgetCheck {
        private double excess;
        private double updatedMs;
        private double maxBound;

        void check(double now, double used, double perMs, double bound) {
            excess = Math.max(0, excess - (now - updatedMs) * perMs) + used;
            updatedMs = now;
            // Slices that ran at the same time end one after the other, so the largest bound so far applies.
            maxBound = Math.max(maxBound, bound);
            assertTrue(excess <= maxBound + 1e-6, () -> "over its budget by " + (excess - maxBound));
        }
    }

    @Test
    void tenThousandRandomHistoriesHoldTheRules() {
        int seeds = Integer.getInteger("work.seeds", 10_000);
        for (long seed = 1; seed <= seeds; seed++) {
            try {
                runHistory(seed);
            } catch (AssertionError e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
        }
    }

    // ---- single cases ----

    @Test
    void jobsRunByGradeAndWaitingJobsAreNotStarved() {
        Scheduler s = scheduler(100, kind("e", Grade.ENDS), kind("l", Grade.LIVE), kind("s", Grade.SOON), kind("i", Grade.IDLE));
        s.add(Job.once("idle", "i", 0), 0);
        s.add(Job.once("soon", "s", 0), 0);
        s.add(Job.once("live", "l", 0), 0);
        s.add(Job.once("ends", "e", 0), 0);
        assertEquals("ends", runNext(s, 1, 0));
        assertEquals("live", runNext(s, 1, 0));
        assertEquals("soon", runNext(s, 1, 0));
        // With a constant stream of LIVE jobs, the IDLE one runs before those that fell due two grade steps later.
        int overtaken = 0;
        double now = 1;
        for (; overtaken < 10_000; overtaken++, now += 10) {
            s.add(Job.once("live", "l", now), now);
            if (runNext(s, now, 0).equals("idle")) {
                break;
            }
        }
        assertTrue(now > 2 * Scheduler.GRADE_STEP_MS - 100 && now <= 2 * Scheduler.GRADE_STEP_MS + 100, "it waited " + now);
    }

    @Test
    void onlyGradeEndsRunsWhileTheLoopIsLate() {
        Scheduler s = scheduler(100, kind("e", Grade.ENDS), kind("l", Grade.LIVE));
        s.add(Job.once("live", "l", 0), 0);
        s.add(Job.once("ends", "e", 0), 0);
        assertEquals("ends", runNext(s, 1, 5000));
        assertEquals("", runNext(s, 1, 5000));
        assertEquals("live", runNext(s, 1, 0));
    }

    /** If compaction is due while the event loop is late and the journal nearly full, its grade is raised and it alone runs. */
    @Test
    void aRaisedJobRunsWhileTheLoopIsLate() {
        Scheduler s = scheduler(100, kind("compaction", Grade.SOON), kind("l", Grade.LIVE));
        long compaction = s.add(Job.once("compaction", "compaction", 0), 0).orElseThrow();
        s.add(Job.once("live", "l", 0), 0);
        assertEquals("", runNext(s, 1, 5000));
        s.raiseGrade(compaction, Grade.ENDS, 1);
        assertEquals("compaction", runNext(s, 1, 5000));
        assertEquals("", runNext(s, 1, 5000));
        // Raising the grade of a job that is not due yet, such as a periodic one, makes it due.
        long again = s.add(Job.every("again", "compaction", 1, 60_000, 0), 1).orElseThrow();
        s.raiseGrade(again, Grade.ENDS, 2);
        assertEquals("again", runNext(s, 2, 5000));
        assertEquals("", runNext(s, 70_000, 5000), "only once at the raised grade");
        assertEquals("live", runNext(s, 70_000, 0));
    }

    @Test
    void tenThousandJobsThatFallDueAtOnceStayWithinTheBudget() {
        Scheduler s = scheduler(20_000, new Kind("l", Grade.LIVE, 0.1, 20, 0, 4, false, 1000));
        for (int i = 0; i < 10_000; i++) {
            s.add(Job.every("p" + i, "l", 0, 1000, 0.5), 0);
        }
        // The machine was suspended for an hour.
        double now = 3_600_000;
        int done = 0;
        double start = now;
        while (done < 10_000) {
            s.beginIteration();
            for (int inIteration = 0;; inIteration++) {
                Optional<Scheduler.Slice> slice = s.next(now, 0);
                if (slice.isEmpty()) {
                    assertTrue(inIteration <= 4);
                    break;
                }
                s.sliceDone(slice.get().job(), new Cost(1, 0, false), now);
                done++;
            }
            now += 1;
        }
        assertTrue(now - start >= (10_000 - 20) / 0.1 - 1000, "faster than a tenth of a core allows: " + (now - start));
    }

    @Test
    void aSliceThatDoesNotEndStopsOnlyItsKind() {
        Scheduler s = scheduler(100, new Kind("disk", Grade.SOON, 0.1, 20, 0, 4, true, 1000), kind("l", Grade.LIVE));
        long stuck = s.add(Job.once("scrub", "disk", 0), 0).orElseThrow();
        s.add(Job.once("other", "disk", 0), 0);
        s.beginIteration();
        assertEquals(stuck, s.next(0, 0).orElseThrow().job());
        s.checkOverruns(1000);
        assertEquals(List.of(), s.takeEvents());
        s.checkOverruns(1001);
        assertEquals(List.of("stopped disk: scrub: a slice has not ended for 1001 ms"), s.takeEvents());
        s.checkOverruns(2000);
        assertEquals(List.of(), s.takeEvents(), "reported once");
        s.add(Job.once("live", "l", 1002), 1002);
        assertEquals("live", runNext(s, 1002, 0));
        assertEquals("", runNext(s, 1e6, 0));
        assertEquals("scrub: a slice has not ended for 1001 ms", s.report().get(0).stopped());
        // On the event loop an overrun is only noticed after the slice has ended.
        Scheduler loop = scheduler(100, kind("l", Grade.LIVE));
        long slow = loop.add(Job.once("slow", "l", 0), 0).orElseThrow();
        loop.beginIteration();
        loop.next(0, 0);
        loop.sliceDone(slow, new Cost(1001, 0, true), 1001);
        assertEquals(List.of("stopped l: slow: a slice took 1001 ms on the event loop"), loop.takeEvents());
    }

    @Test
    void aJobThatKeepsThrowingIsRetriedWithGrowingPausesAndGivenUp() {
        Scheduler s = scheduler(100, kind("l", Grade.LIVE));
        long bad = s.add(Job.once("bad", "l", 0), 0).orElseThrow();
        s.add(new Job("dependent", "l", 0, 1e9, 0, 0, Set.of(bad)), 0);
        s.add(Job.every("good", "l", 0, 100, 0), 0);
        List<Double> attempts = new ArrayList<>();
        int good = 0;
        for (double now = 0; now < 30_000; now += 10) {
            s.beginIteration();
            for (Optional<Scheduler.Slice> slice = s.next(now, 0); slice.isPresent(); slice = s.next(now, 0)) {
                if (slice.get().job() == bad) {
                    attempts.add(now);
                    s.sliceThrew(bad, new Cost(0.01, 0, false), now);
                } else {
                    good++;
                    s.sliceDone(slice.get().job(), new Cost(0.01, 0, false), now);
                }
            }
        }
        assertEquals(List.of(0.0, 100.0, 300.0, 700.0, 1500.0, 3100.0, 6300.0, 12_700.0), attempts);
        assertEquals(List.of("set aside bad: it threw 8 times in a row", "cancelled dependent: bad was not completed"),
                s.takeEvents());
        assertTrue(good > 290, "other jobs must go on: " + good);
        assertEquals(1, s.jobCount());
    }

    @Test
    void aClockThatIsSetBackOnlyDelaysJobs() {
        Scheduler s = scheduler(100, kind("l", Grade.LIVE));
        s.add(Job.once("a", "l", 3_600_500), 3_600_000);
        assertEquals("", runNext(s, 0, 0), "not due by the new time");
        s.add(Job.once("b", "l", 0), 0);
        assertEquals("b", runNext(s, 0, 0));
        for (int i = 0; i < 1000; i++) {
            s.add(Job.once("c", "l", i), i);
            assertEquals("c", runNext(s, i, 0), "buckets fill by the new time");
        }
        assertEquals("a", runNext(s, 3_600_500, 0));
        // A debt from before the clock was set back is paid off by the new time.
        long costly = s.add(Job.once("costly", "l", 3_600_500), 3_600_500).orElseThrow();
        s.beginIteration();
        s.next(3_600_500, 0);
        s.sliceDone(costly, new Cost(500, 0, false), 3_600_500);
        s.add(Job.once("d", "l", 0), 0);
        assertEquals("", runNext(s, 1, 0));
        assertEquals("d", runNext(s, 6000, 0));
    }

    @Test
    void missedPeriodsAreSkipped() {
        Scheduler s = scheduler(100, kind("l", Grade.LIVE));
        s.add(Job.every("a", "l", 0, 1000, 0), 0);
        assertEquals("", runNext(s, 999, 0));
        assertEquals("a", runNext(s, 1000, 0));
        assertEquals("a", runNext(s, 2010, 0), "the period is kept");
        assertEquals("a", runNext(s, 3000, 0));
        assertEquals("a", runNext(s, 3_600_000, 0));
        assertEquals("", runNext(s, 3_600_001, 0), "not once per missed period");
        assertEquals("a", runNext(s, 3_601_000, 0));
    }

    @Test
    void aFullSchedulerShedsIdleJobsAndReportsIt() {
        Scheduler s = scheduler(3, kind("l", Grade.LIVE), kind("i", Grade.IDLE));
        s.add(Job.every("kept", "i", 0, 1000, 0), 0);
        s.add(Job.once("first", "i", 0), 0);
        s.add(Job.once("second", "i", 1), 1);
        assertTrue(s.add(Job.once("third", "i", 2), 2).isEmpty(), "an idle job is not shed for another");
        assertTrue(s.add(Job.once("live", "l", 2), 2).isPresent());
        assertEquals(List.of("shed second"), s.takeEvents());
        assertTrue(s.add(Job.once("live2", "l", 2), 2).isPresent());
        assertTrue(s.add(Job.once("live3", "l", 2), 2).isEmpty(), "periodic jobs and jobs that are not idle are not shed");
        assertEquals(2, s.report().get(1).shed());
    }

    @Test
    void aCancelledJobRunsNoMoreAndItsLastSliceIsCharged() {
        Scheduler s = scheduler(100, kind("l", Grade.LIVE));
        long a = s.add(Job.once("a", "l", 0), 0).orElseThrow();
        s.beginIteration();
        s.next(0, 0);
        s.cancel(a);
        s.sliceDone(a, new Cost(500, 0, true), 10);
        s.add(Job.once("b", "l", 10), 10);
        assertEquals("", runNext(s, 10, 0), "its last slice is charged");
        double ready = s.nextMs(10);
        assertTrue(ready > 4000 && ready < 6000, "when its kind has CPU budget again: " + ready);
        assertEquals("b", runNext(s, ready + 1, 0));
        assertEquals(Double.POSITIVE_INFINITY, s.nextMs(ready + 1));
    }

    @Test
    void amongEqualRanksTheEarliestDeadlineGoesFirst() {
        Scheduler s = scheduler(100, kind("l", Grade.LIVE));
        s.add(new Job("later", "l", 5, 900, 0, 0, Set.of()), 0);
        s.add(new Job("sooner", "l", 5, 800, 0, 0, Set.of()), 0);
        assertEquals(5, s.nextMs(0));
        assertEquals("sooner", runNext(s, 6, 0));
        assertEquals("later", runNext(s, 6, 0));
    }
}
