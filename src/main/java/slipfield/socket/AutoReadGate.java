package slipfield.socket;

import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;

/**
 * Drops requests to read from a connection while its automatic reading is off. Netty's decoders and aggregators request another
 * read after each one that completed no message if automatic reading is off, so that a connection that is paused within a
 * message would be read on. It must precede them in the pipeline.
 */
@Sharable
public final class AutoReadGate extends ChannelOutboundHandlerAdapter {
    @Override
    public void read(ChannelHandlerContext ctx) {
        if (ctx.channel().config().isAutoRead()) {
            ctx.read();
        }
    }
}
