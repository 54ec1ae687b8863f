package slipfield.front.http;

import io.netty.buffer.CompositeByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;

/**
 * Netty's aggregator of request bodies, which also merges their parts. A client may send a body octet by octet; each part is an
 * object of its own, and would take a hundred times its octets.
 */
final class BodyAggregator extends HttpObjectAggregator {
    /** The heap that a part takes besides its octets. */
    private static final int BYTES_PER_PART = 128;

    private final Runnable oversized;
    private long heapBytes;

    /**
     * Creates an aggregator for one connection.
     *
     * @param maxBytes limit on a body
     * @param oversized called for a body over that limit; the rest of it is not read
     */
    BodyAggregator(int maxBytes, Runnable oversized) {
        super(maxBytes);
        this.oversized = oversized;
    }

    /** About how much heap the incomplete body takes, in bytes; 0 if there is none. */
    long heapBytes() {
        return heapBytes;
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage message) {
        heapBytes = 0;
        oversized.run();
    }

    @Override
    protected void aggregate(FullHttpMessage aggregated, HttpContent content) throws Exception {
        super.aggregate(aggregated, content);
        CompositeByteBuf body = (CompositeByteBuf) aggregated.content();
        mergeSmallParts(body);
        heapBytes = body.readableBytes() + (long) body.numComponents() * BYTES_PER_PART;
    }

    /**
     * Merges the last two parts while the last one is at least as large. So each part is smaller than the one before it, there
     * are few, and each octet is copied a few times only.
     */
    private static void mergeSmallParts(CompositeByteBuf body) {
        int last = body.numComponents() - 1;
        while (last > 0 && size(body, last) >= size(body, last - 1)) {
            body.consolidate(last - 1, 2);
            last--;
        }
    }

    private static int size(CompositeByteBuf body, int part) {
        return body.internalComponent(part).readableBytes();
    }

    @Override
    protected void finishAggregation(FullHttpMessage aggregated) throws Exception {
        heapBytes = 0;
        super.finishAggregation(aggregated);
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) throws Exception {
        heapBytes = 0;
        super.handlerRemoved(ctx);
    }
}
