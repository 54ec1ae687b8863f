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
 * Rejects requests with ambiguous framing: several transfer codings, a coding other than {@code chunked}, a transfer coding in a
 * version other than HTTP/1.1, or one together with a {@code Content-Length}. A proxy and this server could disagree on where the
 * body of such a request ends, and the rest of it could then be processed as another request (request smuggling).
 */
final class RequestFramingValidator extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object part) {
        if (part instanceof HttpRequest request) {
            List<String> codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
            boolean unambiguous = codings.isEmpty() || codings.size() == 1
                    && codings.get(0).equalsIgnoreCase(HttpHeaderValues.CHUNKED.toString())
                    && request.protocolVersion().equals(HttpVersion.HTTP_1_1)
                    && !request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
            if (!unambiguous && request.decoderResult().isSuccess()) {
                request.setDecoderResult(DecoderResult.failure(new BadInput("the length of the request body is ambiguous")));
            }
        }
        ctx.fireChannelRead(part);
    }
}
