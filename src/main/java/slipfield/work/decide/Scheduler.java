package slipfield.work.decide;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * Which slice of background work is done next. Pure: it is told the time, how late the loop is and what slices cost.
 *
 * <p>Each grade stands behind the one before it by {@link #GRADE_STEP_MS}: a job's rank is when it fell due plus that
 * for each grade,
 * so that what waits rises, and whatever is due now passes it only for so long. {@link Grade#ENDS} is outside of that: it goes
 * first always, and alone while the loop is late. Work takes from two buckets, its kind's and that of all background work,
 * which ENDS does not. Not thread-safe; times are milliseconds of a clock that may be set back, which costs nothing but
 * waiting.
 */
public final class Scheduler {
    /** By so much each grade stands behind the one before it. */
    public static final double GRADE_STEP_MS = 2000;
    /** From here on the loop is late, and nothing but ENDS runs. */
    public static final double LATE_LOOP_MS = 50;
    /** A job that throws waits so long before its next slice, doubled each time, and is set aside after so many in a row. */
    private static final double FIRST_PAUSE_MS = 100;
    private static final double LONGEST_PAUSE_MS = 60_000;
    private static final int MOST_THROWS = 8;

    /** A slice to be done now. */
    public record Slice(long job, String name, String kind, boolean blocks) {
    }

    /** A kind as people see it; {@code stopped}: why, or empty. */
    public record Report(String kind, Grade grade, int due, int later, int running, long slices, long shed, long thrown,
            double cpuMs, long bytes, double longestWaitMs, String stopped) {
    }

    private final class OfKind {
        private final Kind kind;
        private final TokenBucket cpu;
        private final TokenBucket bytes;
        private final TreeSet<Entry> due = new TreeSet<>(Comparator.comparingDouble((Entry e) -> e.rank)
                .thenComparingDouble(e -> e.job.deadlineMs()).thenComparingLong(e -> e.number));
        private int later;
        private int running;
        private int inTurn;
        private long slices;
        private long shed;
        private long thrown;
        private double cpuMs;
        private long written;
        private double longestWait;
        private String stopped = "";

        private OfKind(Kind kind, double now) {
            this.kind = kind;
            this.cpu = new TokenBucket(kind.cpuShare(), kind.burstMs(), now);
            this.bytes = kind.bytesPerSecond() == 0 ? null : new TokenBucket(kind.bytesPerSecond() / 1000.0,
                    kind.bytesPerSecond(), now);
        }

        private boolean mayRun(double now, boolean late) {
            if (!stopped.isEmpty() || due.isEmpty() || inTurn >= kind.slicesPerIteration()) {
                return false;
            }
            Entry first = due.first();
            boolean ends = first.grade == Grade.ENDS;
            // Each is asked, also where one says no: a clock that was set back is seen by all of them at once.
            boolean has = cpu.has(now) & (bytes == null || bytes.has(now)) & all.has(now);
            return ends || !late && has;
        }
    }

    private static final class Entry {
        private final long number;
        private final Job job;
        private final OfKind of;
        private final Set<Long> after;
        private Grade grade;
        private double dueMs;
        private double rank;
        private int thrown;
        private State state = State.LATER;
        private double begunMs;

        private Entry(long number, Job job, OfKind of, Set<Long> after) {
            this.number = number;
            this.job = job;
            this.of = of;
            this.after = after;
            this.grade = of.kind.grade();
            this.dueMs = job.dueMs();
        }
    }

    private enum State {
        LATER, DUE, RUNNING, GONE
    }

    private final int most;
    private final SplittableRandom random;
    private final TokenBucket all;
    private final Map<String, OfKind> kinds = new LinkedHashMap<>();
    private final Map<Long, Entry> jobs = new HashMap<>();
    /** Whose slice runs; one that was called off is still here until that has ended. */
    private final Map<Long, Entry> running = new HashMap<>();
    private final Map<Long, Set<Long>> dependents = new HashMap<>();
    private final PriorityQueue<Entry> later = new PriorityQueue<>(Comparator.comparingDouble((Entry e) -> e.dueMs)
            .thenComparingLong(e -> e.number));
    private final List<String> events = new ArrayList<>();
    private long last;

    /**
     * For so many jobs at most.
     *
     * @param cpuShare of one core for all background work but ENDS
     * @param burstMs of CPU that it may have saved up
     */
    public Scheduler(int most, double cpuShare, double burstMs, long seed, double now) {
        this.most = most;
        this.all = new TokenBucket(cpuShare, burstMs, now);
        this.random = new SplittableRandom(seed);
    }

    /** A kind of work; its name may not be known yet. */
    public void addKind(Kind kind, double now) {
        if (kinds.putIfAbsent(kind.name(), new OfKind(kind, now)) != null) {
            throw new IllegalArgumentException("there is a kind of this name: " + kind.name());
        }
    }

    // ---- jobs ----

    /**
     * Takes a job on.
     *
     * @return its number; empty: there are too many, and none that is idle to be shed for it
     */
    public Optional<Long> add(Job job, double now) {
        OfKind of = kinds.get(job.kind());
        if (of == null) {
            throw new IllegalArgumentException("no kind of work of this name: " + job.kind());
        }
        if (jobs.size() >= most && !shed(of.kind.grade())) {
            return Optional.empty();
        }
        Set<Long> after = new HashSet<>();
        for (long before : job.after()) {
            if (jobs.containsKey(before)) {
                after.add(before);
            }
        }
        Entry entry = new Entry(++last, job, of, after);
        jobs.put(entry.number, entry);
        after.forEach(before -> dependents.computeIfAbsent(before, b -> new HashSet<>()).add(entry.number));
        wait(entry, job.dueMs());
        fallDue(now);
        return Optional.of(entry.number);
    }

    /** The idle job that would come last makes room for one that is not idle. */
    private boolean shed(Grade wanted) {
        if (wanted == Grade.IDLE) {
            return false;
        }
        Entry idlest = null;
        for (Entry e : jobs.values()) {
            boolean can = e.grade == Grade.IDLE && e.state != State.RUNNING && e.job.periodMs() == 0;
            if (can && (idlest == null || e.dueMs > idlest.dueMs || e.dueMs == idlest.dueMs && e.number > idlest.number)) {
                idlest = e;
            }
        }
        if (idlest == null) {
            return false;
        }
        idlest.of.shed++;
        events.add("shed " + idlest.job.name());
        remove(idlest, false);
        return true;
    }

    /** Calls a job off, and all that come after it; a slice that runs ends, and is its last. */
    public void cancel(long number) {
        Entry entry = jobs.get(number);
        if (entry != null) {
            remove(entry, false);
        }
    }

    /** A job is of this grade from now on: what frees room must not wait behind those that wait for room. */
    public void raiseGrade(long number, Grade grade, double now) {
        Entry entry = jobs.get(number);
        if (entry == null || grade.compareTo(entry.grade) >= 0) {
            return;
        }
        boolean due = entry.state == State.DUE;
        if (due) {
            entry.of.due.remove(entry);
        }
        entry.grade = grade;
        entry.rank = entry.dueMs + grade.ordinal() * GRADE_STEP_MS;
        if (due) {
            entry.of.due.add(entry);
        } else if (entry.state == State.LATER && entry.after.isEmpty()) {
            later.remove(entry);
            entry.of.later--;
            wait(entry, now);
            fallDue(now);
        }
    }

    private void remove(Entry entry, boolean done) {
        if (entry.state == State.DUE) {
            entry.of.due.remove(entry);
        } else if (entry.state == State.LATER && later.remove(entry)) {
            entry.of.later--;
        }
        entry.state = State.GONE;
        jobs.remove(entry.number);
        entry.after.forEach(before -> dependents.getOrDefault(before, Set.of()).remove(entry.number));
        Set<Long> next = dependents.remove(entry.number);
        if (next == null) {
            return;
        }
        for (long number : List.copyOf(next)) {
            Entry waits = jobs.get(number);
            if (waits == null) {
                continue;
            }
            waits.after.remove(entry.number);
            if (!done) {
                events.add("called off " + waits.job.name() + ": " + entry.job.name() + " did not end");
                remove(waits, false);
            } else if (waits.after.isEmpty()) {
                wait(waits, waits.dueMs);
            }
        }
    }

    private void wait(Entry entry, double dueMs) {
        entry.dueMs = dueMs;
        entry.rank = dueMs + entry.grade.ordinal() * GRADE_STEP_MS;
        entry.state = State.LATER;
        if (entry.after.isEmpty()) {
            later.add(entry);
            entry.of.later++;
        }
    }

    private void fallDue(double now) {
        while (!later.isEmpty() && later.peek().dueMs <= now) {
            Entry entry = later.poll();
            entry.of.later--;
            entry.state = State.DUE;
            entry.of.due.add(entry);
        }
    }

    // ---- slices ----

    /** The loop's turn begins: each kind may have its slices of it. */
    public void beginIteration() {
        kinds.values().forEach(k -> k.inTurn = 0);
    }

    /** The slice to be done next, if any may be; it runs from now on until {@link #sliceDone} or {@link #sliceThrew}. */
    public Optional<Slice> next(double now, double latenessMs) {
        fallDue(now);
        boolean late = latenessMs >= LATE_LOOP_MS;
        Entry best = null;
        for (OfKind of : kinds.values()) {
            if (of.mayRun(now, late)) {
                Entry first = of.due.first();
                boolean ends = first.grade == Grade.ENDS;
                boolean bestEnds = best != null && best.grade == Grade.ENDS;
                if (best == null || ends && !bestEnds || ends == bestEnds && before(first, best)) {
                    best = first;
                }
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        OfKind of = best.of;
        of.due.remove(best);
        of.running++;
        of.inTurn++;
        of.longestWait = Math.max(of.longestWait, now - best.dueMs);
        best.state = State.RUNNING;
        best.begunMs = now;
        running.put(best.number, best);
        return Optional.of(new Slice(best.number, best.job.name(), of.kind.name(), of.kind.blocks()));
    }

    private static boolean before(Entry a, Entry b) {
        return a.rank < b.rank || a.rank == b.rank && (a.job.deadlineMs() < b.job.deadlineMs()
                || a.job.deadlineMs() == b.job.deadlineMs() && a.number < b.number);
    }

    /** A slice has ended. */
    public void sliceDone(long number, Cost cost, double now) {
        Entry entry = ended(number, cost, now);
        if (entry == null) {
            return;
        }
        entry.thrown = 0;
        if (cost.more()) {
            // Behind those of its rank that wait already: a long job lets others of its kind through.
            wait(entry, now);
        } else if (entry.job.periodMs() > 0) {
            entry.grade = entry.of.kind.grade();
            double period = entry.job.periodMs();
            double next = entry.dueMs + period;
            // What was missed while the machine stood still is not made up for.
            wait(entry, (next > now ? next : now + period) + random.nextDouble() * entry.job.jitter() * period);
        } else {
            remove(entry, true);
        }
        fallDue(now);
    }

    /** A slice has thrown: the job waits, longer each time, and is set aside after some. */
    public void sliceThrew(long number, Cost cost, double now) {
        Entry entry = ended(number, cost, now);
        if (entry == null) {
            return;
        }
        entry.of.thrown++;
        if (++entry.thrown >= MOST_THROWS) {
            events.add("set aside " + entry.job.name() + ": it threw " + MOST_THROWS + " times in a row");
            remove(entry, false);
        } else {
            wait(entry, now + Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * Math.pow(2, entry.thrown - 1)));
        }
    }

    /** Whose slice it was; null if it was called off meanwhile, which costs the same. */
    private Entry ended(long number, Cost cost, double now) {
        Entry entry = running.remove(number);
        if (entry == null) {
            throw new IllegalStateException("no slice of job " + number + " runs");
        }
        entry.of.running--;
        charge(entry, cost, now);
        return entry.state == State.GONE ? null : entry;
    }

    private void charge(Entry entry, Cost cost, double now) {
        OfKind of = entry.of;
        of.slices++;
        of.cpuMs += cost.cpuMs();
        of.written += cost.bytes();
        of.cpu.take(now, cost.cpuMs());
        if (of.bytes != null) {
            of.bytes.take(now, cost.bytes());
        }
        if (entry.grade != Grade.ENDS) {
            all.take(now, cost.cpuMs());
        }
        if (!of.kind.blocks() && cost.cpuMs() > of.kind.maxSliceMs()) {
            stop(entry, "a slice took " + Math.round(cost.cpuMs()) + " ms of the loop");
        }
    }

    /** Looks for slices that do not end; a kind of which one does not is stopped, and told of. */
    public void checkOverruns(double now) {
        for (Entry entry : running.values()) {
            if (now - entry.begunMs > entry.of.kind.maxSliceMs()) {
                stop(entry, "a slice has not ended for " + Math.round(now - entry.begunMs) + " ms");
            }
        }
    }

    private void stop(Entry entry, String why) {
        if (entry.of.stopped.isEmpty()) {
            entry.of.stopped = entry.job.name() + ": " + why;
            events.add("stopped " + entry.of.kind.name() + ": " + entry.of.stopped);
        }
    }

    // ---- what is told ----

    /** When {@link #next} may have something, if nothing else happens; infinite: never. */
    public double nextMs(double now) {
        double soonest = later.isEmpty() ? Double.POSITIVE_INFINITY : later.peek().dueMs;
        for (OfKind of : kinds.values()) {
            if (of.stopped.isEmpty() && !of.due.isEmpty()) {
                double ready = of.due.first().grade == Grade.ENDS ? now : Math.max(of.cpu.readyMs(now), all.readyMs(now));
                soonest = Math.min(soonest, of.bytes == null || of.due.first().grade == Grade.ENDS ? ready
                        : Math.max(ready, of.bytes.readyMs(now)));
            }
        }
        return soonest;
    }

    /** What people should hear, since it was last asked for. */
    public List<String> takeEvents() {
        List<String> since = List.copyOf(events);
        events.clear();
        return since;
    }

    /** Whether a job is known: it has not ended, nor was it called off. */
    public boolean contains(long number) {
        return jobs.containsKey(number);
    }

    /** Jobs that are known. */
    public int jobCount() {
        return jobs.size();
    }

    /** Each kind, in the order in which they came. */
    public List<Report> report() {
        return kinds.values().stream().map(k -> new Report(k.kind.name(), k.kind.grade(), k.due.size(), k.later, k.running,
                k.slices, k.shed, k.thrown, k.cpuMs, k.written, k.longestWait, k.stopped)).toList();
    }
}
