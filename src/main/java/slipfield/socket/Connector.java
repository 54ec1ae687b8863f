package slipfield.socket;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.nio.channels.ClosedChannelException;

/**
 * Connects, and tells the outcome once, on the event loop, never inside the call. Where no socket can be opened Netty's future
 * carries a channel that belongs to no loop, completes on a thread of its own, and throws when that channel is closed; a
 * listener on the future itself would meet all three.
 */
public final class Connector {
    /** Who asked for a connection. */
    public interface Listener {
        /** It is up, and the listener's from now on. */
        void connected(Channel channel);

        /** There is none, and nothing is left to close. */
        void failed(Throwable cause);
    }

    private Connector() {
    }

    /** Connects by this bootstrap, whose event loop this is. */
    public static void connect(Bootstrap bootstrap, EventLoop loop, SocketAddress address, Listener listener) {
        ChannelFuture connecting = bootstrap.connect(address);
        connecting.addListener(done -> loop.execute(() -> {
            if (!connecting.isSuccess()) {
                listener.failed(connecting.cause());
            } else if (connecting.channel().isActive()) {
                listener.connected(connecting.channel());
            } else {
                // Its pipeline is empty by now.
                listener.failed(new ClosedChannelException());
            }
        }));
    }
}
