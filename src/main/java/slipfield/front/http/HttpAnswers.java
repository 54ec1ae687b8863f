package slipfield.front.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import slipfield.core.MessageIntake;

/** The answers to requests of clients. */
final class HttpAnswers {
    private HttpAnswers() {
    }

    /** An answer whose body is this text. */
    static FullHttpResponse of(HttpResponseStatus status, String text) {
        FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
        return answer;
    }

    /**
     * The refusal of a submission, with the time to come back if there is one.
     *
     * @param waitScope whether it says if that time applies to the destination or to the whole sender
     */
    static FullHttpResponse refusal(MessageIntake.SubmissionResult result, boolean waitScope) {
        FullHttpResponse refusal = of(HttpResponseStatus.SERVICE_UNAVAILABLE, result.reason());
        if (result.waitMs() > 0) {
            refusal.headers().set(HttpHeaderNames.RETRY_AFTER, seconds(result.waitMs()));
            if (waitScope) {
                refusal.headers().set("X-Wait-Scope", result.destination() ? "destination" : "sender");
            }
        }
        return refusal;
    }

    /** A refusal for want of room, with the time to come back. */
    static FullHttpResponse refusal(String text, long waitMs) {
        FullHttpResponse refusal = of(HttpResponseStatus.SERVICE_UNAVAILABLE, text);
        refusal.headers().set(HttpHeaderNames.RETRY_AFTER, seconds(waitMs));
        return refusal;
    }

    /** Formats milliseconds as seconds with three decimals, for {@code Retry-After}. */
    private static String seconds(long ms) {
        return ms / 1000 + "." + Long.toString(1000 + ms % 1000).substring(1);
    }
}
