package slipfield.work;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import slipfield.log.Log;
import slipfield.work.decide.Cost;
import slipfield.work.decide.Grade;
import slipfield.work.decide.Job;
import slipfield.work.decide.Kind;
import slipfield.work.decide.Scheduler;

/**
 * Does what the scheduler gives, on one event loop and, for what may block, on a small pool. All is asked for on the loop,
 * and the ends of slices on the pool are told there too, those of one job in their order.
 */
public final class Worker implements AutoCloseable {
    /** Slices on the loop in one turn, of all kinds together, last no longer than this before others have theirs. */
    private static final long TURN_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
    private static final long WATCH_MS = 50;
    private static final int POOL = 2;
    /** Slices that wait for a thread of the pool: beyond, nothing is asked for until one is free. */
    private static final int POOL_WAITING = 4;
    private static final long IDLE_THREAD_MS = 5000;

    private final EventLoop loop;
    private final Scheduler scheduler;
    private final Map<Long, Task> tasks = new HashMap<>();
    private final ThreadPoolExecutor pool;
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final long startNanos = System.nanoTime();
    private Future<?> wake;
    private double wakeMs = Double.POSITIVE_INFINITY;
    private double lateness;
    private double watchDueMs;
    private int onPool;
    private volatile boolean closed;

    /** Works on this loop, as this scheduler says; {@link #nowMs} is its clock. */
    public Worker(EventLoop loop, Limits limits) {
        this.loop = loop;
        this.scheduler = new Scheduler(limits.jobs(), limits.cpuShare(), limits.burstMs(), System.nanoTime(), 0);
        this.pool = new ThreadPoolExecutor(POOL, POOL, IDLE_THREAD_MS, TimeUnit.MILLISECONDS,
                new ArrayBlockingQueue<>(POOL_WAITING), task -> {
                    Thread thread = new Thread(task, "work");
                    thread.setDaemon(true);
                    return thread;
                });
        pool.allowCoreThreadTimeOut(true);
        loop.execute(this::watch);
    }

    /**
     * How much background work there may be.
     *
     * @param jobs known at one time
     * @param cpuShare of one core for all but ENDS
     * @param burstMs of CPU that may have been saved up
     */
    public record Limits(int jobs, double cpuShare, double burstMs) {
    }

    /** Milliseconds since this worker began, by a clock that is never set. */
    public double nowMs() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    /** A kind of work. */
    public void registerKind(Kind kind) {
        scheduler.addKind(kind, nowMs());
    }

    /** Takes a job on; empty where there are too many. */
    public Optional<Long> add(Job job, Task task) {
        Optional<Long> number = scheduler.add(job, nowMs());
        number.ifPresent(n -> tasks.put(n, task));
        tell();
        run();
        return number;
    }

    /** Calls a job off. */
    public void cancel(long number) {
        scheduler.cancel(number);
        tasks.remove(number);
        tell();
    }

    /** A job is of this grade from now on. */
    public void raise(long number, Grade grade) {
        scheduler.raiseGrade(number, grade, nowMs());
        run();
    }

    /** Each kind as it stands. */
    public List<Scheduler.Report> report() {
        return scheduler.report();
    }

    /** How late the loop was when it was last looked at, in milliseconds. */
    public double latenessMs() {
        return lateness;
    }

    /** The loop is as late as this tick is. */
    private void watch() {
        double now = nowMs();
        lateness = watchDueMs == 0 ? 0 : Math.max(0, now - watchDueMs);
        watchDueMs = now + WATCH_MS;
        if (!closed) {
            loop.schedule(this::watch, WATCH_MS, TimeUnit.MILLISECONDS);
        }
        scheduler.checkOverruns(now);
        tell();
        run();
    }

    private void run() {
        if (closed) {
            return;
        }
        scheduler.beginIteration();
        long until = System.nanoTime() + TURN_NANOS;
        while (System.nanoTime() < until && onPool < POOL + POOL_WAITING) {
            Optional<Scheduler.Slice> next = scheduler.next(nowMs(), lateness);
            if (next.isEmpty()) {
                break;
            }
            Scheduler.Slice slice = next.get();
            if (slice.blocks()) {
                hand(slice);
            } else {
                ended(slice, Outcome.of(tasks.get(slice.job()), this::cpuMs));
            }
        }
        tell();
        wakeLater();
    }

    private void hand(Scheduler.Slice slice) {
        Task task = tasks.get(slice.job());
        onPool++;
        try {
            pool.execute(() -> {
                Outcome outcome = Outcome.of(task, this::cpuMs);
                loop.execute(() -> {
                    onPool--;
                    ended(slice, outcome);
                    run();
                });
            });
        } catch (RejectedExecutionException e) {
            onPool--;
            ended(slice, new Outcome(0, Task.SliceResult.LAST, e));
        }
    }

    private double cpuMs() {
        return threads.isCurrentThreadCpuTimeSupported() ? threads.getCurrentThreadCpuTime() / 1e6 : System.nanoTime() / 1e6;
    }

    private void ended(Scheduler.Slice slice, Outcome outcome) {
        Cost cost = new Cost(outcome.cpuMs, outcome.done.bytes(), outcome.done.more());
        if (outcome.thrown == null) {
            scheduler.sliceDone(slice.job(), cost, nowMs());
        } else {
            Log.warn("work.threw", "job", slice.name(), "kind", slice.kind(), "cause", outcome.thrown);
            scheduler.sliceThrew(slice.job(), cost, nowMs());
        }
        if (!scheduler.contains(slice.job())) {
            tasks.remove(slice.job());
        }
    }

    /** What became of a slice. */
    private record Outcome(double cpuMs, Task.SliceResult done, Throwable thrown) {
        interface Clock {
            double ms();
        }

        static Outcome of(Task task, Clock cpu) {
            double before = cpu.ms();
            try {
                Task.SliceResult done = task == null ? Task.SliceResult.LAST : task.slice();
                return new Outcome(cpu.ms() - before, done, null);
            } catch (Exception | StackOverflowError e) {
                return new Outcome(cpu.ms() - before, Task.SliceResult.LAST, e);
            }
        }
    }

    private void tell() {
        List<String> events = scheduler.takeEvents();
        if (!events.isEmpty()) {
            events.forEach(event -> Log.warn("work.changed", "what", event));
            tasks.keySet().removeIf(number -> !scheduler.contains(number));
        }
    }

    private void wakeLater() {
        double now = nowMs();
        double next = Math.max(now + 1, scheduler.nextMs(now));
        if (wake != null && !wake.isDone() && wakeMs <= next) {
            return;
        }
        if (wake != null) {
            wake.cancel(false);
        }
        wakeMs = next;
        // What is further away than a tick of the watch is found by it.
        wake = next - now > WATCH_MS ? null : loop.schedule(this::run, (long) ((next - now) * 1000), TimeUnit.MICROSECONDS);
    }

    /** Nothing more is begun; what the pool has ends, and is not waited for. */
    @Override
    public void close() {
        closed = true;
        pool.shutdown();
    }
}
