package slipfield.front.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import slipfield.config.BadInput;

/**
 * Turns away a request whose length can be read in two ways, or in none: what one reader takes for its
 * body may be another request to the next reader.
 */
final class Framing extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object part) {
        if (part instanceof HttpRequest request) {
            List<String> codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
            boolean plain = codings.isEmpty() || codings.size() == 1
                    && codings.get(0).equalsIgnoreCase(HttpHeaderValues.CHUNKED.toString())
                    && request.protocolVersion().equals(HttpVersion.HTTP_1_1)
                    && !request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
            if (!plain && request.decoderResult().isSuccess()) {
                request.setDecoderResult(DecoderResult.failure(new BadInput("the length is not clear")));
            }
        }
        ctx.fireChannelRead(part);
    }
}
