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
 * Runs the slices that the scheduler selects, on one event loop or, for kinds that may block, on a small thread pool. The
 * scheduler is used on the event loop only: the results of slices on the pool are passed to it there, for each job in order.
 */
public final class Worker implements AutoCloseable {
    /** In one event-loop iteration no further slice is started after this time, so that the loop can do its other work. */
    private static final long ITERATION_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
    /** Interval at which the event loop's lateness is measured. */
    private static final long CHECK_MS = 50;
    private static final int POOL_THREADS = 2;
    /** Slices that may wait for a pool thread; when this many wait, no further slice is started until one is done. */
    private static final int POOL_QUEUE = 4;
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
    private double checkDueMs;
    private int poolSlices;
    private volatile boolean closed;

    /** Works on this event loop, within these limits. */
    public Worker(EventLoop loop, Limits limits) {
        this.loop = loop;
        this.scheduler = new Scheduler(limits.jobs(), limits.cpuShare(), limits.burstMs(), System.nanoTime(), 0);
        this.pool = new ThreadPoolExecutor(POOL_THREADS, POOL_THREADS, IDLE_THREAD_MS, TimeUnit.MILLISECONDS,
                new ArrayBlockingQueue<>(POOL_QUEUE), task -> {
                    Thread thread = new Thread(task, "work");
                    thread.setDaemon(true);
                    return thread;
                });
        pool.allowCoreThreadTimeOut(true);
        loop.execute(this::checkLateness);
    }

    /**
     * Limits of the background work.
     *
     * @param jobs how many jobs may exist at one time
     * @param cpuShare the share of one core that all work but {@link Grade#ENDS} may use
     * @param burstMs how much unused CPU time may accumulate, in ms
     */
    public record Limits(int jobs, double cpuShare, double burstMs) {
    }

    /** Milliseconds since this worker was created, by the monotonic clock; the time base of its jobs. */
    public double nowMs() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    /** Adds a kind of work; its name must be new. */
    public void registerKind(Kind kind) {
        scheduler.addKind(kind, nowMs());
    }

    /** Adds a job and returns its number; empty if there are too many. */
    public Optional<Long> add(Job job, Task task) {
        Optional<Long> number = scheduler.add(job, nowMs());
        number.ifPresent(n -> tasks.put(n, task));
        handleEvents();
        run();
        return number;
    }

    /** Cancels a job. */
    public void cancel(long number) {
        scheduler.cancel(number);
        tasks.remove(number);
        handleEvents();
    }

    /** Changes a job's grade. */
    public void setGrade(long number, Grade grade) {
        scheduler.raiseGrade(number, grade, nowMs());
        run();
    }

    /** The current state of each kind. */
    public List<Scheduler.Report> report() {
        return scheduler.report();
    }

    /** How late the event loop was at the last check, in ms. */
    public double latenessMs() {
        return lateness;
    }

    /** Runs at a fixed interval; the event loop is as late as this call is. */
    private void checkLateness() {
        double now = nowMs();
        lateness = checkDueMs == 0 ? 0 : Math.max(0, now - checkDueMs);
        checkDueMs = now + CHECK_MS;
        if (!closed) {
            loop.schedule(this::checkLateness, CHECK_MS, TimeUnit.MILLISECONDS);
        }
        scheduler.checkOverruns(now);
        handleEvents();
        run();
    }

    private void run() {
        if (closed) {
            return;
        }
        scheduler.beginIteration();
        long until = System.nanoTime() + ITERATION_NANOS;
        while (System.nanoTime() < until && poolSlices < POOL_THREADS + POOL_QUEUE) {
            Optional<Scheduler.Slice> next = scheduler.next(nowMs(), lateness);
            if (next.isEmpty()) {
                break;
            }
            Scheduler.Slice slice = next.get();
            if (slice.blocks()) {
                runOnPool(slice);
            } else {
                sliceEnded(slice, SliceOutcome.of(tasks.get(slice.job()), this::cpuMs));
            }
        }
        handleEvents();
        wakeLater();
    }

    private void runOnPool(Scheduler.Slice slice) {
        Task task = tasks.get(slice.job());
        poolSlices++;
        try {
            pool.execute(() -> {
                SliceOutcome outcome = SliceOutcome.of(task, this::cpuMs);
                loop.execute(() -> {
                    poolSlices--;
                    sliceEnded(slice, outcome);
                    run();
                });
            });
        } catch (RejectedExecutionException e) {
            poolSlices--;
            sliceEnded(slice, new SliceOutcome(0, Task.SliceResult.LAST, e));
        }
    }

    private double cpuMs() {
        return threads.isCurrentThreadCpuTimeSupported() ? threads.getCurrentThreadCpuTime() / 1e6 : System.nanoTime() / 1e6;
    }

    private void sliceEnded(Scheduler.Slice slice, SliceOutcome outcome) {
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

    /** A slice's CPU time and result; {@code thrown} is null unless it failed. */
    private record SliceOutcome(double cpuMs, Task.SliceResult done, Throwable thrown) {
        interface Clock {
            double ms();
        }

        static SliceOutcome of(Task task, Clock cpu) {
            double before = cpu.ms();
            try {
                Task.SliceResult done = task == null ? Task.SliceResult.LAST : task.slice();
                return new SliceOutcome(cpu.ms() - before, done, null);
            } catch (Exception | StackOverflowError e) {
                return new SliceOutcome(cpu.ms() - before, Task.SliceResult.LAST, e);
            }
        }
    }

    /** Logs the scheduler's events, and drops the tasks of jobs that it dropped. */
    private void handleEvents() {
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
        // The lateness check runs the work that is due later than its next call.
        wake = next - now > CHECK_MS ? null : loop.schedule(this::run, (long) ((next - now) * 1000), TimeUnit.MICROSECONDS);
    }

    /** Starts no further slice. Slices that the pool already has are still run; this method does not wait for them. */
    @Override
    public void close() {
        closed = true;
        pool.shutdown();
    }
}
