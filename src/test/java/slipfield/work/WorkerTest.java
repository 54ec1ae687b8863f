package slipfield.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import slipfield.standin.Stub;
import slipfield.work.decide.Grade;
import slipfield.work.decide.Job;
import slipfield.work.decide.Kind;
import slipfield.work.decide.Scheduler;

/** Who does the work: a real loop and a real pool. */
@Timeout(60)
class WorkerTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Worker worker = on(() -> new Worker(loop, new Worker.Limits(1000, 0.5, 200)));

    WorkerTest() {
        on(() -> {
            worker.registerKind(new Kind("live", Grade.LIVE, 0.5, 200, 0, 8, false, 10_000));
            worker.registerKind(new Kind("ends", Grade.ENDS, 0.5, 200, 0, 8, false, 10_000));
            worker.registerKind(new Kind("disk", Grade.SOON, 0.5, 200, 0, 8, true, 200));
            worker.registerKind(new Kind("other disk", Grade.SOON, 0.5, 200, 0, 8, true, 10_000));
            return null;
        });
    }

    @AfterEach
    void close() {
        on(() -> {
            worker.close();
            return null;
        });
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private <T> T on(Callable<T> call) {
        return loop.submit(call).syncUninterruptibly().getNow();
    }

    private void add(Job job, Task task) {
        assertTrue(on(() -> worker.add(job, task)).isPresent());
    }

    private Job job(String name, String kind) {
        return Job.once(name, kind, 0);
    }

    @Test
    void slicesOfOneJobRunInOrderOnTheThreadOfTheirKind() throws Exception {
        List<Integer> slices = new CopyOnWriteArrayList<>();
        List<Integer> pooled = new CopyOnWriteArrayList<>();
        List<String> wrong = new CopyOnWriteArrayList<>();
        add(job("live", "live"), () -> {
            if (!loop.inEventLoop()) {
                wrong.add("not on the loop");
            }
            slices.add(slices.size());
            return new Task.SliceResult(0, slices.size() < 100);
        });
        add(job("disk", "disk"), () -> {
            if (loop.inEventLoop()) {
                wrong.add("on the loop");
            }
            pooled.add(pooled.size());
            return new Task.SliceResult(100, pooled.size() < 50);
        });
        Stub.await("both are done", () -> slices.size() == 100 && pooled.size() == 50
                && on(worker::report).stream().allMatch(r -> r.due() + r.later() + r.running() == 0));
        assertEquals(IntStream.range(0, 100).boxed().toList(), slices);
        assertEquals(IntStream.range(0, 50).boxed().toList(), pooled);
        assertEquals(List.of(), wrong);
        Scheduler.Report disk = on(worker::report).get(2);
        assertEquals(5000, disk.bytes());
        assertEquals(50, disk.slices());
        assertTrue(disk.cpuMs() > 0);
    }

    @Test
    void aSliceThatNeverEndsIsNamedAndOthersGoOn() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        AtomicInteger done = new AtomicInteger();
        add(job("hangs", "disk"), () -> {
            never.await();
            return Task.SliceResult.LAST;
        });
        Stub.await("its kind is stopped", () -> on(worker::report).get(2).stopped().startsWith("hangs: a slice has not ended"));
        add(job("same kind", "disk"), () -> new Task.SliceResult(done.addAndGet(1000), false));
        for (int i = 0; i < 20; i++) {
            add(job("other", "other disk"), () -> new Task.SliceResult(done.incrementAndGet(), false));
        }
        Stub.await("others are done", () -> done.get() >= 20);
        never.countDown();
        Stub.await("it has ended", () -> on(worker::report).get(2).running() == 0);
        assertEquals(20, done.get(), "its kind stays stopped");
    }

    @Test
    void aTaskThatThrowsDoesNoHarmToOthers() throws Exception {
        AtomicInteger tries = new AtomicInteger();
        AtomicInteger good = new AtomicInteger();
        add(job("throws", "live"), () -> {
            if (tries.incrementAndGet() < 3) {
                throw new IllegalStateException("on purpose");
            }
            return Task.SliceResult.LAST;
        });
        add(job("too deep", "other disk"), () -> deep(0));
        add(Job.every("good", "live", 0, 5, 0.2), () -> {
            good.incrementAndGet();
            return Task.SliceResult.LAST;
        });
        Stub.await("it is tried again until it is done, and others meanwhile", () -> tries.get() == 3 && good.get() > 20);
        assertEquals(2, on(worker::report).get(0).thrown());
    }

    private static Task.SliceResult deep(int depth) {
        return depth < 0 ? Task.SliceResult.LAST : deep(depth + 1);
    }

    /** A loop that was held up does what ends wait for first, and the rest once it is on time again. */
    @Test
    void aLoopThatIsLateDoesEndsAlone() throws Exception {
        List<String> order = new ArrayList<>();
        CountDownLatch held = new CountDownLatch(1);
        loop.execute(() -> {
            worker.add(Job.once("live", "live", worker.nowMs() + 60), () -> {
                order.add("live at " + (worker.latenessMs() >= Scheduler.LATE_LOOP_MS ? "a late loop" : "rest"));
                return Task.SliceResult.LAST;
            });
            worker.add(Job.once("ends", "ends", worker.nowMs() + 60), () -> {
                order.add("ends");
                held.countDown();
                return Task.SliceResult.LAST;
            });
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(300);
            while (System.nanoTime() < until) {
                Thread.onSpinWait();
            }
        });
        assertTrue(held.await(20, TimeUnit.SECONDS));
        Stub.await("both are done", () -> on(() -> order.size() == 2));
        assertEquals(List.of("ends", "live at rest"), on(() -> List.copyOf(order)));
    }

    @Test
    void nothingIsBegunAfterItsEnd() {
        AtomicInteger done = new AtomicInteger();
        on(() -> {
            worker.close();
            return null;
        });
        on(() -> worker.add(Job.once("late", "live", 0), () -> {
            done.incrementAndGet();
            return Task.SliceResult.LAST;
        }));
        on(() -> null);
        assertFalse(done.get() > 0);
    }
}
