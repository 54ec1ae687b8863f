package slipfield.socket;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** A thread for {@link ListenerChannel}s alone: an accept may hold it up, and nothing else may be. */
public final class AcceptLoop {
    private static final long END_MS = 100;

    private final EventLoopGroup group;

    private AcceptLoop(EventLoopGroup group) {
        this.group = group;
    }

    /** Opens one; fails while the system has no selector to give. */
    public static AcceptLoop open() throws IOException {
        try {
            return new AcceptLoop(new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("accept", true), NioIoHandler.newFactory()));
        } catch (IllegalStateException e) {
            throw new IOException("no selector can be opened", e);
        }
    }

    /** What a bootstrap takes as the group of its listeners. */
    public EventLoopGroup group() {
        return group;
    }

    /** Ends the thread; its listeners must be closed. */
    public void shutdown() {
        group.shutdownGracefully(0, END_MS, TimeUnit.MILLISECONDS);
    }
}
