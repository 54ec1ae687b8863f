package slipfield.socket;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * A TCP connection whose reads may be interrupted. The JDK tells an interrupted read (EINTR) of a non-blocking socket by a
 * count below -1; Netty takes any count below 0 for the end of the stream and closes a connection that is whole.
 */
public final class StreamChannel extends NioSocketChannel {
    private static final int END_OF_STREAM = -1;

    /** One that is to be connected. */
    public StreamChannel() {
    }

    /** One that was accepted. */
    public StreamChannel(Channel listener, SocketChannel accepted) {
        super(listener, accepted);
    }

    @Override
    protected int doReadBytes(ByteBuf bytes) throws Exception {
        int count = super.doReadBytes(bytes);
        // Nothing was read: the selector reports it again.
        return count < END_OF_STREAM ? 0 : count;
    }
}
