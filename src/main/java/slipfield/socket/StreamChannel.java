package slipfield.socket;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * A TCP connection that is not read while its automatic reading is off, and that survives interrupted reads. The selector may
 * have reported a socket as readable before its reading was switched off in the same iteration of the event loop. The JDK reports an interrupted read (EINTR) of a non-blocking socket as a
 * count below -1; Netty treats any negative count as the end of the stream and would close an intact connection.
 */
public final class StreamChannel extends NioSocketChannel {
    private static final int END_OF_STREAM = -1;

    /** Creates a channel that is not connected yet. */
    public StreamChannel() {
    }

    /** Creates a channel for an accepted connection. */
    public StreamChannel(Channel listener, SocketChannel accepted) {
        super(listener, accepted);
    }

    @Override
    protected int doReadBytes(ByteBuf bytes) throws Exception {
        if (!config().isAutoRead()) {
            // Without this the selector would report the socket again and again.
            clearReadPending();
            return 0;
        }
        int count = super.doReadBytes(bytes);
        // An interrupted read has read nothing; the selector reports the socket as readable again.
        return count < END_OF_STREAM ? 0 : count;
    }
}
