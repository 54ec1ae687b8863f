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
 * Decides which slice of background work runs next. Pure logic: callers pass the time, the lateness of the event loop and the
 * cost of slices.
 *
 * <p>Jobs run in the order of their rank, which is the time when a job fell due plus {@link #GRADE_STEP_MS} per grade below
 * the highest. So a waiting job of a lower grade is overtaken only by jobs that fall due within that time, and does not
 * starve. {@link Grade#ENDS} is exempt: it always runs first, and alone while the loop is late. Work is charged to two token
 * buckets, one of its kind and one of all background work; ENDS does not wait for either, and is not charged to the common
 * one. Not thread-safe. Times are in milliseconds; if the clock is set back, jobs wait longer and nothing else happens.
 */
public final class Scheduler {
    /** Added to a job's rank for each grade below the highest, in milliseconds. */
    public static final double GRADE_STEP_MS = 2000;
    /** Lateness of the event loop, in milliseconds, from which on only ENDS runs. */
    public static final double LATE_LOOP_MS = 50;
    /** Pause after a slice that threw, doubled each time; the job is given up after MAX_THROWS in a row. */
    private static final double FIRST_PAUSE_MS = 100;
    private static final double MAX_PAUSE_MS = 60_000;
    private static final int MAX_THROWS = 8;

    /** A slice to run now. */
    public record Slice(long job, String name, String kind, boolean blocks) {
    }

    /**
     * The state of a kind of work, for display; written to a JSON file under these names.
     *
     * @param due jobs that may run now
     * @param later jobs that are due later
     * @param running jobs with a running slice
     * @param slices slices that have ended
     * @param shed jobs that were shed
     * @param thrown slices that threw
     * @param cpuMs CPU time used, in milliseconds
     * @param bytes bytes written
     * @param longestWaitMs the longest time that a job waited for a slice after it fell due, in milliseconds
     * @param stopped why the kind was stopped; empty: it was not
     */
    public record Report(String kind, Grade grade, int due, int later, int running, long slices, long shed, long thrown,
            double cpuMs, long bytes, double longestWaitMs, String stopped) {
    }

    private final class KindState {
        private final Kind kind;
        private final TokenBucket cpu;
        private final TokenBucket bytes;
        private final TreeSet<JobEntry> due = new TreeSet<>(Comparator.comparingDouble((JobEntry e) -> e.rank)
                .thenComparingDouble(e -> e.job.deadlineMs()).thenComparingLong(e -> e.number));
        private int later;
        private int running;
        private int slicesInIteration;
        private long slices;
        private long shed;
        private long thrown;
        private double cpuMs;
        private long bytesWritten;
        private double longestWaitMs;
        private String stopped = "";

        private KindState(Kind kind, double now) {
            this.kind = kind;
            this.cpu = new TokenBucket(kind.cpuShare(), kind.burstMs(), now);
            this.bytes = kind.bytesPerSecond() == 0 ? null : new TokenBucket(kind.bytesPerSecond() / 1000.0,
                    kind.bytesPerSecond(), now);
        }

        private boolean mayRun(double now, boolean late) {
            if (!stopped.isEmpty() || due.isEmpty() || slicesInIteration >= kind.slicesPerIteration()) {
                return false;
            }
            JobEntry first = due.first();
            boolean ends = first.grade == Grade.ENDS;
            // No short-circuit: every bucket must see the time, so that all notice a clock that was set back.
            boolean hasBudget = cpu.hasTokens(now) & (bytes == null || bytes.hasTokens(now)) & total.hasTokens(now);
            return ends || !late && hasBudget;
        }
    }

    private static final class JobEntry {
        private final long number;
        private final Job job;
        private final KindState kindState;
        private final Set<Long> after;
        private Grade grade;
        private double dueMs;
        private double rank;
        private int throwsInRow;
        private State state = State.LATER;
        private double startedMs;

        private JobEntry(long number, Job job, KindState kindState, Set<Long> after) {
            this.number = number;
            this.job = job;
            this.kindState = kindState;
            this.after = after;
            this.grade = kindState.kind.grade();
            this.dueMs = job.dueMs();
        }
    }

    private enum State {
        LATER, DUE, RUNNING, REMOVED
    }

    private final int maxJobs;
    private final SplittableRandom random;
    private final TokenBucket total;
    private final Map<String, KindState> kinds = new LinkedHashMap<>();
    private final Map<Long, JobEntry> jobs = new HashMap<>();
    /** Jobs with a running slice; a cancelled one stays here until its slice has ended. */
    private final Map<Long, JobEntry> running = new HashMap<>();
    private final Map<Long, Set<Long>> dependents = new HashMap<>();
    private final PriorityQueue<JobEntry> later = new PriorityQueue<>(Comparator.comparingDouble((JobEntry e) -> e.dueMs)
            .thenComparingLong(e -> e.number));
    private final List<String> events = new ArrayList<>();
    private long lastNumber;

    /**
     * A scheduler without kinds of work.
     *
     * @param maxJobs jobs known at the same time
     * @param cpuShare CPU budget of all background work but ENDS, as a share of one core
     * @param burstMs CPU time that it may save up, in milliseconds
     * @param seed of the random jitter of periodic jobs
     */
    public Scheduler(int maxJobs, double cpuShare, double burstMs, long seed, double now) {
        this.maxJobs = maxJobs;
        this.total = new TokenBucket(cpuShare, burstMs, now);
        this.random = new SplittableRandom(seed);
    }

    /** Adds a kind of work; throws {@link IllegalArgumentException} if there is one of this name. */
    public void addKind(Kind kind, double now) {
        if (kinds.putIfAbsent(kind.name(), new KindState(kind, now)) != null) {
            throw new IllegalArgumentException("a kind of work with this name exists already: " + kind.name());
        }
    }

    // ---- jobs ----

    /**
     * Adds a job, and returns its number. Empty if there are too many jobs and none of grade IDLE can be shed for it. Throws
     * {@link IllegalArgumentException} if its kind is unknown.
     */
    public Optional<Long> add(Job job, double now) {
        KindState kindState = kinds.get(job.kind());
        if (kindState == null) {
            throw new IllegalArgumentException("unknown kind of work: " + job.kind());
        }
        if (jobs.size() >= maxJobs && !shed(kindState.kind.grade())) {
            return Optional.empty();
        }
        Set<Long> after = new HashSet<>();
        for (long before : job.after()) {
            if (jobs.containsKey(before)) {
                after.add(before);
            }
        }
        JobEntry entry = new JobEntry(++lastNumber, job, kindState, after);
        jobs.put(entry.number, entry);
        after.forEach(before -> dependents.computeIfAbsent(before, b -> new HashSet<>()).add(entry.number));
        setDue(entry, job.dueMs());
        moveDue(now);
        return Optional.of(entry.number);
    }

    /** Removes the job of grade IDLE that is due last, to make room for a job of a higher grade; false if there is none. */
    private boolean shed(Grade wanted) {
        if (wanted == Grade.IDLE) {
            return false;
        }
        JobEntry victim = null;
        for (JobEntry e : jobs.values()) {
            boolean sheddable = e.grade == Grade.IDLE && e.state != State.RUNNING && e.job.periodMs() == 0;
            if (sheddable && (victim == null || e.dueMs > victim.dueMs || e.dueMs == victim.dueMs && e.number > victim.number)) {
                victim = e;
            }
        }
        if (victim == null) {
            return false;
        }
        victim.kindState.shed++;
        events.add("shed " + victim.job.name());
        remove(victim, false);
        return true;
    }

    /** Cancels a job and all jobs that depend on it. A running slice is not interrupted, but it is the last one. */
    public void cancel(long number) {
        JobEntry entry = jobs.get(number);
        if (entry != null) {
            remove(entry, false);
        }
    }

    /**
     * Raises the grade of a job, and makes it due unless it waits for other jobs; a grade that is not higher is ignored. Used
     * for work that frees resources, which must not wait behind the work that needs them.
     */
    public void raiseGrade(long number, Grade grade, double now) {
        JobEntry entry = jobs.get(number);
        if (entry == null || grade.compareTo(entry.grade) >= 0) {
            return;
        }
        boolean due = entry.state == State.DUE;
        if (due) {
            entry.kindState.due.remove(entry);
        }
        entry.grade = grade;
        entry.rank = entry.dueMs + grade.ordinal() * GRADE_STEP_MS;
        if (due) {
            entry.kindState.due.add(entry);
        } else if (entry.state == State.LATER && entry.after.isEmpty()) {
            later.remove(entry);
            entry.kindState.later--;
            setDue(entry, now);
            moveDue(now);
        }
    }

    /** Removes a job; {@code done}: it was completed, so the jobs that depend on it may run; otherwise they are removed too. */
    private void remove(JobEntry entry, boolean done) {
        if (entry.state == State.DUE) {
            entry.kindState.due.remove(entry);
        } else if (entry.state == State.LATER && later.remove(entry)) {
            entry.kindState.later--;
        }
        entry.state = State.REMOVED;
        jobs.remove(entry.number);
        entry.after.forEach(before -> dependents.getOrDefault(before, Set.of()).remove(entry.number));
        Set<Long> next = dependents.remove(entry.number);
        if (next == null) {
            return;
        }
        for (long number : List.copyOf(next)) {
            JobEntry dependent = jobs.get(number);
            if (dependent == null) {
                continue;
            }
            dependent.after.remove(entry.number);
            if (!done) {
                events.add("cancelled " + dependent.job.name() + ": " + entry.job.name() + " was not completed");
                remove(dependent, false);
            } else if (dependent.after.isEmpty()) {
                setDue(dependent, dependent.dueMs);
            }
        }
    }

    private void setDue(JobEntry entry, double dueMs) {
        entry.dueMs = dueMs;
        entry.rank = dueMs + entry.grade.ordinal() * GRADE_STEP_MS;
        entry.state = State.LATER;
        if (entry.after.isEmpty()) {
            later.add(entry);
            entry.kindState.later++;
        }
    }

    private void moveDue(double now) {
        while (!later.isEmpty() && later.peek().dueMs <= now) {
            JobEntry entry = later.poll();
            entry.kindState.later--;
            entry.state = State.DUE;
            entry.kindState.due.add(entry);
        }
    }

    // ---- slices ----

    /** Starts an event-loop iteration: each kind may run its number of slices again. */
    public void beginIteration() {
        kinds.values().forEach(k -> k.slicesInIteration = 0);
    }

    /**
     * Returns the slice to run next, or empty if none may run now. It counts as running until {@link #sliceDone} or
     * {@link #sliceThrew} is called. {@code latenessMs}: lateness of the event loop in milliseconds.
     */
    public Optional<Slice> next(double now, double latenessMs) {
        moveDue(now);
        boolean late = latenessMs >= LATE_LOOP_MS;
        JobEntry best = null;
        for (KindState kindState : kinds.values()) {
            if (kindState.mayRun(now, late)) {
                JobEntry first = kindState.due.first();
                boolean ends = first.grade == Grade.ENDS;
                boolean bestEnds = best != null && best.grade == Grade.ENDS;
                if (best == null || ends && !bestEnds || ends == bestEnds && ranksBefore(first, best)) {
                    best = first;
                }
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        KindState kindState = best.kindState;
        kindState.due.remove(best);
        kindState.running++;
        kindState.slicesInIteration++;
        kindState.longestWaitMs = Math.max(kindState.longestWaitMs, now - best.dueMs);
        best.state = State.RUNNING;
        best.startedMs = now;
        running.put(best.number, best);
        return Optional.of(new Slice(best.number, best.job.name(), kindState.kind.name(), kindState.kind.blocks()));
    }

    private static boolean ranksBefore(JobEntry a, JobEntry b) {
        return a.rank < b.rank || a.rank == b.rank && (a.job.deadlineMs() < b.job.deadlineMs()
                || a.job.deadlineMs() == b.job.deadlineMs() && a.number < b.number);
    }

    /** A slice has ended normally, with this cost. */
    public void sliceDone(long number, Cost cost, double now) {
        JobEntry entry = endSlice(number, cost, now);
        if (entry == null) {
            return;
        }
        entry.throwsInRow = 0;
        if (cost.more()) {
            // It is due from now on, so a long job queues behind the others of its kind that are due already.
            setDue(entry, now);
        } else if (entry.job.periodMs() > 0) {
            entry.grade = entry.kindState.kind.grade();
            double period = entry.job.periodMs();
            double next = entry.dueMs + period;
            // Periods that were missed, for instance while the machine was suspended, are skipped.
            setDue(entry, (next > now ? next : now + period) + random.nextDouble() * entry.job.jitter() * period);
        } else {
            remove(entry, true);
        }
        moveDue(now);
    }

    /** A slice has thrown: the job is due again after a pause that doubles each time, and is given up after MAX_THROWS. */
    public void sliceThrew(long number, Cost cost, double now) {
        JobEntry entry = endSlice(number, cost, now);
        if (entry == null) {
            return;
        }
        entry.kindState.thrown++;
        if (++entry.throwsInRow >= MAX_THROWS) {
            events.add("set aside " + entry.job.name() + ": it threw " + MAX_THROWS + " times in a row");
            remove(entry, false);
        } else {
            setDue(entry, now + Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * Math.pow(2, entry.throwsInRow - 1)));
        }
    }

    /** Charges an ended slice, and returns its job; null if the job was cancelled meanwhile. */
    private JobEntry endSlice(long number, Cost cost, double now) {
        JobEntry entry = running.remove(number);
        if (entry == null) {
            throw new IllegalStateException("job " + number + " has no running slice");
        }
        entry.kindState.running--;
        charge(entry, cost, now);
        return entry.state == State.REMOVED ? null : entry;
    }

    private void charge(JobEntry entry, Cost cost, double now) {
        KindState kindState = entry.kindState;
        kindState.slices++;
        kindState.cpuMs += cost.cpuMs();
        kindState.bytesWritten += cost.bytes();
        kindState.cpu.charge(now, cost.cpuMs());
        if (kindState.bytes != null) {
            kindState.bytes.charge(now, cost.bytes());
        }
        if (entry.grade != Grade.ENDS) {
            total.charge(now, cost.cpuMs());
        }
        if (!kindState.kind.blocks() && cost.cpuMs() > kindState.kind.maxSliceMs()) {
            stop(entry, "a slice took " + Math.round(cost.cpuMs()) + " ms on the event loop");
        }
    }

    /** Stops each kind with a slice that runs for longer than {@link Kind#maxSliceMs}, and reports an event. */
    public void checkOverruns(double now) {
        for (JobEntry entry : running.values()) {
            if (now - entry.startedMs > entry.kindState.kind.maxSliceMs()) {
                stop(entry, "a slice has not ended for " + Math.round(now - entry.startedMs) + " ms");
            }
        }
    }

    private void stop(JobEntry entry, String why) {
        if (entry.kindState.stopped.isEmpty()) {
            entry.kindState.stopped = entry.job.name() + ": " + why;
            events.add("stopped " + entry.kindState.kind.name() + ": " + entry.kindState.stopped);
        }
    }

    // ---- reports ----

    /** When {@link #next} may return a slice if nothing else happens; infinite: never. */
    public double nextMs(double now) {
        double earliest = later.isEmpty() ? Double.POSITIVE_INFINITY : later.peek().dueMs;
        for (KindState kindState : kinds.values()) {
            if (kindState.stopped.isEmpty() && !kindState.due.isEmpty()) {
                double ready = kindState.due.first().grade == Grade.ENDS ? now
                        : Math.max(kindState.cpu.readyMs(now), total.readyMs(now));
                earliest = Math.min(earliest, kindState.bytes == null || kindState.due.first().grade == Grade.ENDS ? ready
                        : Math.max(ready, kindState.bytes.readyMs(now)));
            }
        }
        return earliest;
    }

    /** Returns the events for operators since the last call: jobs that were shed, cancelled or given up, kinds stopped. */
    public List<String> takeEvents() {
        List<String> taken = List.copyOf(events);
        events.clear();
        return taken;
    }

    /** Whether a job is known, that is, neither completed nor removed. */
    public boolean contains(long number) {
        return jobs.containsKey(number);
    }

    /** Number of known jobs. */
    public int jobCount() {
        return jobs.size();
    }

    /** Reports each kind of work, in the order in which they were added. */
    public List<Report> report() {
        return kinds.values().stream().map(k -> new Report(k.kind.name(), k.kind.grade(), k.due.size(), k.later, k.running,
                k.slices, k.shed, k.thrown, k.cpuMs, k.bytesWritten, k.longestWaitMs, k.stopped)).toList();
    }
}
