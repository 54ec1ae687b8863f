package slipfield.socket;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import slipfield.log.FatalErrors;
import slipfield.log.Log;

/** Fatal errors on an event loop, which Netty alone would log or store while the process stays. */
@Timeout(30)
class GuardedLoopGroupTest {
    private final GuardedLoopGroup group = new GuardedLoopGroup("test");
    private final CountDownLatch terminated = new CountDownLatch(1);

    @BeforeEach
    void watch() {
        FatalErrors.terminateBy(terminated::countDown);
    }

    @AfterEach
    void close() {
        FatalErrors.terminateBy(() -> { });
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private void assertTerminates(BiConsumer<EventLoop, Runnable> start) throws Exception {
        start.accept(group.next(), () -> {
            throw new OutOfMemoryError("forced");
        });
        assertTrue(terminated.await(10, TimeUnit.SECONDS));
    }

    /** Guards against a process that stays after its event loop could not complete a task. */
    @Test
    void anErrorInATaskEndsTheProcess() throws Exception {
        assertTerminates(EventLoop::execute);
    }

    /** Netty stores it in a future that nobody reads. */
    @Test
    void anErrorInAScheduledTaskEndsTheProcess() throws Exception {
        assertTerminates((loop, task) -> loop.schedule(task, 1, TimeUnit.MILLISECONDS));
    }

    /** A periodic task, such as a sweep of connections, would silently not run again. */
    @Test
    void anErrorInAPeriodicTaskEndsTheProcess() throws Exception {
        assertTerminates((loop, task) -> loop.scheduleWithFixedDelay(task, 0, 1, TimeUnit.MILLISECONDS));
    }

    /** Netty only logs it, and whoever waits for what the listener has to do waits for good. */
    @Test
    void anErrorInAListenerOfAFutureEndsTheProcess() throws Exception {
        Log.info("test.started");
        assertTerminates((loop, task) -> loop.newSucceededFuture(null).addListener(f -> task.run()));
    }

    /** Netty closes a listening socket after an error in accept, while the process stays without it. */
    @Test
    void anErrorInAcceptEndsTheProcess() throws Exception {
        EmbeddedChannel listener = new EmbeddedChannel(new ListenerChannel.AcceptFailureHandler());
        listener.pipeline().fireExceptionCaught(new OutOfMemoryError("forced"));
        assertTrue(terminated.await(0, TimeUnit.SECONDS));
    }

    /** An error in a pool's thread leaves a task that never reports its result; the process ends with a code of its own. */
    @Test
    void anErrorOnAnyThreadEndsTheProcessWithoutItsShutdownHooks() throws Exception {
        Process process = new ProcessBuilder(List.of(ProcessHandle.current().info().command().orElseThrow(), "-Xmx32m", "-cp",
                System.getProperty("java.class.path"), FailingProgram.class.getName())).redirectErrorStream(true).start();
        String log = new String(process.getInputStream().readAllBytes());
        assertEquals(FatalErrors.EXIT_CODE, process.waitFor(), log);
        assertTrue(log.contains(" process.fatal where=worker "), log);
    }

    /** A program whose shutdown hook never ends, as that of a sender whose event loop is gone would not. */
    public static final class FailingProgram {
        private FailingProgram() {
        }

        /** Fails on a thread of its own and stays. */
        public static void main(String[] arguments) throws Exception {
            CountDownLatch never = new CountDownLatch(1);
            FatalErrors.endProcess();
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                try {
                    never.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }));
            new Thread(() -> {
                throw new StackOverflowError("forced");
            }, "worker").start();
            never.await();
        }
    }
}
