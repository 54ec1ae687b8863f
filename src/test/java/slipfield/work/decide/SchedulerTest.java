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

/** What is done when, on a clock that the test moves; seeded histories against plain rules. */
class SchedulerTest {
    private static final double SHARE = 0.2;
    private static final double BURST = 50;
    private static final double LONGEST_SLICE = 10;

    private static Kind kind(String name, Grade grade) {
        return new Kind(name, grade, 0.1, 20, 0, 4, false, 1000);
    }

    private static Scheduler scheduler(int most, Kind... kinds) {
        Scheduler s = new Scheduler(most, SHARE, BURST, 1, 0);
        for (Kind kind : kinds) {
            s.addKind(kind, 0);
        }
        return s;
    }

    private static String next(Scheduler s, double now, double late) {
        s.beginIteration();
        return s.next(now, late).map(slice -> {
            s.sliceDone(slice.job(), new Cost(0, 0, false), now);
            return slice.name();
        }).orElse("");
    }

    // ---- histories ----

    /** What must hold whatever comes, for one seed. */
    private static void history(long seed) {
        Random random = new Random(seed);
        List<Kind> kinds = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            kinds.add(new Kind("k" + i, Grade.values()[random.nextInt(4)], 0.02 + random.nextDouble() * 0.2,
                    1 + random.nextInt(40), random.nextBoolean() ? 0 : 1000 + random.nextInt(100_000), 1 + random.nextInt(5),
                    random.nextBoolean(), 1e9));
        }
        Scheduler s = new Scheduler(200, SHARE, BURST, seed, 0);
        kinds.forEach(k -> s.addKind(k, 0));
        Map<Long, Grade> grades = new HashMap<>();
        Map<Long, Integer> left = new HashMap<>();
        Map<Long, Set<Long>> after = new HashMap<>();
        Map<Long, Double> due = new HashMap<>();
        Map<Long, Kind> of = new HashMap<>();
        Map<String, Level> cpu = new HashMap<>();
        Map<String, Level> bytes = new HashMap<>();
        Level all = new Level();
        List<Scheduler.Slice> running = new ArrayList<>();
        Map<String, Integer> inTurn = new HashMap<>();
        double now = 0;
        for (int step = 0; step < 120 || !left.isEmpty() && step < 200_000; step++) {
            now += random.nextInt(step < 120 ? 20 : 200);
            double late = random.nextInt(6) == 0 && step < 200 ? 60 : 0;
            if (step < 120 && random.nextBoolean()) {
                Kind kind = kinds.get(random.nextInt(kinds.size()));
                Set<Long> before = new HashSet<>();
                if (!left.isEmpty() && random.nextInt(4) == 0) {
                    before.add(new ArrayList<>(left.keySet()).get(random.nextInt(left.size())));
                }
                double when = now + random.nextInt(100);
                Optional<Long> number = s.add(new Job("j", kind.name(), when, Double.POSITIVE_INFINITY, 0, 0, before), now);
                left.put(number.orElseThrow(), 1 + random.nextInt(4));
                grades.put(number.get(), kind.grade());
                after.put(number.get(), before);
                due.put(number.get(), when);
                of.put(number.get(), kind);
            }
            s.beginIteration();
            inTurn.clear();
            for (Optional<Scheduler.Slice> given = s.next(now, late); given.isPresent(); given = s.next(now, late)) {
                Scheduler.Slice slice = given.get();
                long number = slice.job();
                double at = now;
                assertTrue(left.containsKey(number), "one that had ended");
                assertTrue(due.get(number) <= now, "before it was due");
                assertTrue(after.get(number).stream().noneMatch(left::containsKey), "before what it comes after");
                assertTrue(inTurn.merge(slice.kind(), 1, Integer::sum) <= of.get(number).slicesPerIteration(),
                        "slices of a turn");
                if (grades.get(number) != Grade.ENDS) {
                    assertTrue(late < Scheduler.LATE_LOOP_MS, "while the loop was late");
                    for (long other : left.keySet()) {
                        boolean could = grades.get(other) == Grade.ENDS && due.get(other) <= at
                                && running.stream().noneMatch(r -> r.job() == other)
                                && after.get(other).stream().noneMatch(left::containsKey)
                                && inTurn.getOrDefault(of.get(other).name(), 0) < of.get(other).slicesPerIteration();
                        assertFalse(could, "an end was overtaken");
                    }
                }
                running.add(slice);
                if (random.nextInt(4) > 0) {
                    end(s, running, running.size() - 1, random, now, left, due, of, cpu, bytes, all);
                }
            }
            if (!running.isEmpty()) {
                end(s, running, random.nextInt(running.size()), random, now, left, due, of, cpu, bytes, all);
            }
        }
        assertEquals(Map.of(), left, "jobs that never ended");
        assertEquals(0, s.jobCount());
    }

    private static void end(Scheduler s, List<Scheduler.Slice> running, int which, Random random, double now,
            Map<Long, Integer> left, Map<Long, Double> due, Map<Long, Kind> of, Map<String, Level> cpu,
            Map<String, Level> bytes, Level all) {
        Scheduler.Slice slice = running.remove(which);
        Kind kind = of.get(slice.job());
        double cost = random.nextDouble() * LONGEST_SLICE;
        long written = kind.bytesPerSecond() == 0 ? 0 : random.nextInt(5000);
        int more = left.merge(slice.job(), -1, Integer::sum);
        due.put(slice.job(), now);
        if (more == 0) {
            left.remove(slice.job());
        }
        s.sliceDone(slice.job(), new Cost(cost, written, more > 0), now);
        if (kind.grade() != Grade.ENDS) {
            // Four slices may be out on the pool before the first has told its cost.
            double out = LONGEST_SLICE * (1 + running.size());
            all.check(now, cost, SHARE, BURST + out);
            cpu.computeIfAbsent(kind.name(), k -> new Level()).check(now, cost, kind.cpuShare(), kind.burstMs() + out);
            if (kind.bytesPerSecond() > 0) {
                bytes.computeIfAbsent(kind.name(), k -> new Level()).check(now, written, kind.bytesPerSecond() / 1000.0,
                        kind.bytesPerSecond() + 5000 * (1 + running.size()));
            }
        }
    }

    /** What was used over what the rate gave, at most over all stretches of time that end now. */
    private static final class Level {
        private double over;
        private double since;
        private double most;

        void check(double now, double used, double perMs, double bound) {
            over = Math.max(0, over - (now - since) * perMs) + used;
            since = now;
            // Slices that were out together end one after the other: the bound is of the time when most were.
            most = Math.max(most, bound);
            assertTrue(over <= most + 1e-6, () -> "over its budget by " + (over - most));
        }
    }

    @Test
    void tenThousandHistories() {
        int seeds = Integer.getInteger("work.seeds", 10_000);
        for (long seed = 1; seed <= seeds; seed++) {
            try {
                history(seed);
            } catch (AssertionError e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
        }
    }

    // ---- one by one ----

    @Test
    void gradesGoInTheirOrderAndWhatWaitsRises() {
        Scheduler s = scheduler(100, kind("e", Grade.ENDS), kind("l", Grade.LIVE), kind("s", Grade.SOON), kind("i", Grade.IDLE));
        s.add(Job.once("idle", "i", 0), 0);
        s.add(Job.once("soon", "s", 0), 0);
        s.add(Job.once("live", "l", 0), 0);
        s.add(Job.once("ends", "e", 0), 0);
        assertEquals("ends", next(s, 1, 0));
        assertEquals("live", next(s, 1, 0));
        assertEquals("soon", next(s, 1, 0));
        // Live work without end; idle work passes what fell due so much later.
        int passed = 0;
        double now = 1;
        for (; passed < 10_000; passed++, now += 10) {
            s.add(Job.once("live", "l", now), now);
            if (next(s, now, 0).equals("idle")) {
                break;
            }
        }
        assertTrue(now > 2 * Scheduler.GRADE_STEP_MS - 100 && now <= 2 * Scheduler.GRADE_STEP_MS + 100, "it waited " + now);
    }

    @Test
    void aLateLoopDoesWhatEndsWaitForAndNothingElse() {
        Scheduler s = scheduler(100, kind("e", Grade.ENDS), kind("l", Grade.LIVE));
        s.add(Job.once("live", "l", 0), 0);
        s.add(Job.once("ends", "e", 0), 0);
        assertEquals("ends", next(s, 1, 5000));
        assertEquals("", next(s, 1, 5000));
        assertEquals("live", next(s, 1, 0));
    }

    /** Compaction is due while the loop is late and the journal nearly full: what frees room is raised, alone. */
    @Test
    void whatFreesRoomIsRaisedOverALateLoop() {
        Scheduler s = scheduler(100, kind("compaction", Grade.SOON), kind("l", Grade.LIVE));
        long compaction = s.add(Job.once("compaction", "compaction", 0), 0).orElseThrow();
        s.add(Job.once("live", "l", 0), 0);
        assertEquals("", next(s, 1, 5000));
        s.raiseGrade(compaction, Grade.ENDS, 1);
        assertEquals("compaction", next(s, 1, 5000));
        assertEquals("", next(s, 1, 5000));
        // One that is not due yet, or only comes again later, is due by that.
        long again = s.add(Job.every("again", "compaction", 1, 60_000, 0), 1).orElseThrow();
        s.raiseGrade(again, Grade.ENDS, 2);
        assertEquals("again", next(s, 2, 5000));
        assertEquals("", next(s, 70_000, 5000), "and once only");
        assertEquals("live", next(s, 70_000, 0));
    }

    @Test
    void tenThousandJobsThatFallDueAtOnceAreDoneByTheirBudget() {
        Scheduler s = scheduler(20_000, new Kind("l", Grade.LIVE, 0.1, 20, 0, 4, false, 1000));
        for (int i = 0; i < 10_000; i++) {
            s.add(Job.every("p" + i, "l", 0, 1000, 0.5), 0);
        }
        // The machine stood still for an hour.
        double now = 3_600_000;
        int done = 0;
        double begun = now;
        while (done < 10_000) {
            s.beginIteration();
            for (int inTurn = 0;; inTurn++) {
                Optional<Scheduler.Slice> slice = s.next(now, 0);
                if (slice.isEmpty()) {
                    assertTrue(inTurn <= 4);
                    break;
                }
                s.sliceDone(slice.get().job(), new Cost(1, 0, false), now);
                done++;
            }
            now += 1;
        }
        assertTrue(now - begun >= (10_000 - 20) / 0.1 - 1000, "at a tenth of a core: " + (now - begun));
    }

    @Test
    void aSliceThatDoesNotEndStopsItsKindAndNoOther() {
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
        assertEquals(List.of(), s.takeEvents(), "told once");
        s.add(Job.once("live", "l", 1002), 1002);
        assertEquals("live", next(s, 1002, 0));
        assertEquals("", next(s, 1e6, 0));
        assertEquals("scrub: a slice has not ended for 1001 ms", s.report().get(0).stopped());
        // On the loop a slice can only be found behind its end.
        Scheduler loop = scheduler(100, kind("l", Grade.LIVE));
        long slow = loop.add(Job.once("slow", "l", 0), 0).orElseThrow();
        loop.beginIteration();
        loop.next(0, 0);
        loop.sliceDone(slow, new Cost(1001, 0, true), 1001);
        assertEquals(List.of("stopped l: slow: a slice took 1001 ms of the loop"), loop.takeEvents());
    }

    @Test
    void aJobThatThrowsEachTimeWaitsLongerAndIsSetAside() {
        Scheduler s = scheduler(100, kind("l", Grade.LIVE));
        long bad = s.add(Job.once("bad", "l", 0), 0).orElseThrow();
        s.add(new Job("behind", "l", 0, 1e9, 0, 0, Set.of(bad)), 0);
        s.add(Job.every("good", "l", 0, 100, 0), 0);
        List<Double> tries = new ArrayList<>();
        int good = 0;
        for (double now = 0; now < 30_000; now += 10) {
            s.beginIteration();
            for (Optional<Scheduler.Slice> slice = s.next(now, 0); slice.isPresent(); slice = s.next(now, 0)) {
                if (slice.get().job() == bad) {
                    tries.add(now);
                    s.sliceThrew(bad, new Cost(0.01, 0, false), now);
                } else {
                    good++;
                    s.sliceDone(slice.get().job(), new Cost(0.01, 0, false), now);
                }
            }
        }
        assertEquals(List.of(0.0, 100.0, 300.0, 700.0, 1500.0, 3100.0, 6300.0, 12_700.0), tries);
        assertEquals(List.of("set aside bad: it threw 8 times in a row", "called off behind: bad did not end"), s.takeEvents());
        assertTrue(good > 290, "others went on: " + good);
        assertEquals(1, s.jobCount());
    }

    @Test
    void aClockThatIsSetBackCostsWaitingAtMost() {
        Scheduler s = scheduler(100, kind("l", Grade.LIVE));
        s.add(Job.once("a", "l", 3_600_500), 3_600_000);
        assertEquals("", next(s, 0, 0), "not due by the clock of now");
        s.add(Job.once("b", "l", 0), 0);
        assertEquals("b", next(s, 0, 0));
        for (int i = 0; i < 1000; i++) {
            s.add(Job.once("c", "l", i), i);
            assertEquals("c", next(s, i, 0), "buckets fill by the clock of now");
        }
        assertEquals("a", next(s, 3_600_500, 0));
        // In debt when it is set back: it is paid by the clock of now.
        long costly = s.add(Job.once("costly", "l", 3_600_500), 3_600_500).orElseThrow();
        s.beginIteration();
        s.next(3_600_500, 0);
        s.sliceDone(costly, new Cost(500, 0, false), 3_600_500);
        s.add(Job.once("d", "l", 0), 0);
        assertEquals("", next(s, 1, 0));
        assertEquals("d", next(s, 6000, 0));
    }

    @Test
    void periodsThatWereMissedArePassedOver() {
        Scheduler s = scheduler(100, kind("l", Grade.LIVE));
        s.add(Job.every("a", "l", 0, 1000, 0), 0);
        assertEquals("", next(s, 999, 0));
        assertEquals("a", next(s, 1000, 0));
        assertEquals("a", next(s, 2010, 0), "it stays in step");
        assertEquals("a", next(s, 3000, 0));
        assertEquals("a", next(s, 3_600_000, 0));
        assertEquals("", next(s, 3_600_001, 0), "and not for each hour's second");
        assertEquals("a", next(s, 3_601_000, 0));
    }

    @Test
    void tooMuchShedsWhatIsIdleAndSaysSo() {
        Scheduler s = scheduler(3, kind("l", Grade.LIVE), kind("i", Grade.IDLE));
        s.add(Job.every("kept", "i", 0, 1000, 0), 0);
        s.add(Job.once("first", "i", 0), 0);
        s.add(Job.once("second", "i", 1), 1);
        assertTrue(s.add(Job.once("third", "i", 2), 2).isEmpty(), "idle does not push out idle");
        assertTrue(s.add(Job.once("live", "l", 2), 2).isPresent());
        assertEquals(List.of("shed second"), s.takeEvents());
        assertTrue(s.add(Job.once("live2", "l", 2), 2).isPresent());
        assertTrue(s.add(Job.once("live3", "l", 2), 2).isEmpty(), "what comes again and what is not idle stays");
        assertEquals(2, s.report().get(1).shed());
    }

    @Test
    void whatIsCalledOffRunsNoMoreAndCostsWhatItTook() {
        Scheduler s = scheduler(100, kind("l", Grade.LIVE));
        long a = s.add(Job.once("a", "l", 0), 0).orElseThrow();
        s.beginIteration();
        s.next(0, 0);
        s.cancel(a);
        s.sliceDone(a, new Cost(500, 0, true), 10);
        s.add(Job.once("b", "l", 10), 10);
        assertEquals("", next(s, 10, 0), "its last slice is paid for");
        double ready = s.nextMs(10);
        assertTrue(ready > 4000 && ready < 6000, "when its kind has CPU again: " + ready);
        assertEquals("b", next(s, ready + 1, 0));
        assertEquals(Double.POSITIVE_INFINITY, s.nextMs(ready + 1));
    }

    @Test
    void amongEqualsTheNearestDeadlineGoesFirst() {
        Scheduler s = scheduler(100, kind("l", Grade.LIVE));
        s.add(new Job("later", "l", 5, 900, 0, 0, Set.of()), 0);
        s.add(new Job("sooner", "l", 5, 800, 0, 0, Set.of()), 0);
        assertEquals(5, s.nextMs(0));
        assertEquals("sooner", next(s, 6, 0));
        assertEquals("later", next(s, 6, 0));
    }
}
