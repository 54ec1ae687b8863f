package slipfield.socket;

import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import slipfield.log.FatalErrors;

/**
 * An event loop whose fatal errors are reported. Netty logs the {@link Error} of a task and continues, stores that of a scheduled
 * task in a future that nobody reads, and ends the thread after one in its own code, while the process stays.
 */
public final class GuardedLoopGroup extends MultiThreadIoEventLoopGroup {
    /** An event loop whose thread has this name, with a number added; the process does not end before it. */
    public GuardedLoopGroup(String name) {
        this(new DefaultThreadFactory(name, false, Thread.MAX_PRIORITY));
    }

    /** An event loop with a thread from this factory. */
    public GuardedLoopGroup(ThreadFactory threads) {
        super(1, threads, NioIoHandler.newFactory());
    }

    @Override
    protected IoEventLoop newChild(Executor executor, IoHandlerFactory ioHandlerFactory, Object... arguments) {
        return new GuardedLoop(this, executor, ioHandlerFactory);
    }

    private static final class GuardedLoop extends SingleThreadIoEventLoop {
        GuardedLoop(GuardedLoopGroup parent, Executor executor, IoHandlerFactory ioHandlerFactory) {
            super(parent, executor, ioHandlerFactory);
        }

        @Override
        protected void run() {
            try {
                super.run();
            } catch (Throwable e) {
                FatalErrors.report("event loop", e);
                throw e;
            }
        }

        @Override
        public void execute(Runnable task) {
            super.execute(guarded(task));
        }

        @Override
        public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
            return super.schedule(guarded(task), delay, unit);
        }

        @Override
        public ScheduledFuture<?> scheduleAtFixedRate(Runnable task, long initialDelay, long period, TimeUnit unit) {
            return super.scheduleAtFixedRate(guarded(task), initialDelay, period, unit);
        }

        @Override
        public ScheduledFuture<?> scheduleWithFixedDelay(Runnable task, long initialDelay, long delay, TimeUnit unit) {
            return super.scheduleWithFixedDelay(guarded(task), initialDelay, delay, unit);
        }

        private static Runnable guarded(Runnable task) {
            return () -> {
                try {
                    task.run();
                } catch (Error e) {
                    FatalErrors.report("event loop task", e);
                    throw e;
                }
            };
        }
    }
}
