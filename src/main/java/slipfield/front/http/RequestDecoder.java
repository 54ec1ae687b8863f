package slipfield.front.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Netty's decoder, except that it decodes only when it is told to: received data is passed to its connection, which returns it
 * in its turn. It stops after a number of requests, or when the connection has to wait before its next one, and keeps the rest.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private final Connection connection;
    private ChannelHandlerContext context;
    private int requestsLeft;
    /** Whether data was left that may hold a complete request. */
    private boolean stopped;

    /** The connection whose requests are decoded. */
    interface Connection {
        /** Data was received; the connection owns it. */
        void dataReceived(ByteBuf data);

        /** Whether the next request may be processed now. */
        boolean mayProcess();
    }

    RequestDecoder(Connection connection) {
        this.connection = connection;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) throws Exception {
        super.handlerAdded(ctx);
        context = ctx;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object data) {
        connection.dataReceived((ByteBuf) data);
    }

    /**
     * Decodes the rest of the data that was passed before, and then this.
     *
     * @param maxRequests the number of requests after which it stops
     * @return whether there is a rest again
     */
    boolean decode(ByteBuf data, int maxRequests) throws Exception {
        requestsLeft = maxRequests;
        stopped = false;
        super.channelRead(context, data);
        return stopped;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> decoded) throws Exception {
        if (requestsLeft == 0 || !connection.mayProcess()) {
            stopped = true;
            return;
        }
        super.decode(ctx, in, decoded);
        if (!decoded.isEmpty() && decoded.get(decoded.size() - 1) instanceof LastHttpContent) {
            requestsLeft--;
        }
    }

    /** Leaves the headers unchanged: {@link RequestFramingValidator} rejects such a request. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    }

    /** Whether data remains after the request that was decoded last. */
    boolean hasMoreData() {
        return actualReadableBytes() > 0;
    }
}
