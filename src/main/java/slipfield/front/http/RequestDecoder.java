package slipfield.front.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import slipfield.http.HeaderLimits;

/**
 * Netty's decoder, except that it decodes only when it is told to: received data is passed to its connection, which returns it
 * in its turn. It stops after a number of requests or parts of them, or when the connection has to wait before its next one, and
 * keeps the rest.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private final Connection connection;
    private final HeaderLimits headers;
    private ChannelHandlerContext context;
    private int requestsLeft;
    private int partsLeft;
    /** Whether data was left that may hold a complete request. */
    private boolean stopped;

    /** The connection whose requests are decoded. */
    interface Connection {
        /** Data was received; the connection owns it. */
        void dataReceived(ByteBuf data);

        /** Whether the next request may be processed now. */
        boolean mayProcess();
    }

    /** {@code headers}: the limits on the fields of this connection's requests. */
    RequestDecoder(Connection connection, HeaderLimits headers) {
        super(headers.decoderConfig());
        this.connection = connection;
        this.headers = headers;
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
     * @param maxParts the number of heads and parts of bodies after which it stops
     * @return whether there is a rest again
     */
    boolean decode(ByteBuf data, int maxRequests, int maxParts) throws Exception {
        requestsLeft = maxRequests;
        partsLeft = maxParts;
        stopped = false;
        super.channelRead(context, data);
        return stopped;
    }

    /** The number of requests that the last call could still have decoded. */
    int requestsLeft() {
        return requestsLeft;
    }

    /** The number of parts that the last call could still have decoded. */
    int partsLeft() {
        return partsLeft;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> decoded) throws Exception {
        if (requestsLeft == 0 || partsLeft <= 0 || !connection.mayProcess()) {
            stopped = true;
            return;
        }
        int before = decoded.size();
        super.decode(ctx, in, decoded);
        for (int i = before; i < decoded.size(); i++) {
            partsLeft--;
            if (decoded.get(i) instanceof HttpContent part) {
                decoded.set(i, detached(part));
            }
        }
        if (!decoded.isEmpty() && decoded.get(decoded.size() - 1) instanceof LastHttpContent) {
            requestsLeft--;
        }
    }

    /** Copies a part of a body: as decoded it is a slice of the whole read, which would be kept for a single octet of it. */
    private static HttpContent detached(HttpContent part) {
        ByteBuf slice = part.content();
        if (!slice.isReadable()) {
            return part;
        }
        HttpContent copy = part.replace(slice.copy());
        part.release();
        return copy;
    }

    /** Leaves the headers unchanged: {@link RequestFramingValidator} rejects such a request. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    }

    /** Whether data remains after the request that was decoded last. */
    boolean hasMoreData() {
        return actualReadableBytes() > 0;
    }

    /** About how much heap the received part of a request's head and fields takes, in bytes. */
    long heapBytes() {
        return (hasMoreData() ? internalBuffer().capacity() : 0) + headers.heapBytes();
    }
}
