package slipfield.socket;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * An event loop with one thread that runs {@link ListenerChannel}s only. An accept call may block this thread, so no other
 * channel may be registered with it.
 */
public final class AcceptLoop {
    private static final long SHUTDOWN_TIMEOUT_MS = 100;

    private final EventLoopGroup group;

    private AcceptLoop(EventLoopGroup group) {
        this.group = group;
    }

    /** Starts the event loop. Fails if the system cannot open a selector, for example when file descriptors have run out. */
    public static AcceptLoop open() throws IOException {
        try {
            return new AcceptLoop(new GuardedLoopGroup(new DefaultThreadFactory("accept", true)));
        } catch (IllegalStateException e) {
            throw new IOException("no selector can be opened", e);
        }
    }

    /** The parent group for a server bootstrap. */
    public EventLoopGroup group() {
        return group;
    }

    /** Stops the thread. All listener channels on it must be closed before. */
    public void shutdown() {
        group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
}
