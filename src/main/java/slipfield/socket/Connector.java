package slipfield.socket;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.nio.channels.ClosedChannelException;

/**
 * Opens a connection and reports the result exactly once, on the event loop and never from within the call. A listener on
 * Netty's connect future would have to handle the case that no socket can be opened: the future then holds a channel that is
 * registered with no event loop, it completes on another thread, and closing that channel throws.
 */
public final class Connector {
    /** Receives the result of a connection attempt. */
    public interface Listener {
        /** The connection is established. From now on the listener owns the channel and has to close it. */
        void connected(Channel channel);

        /** The connection could not be established. There is no channel to close. */
        void failed(Throwable cause);
    }

    private Connector() {
    }

    /** Connects to an address with this bootstrap. {@code loop} must be the bootstrap's event loop. */
    public static void connect(Bootstrap bootstrap, EventLoop loop, SocketAddress address, Listener listener) {
        ChannelFuture connecting = bootstrap.connect(address);
        connecting.addListener(done -> loop.execute(() -> {
            if (!connecting.isSuccess()) {
                listener.failed(connecting.cause());
            } else if (connecting.channel().isActive()) {
                listener.connected(connecting.channel());
            } else {
                // The channel was closed before this task ran; its pipeline is empty, so no handler would notice.
                listener.failed(new ClosedChannelException());
            }
        }));
    }
}
