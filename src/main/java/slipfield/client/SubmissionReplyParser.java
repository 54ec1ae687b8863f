package slipfield.client;

import io.netty.handler.codec.DateFormatter;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.charset.StandardCharsets;
import java.util.Date;
import java.util.Locale;
import slipfield.client.decide.SubmissionReply;

/** Determines what a sender's HTTP response to a submission says about the order (PROTOCOL, "Clients to senders"). */
final class SubmissionReplyParser {
    /** Response header: what the requested delay of a refusal applies to (docs/operate/client.md). */
    static final String SCOPE_HEADER = "X-Wait-Scope";
    /** Response header: the window, in ms, over which the clients of a sender shall reconnect. */
    static final String RECONNECT_WINDOW_HEADER = "X-Reconnect-Within-Ms";
    /** Upper bound of a requested delay, in ms: about 30 years. */
    private static final double MAX_RETRY_AFTER_MS = 1e12;
    private static final int MAX_REASON_LENGTH = 200;

    private SubmissionReplyParser() {
    }

    /** The reply that this response means; {@code wallMs}: the current wall-clock time, for a {@code Retry-After} date. */
    static SubmissionReply parse(FullHttpResponse response, long wallMs) {
        int status = response.status().code();
        String reason = response.content().toString(StandardCharsets.UTF_8).lines().findFirst().orElse("");
        String why = status + (reason.isBlank() ? "" : " " + reason.substring(0, Math.min(MAX_REASON_LENGTH, reason.length())));
        return switch (status) {
            case 200, 202 -> SubmissionReply.accepted();
            case 429, 503 -> SubmissionReply.refused(retryAfterMs(response.headers().get(HttpHeaderNames.RETRY_AFTER), wallMs),
                    scope(response.headers().get(SCOPE_HEADER, "")), why);
            // The request did not arrive completely in time: the sender did not read it, and it may be submitted again.
            case 408 -> SubmissionReply.unsent(why);
            case 400, 404, 405, 413, 431 -> SubmissionReply.rejected(why);
            default -> SubmissionReply.lost(why);
        };
    }

    /**
     * The delay, in ms, of a {@code Retry-After} header: a number of seconds, also a decimal one, or a date (RFC 9110, 10.2.3).
     * 0 if it is missing, malformed, negative or in the past.
     */
    static long retryAfterMs(String value, long wallMs) {
        if (value == null) {
            return 0;
        }
        String text = value.trim();
        try {
            double seconds = Double.parseDouble(text);
            return seconds > 0 ? (long) Math.ceil(Math.min(MAX_RETRY_AFTER_MS, seconds * 1000)) : 0;
        } catch (NumberFormatException notSeconds) {
            Date date = DateFormatter.parseHttpDate(text);
            return date == null ? 0 : (long) Math.min(MAX_RETRY_AFTER_MS, Math.max(0, date.getTime() - wallMs));
        }
    }

    /** The scope of this name. A missing or unknown name means the sender: other senders may still be used. */
    private static SubmissionReply.Scope scope(String name) {
        return switch (name.toLowerCase(Locale.ROOT)) {
            case "destination" -> SubmissionReply.Scope.DESTINATION;
            case "tenant" -> SubmissionReply.Scope.TENANT;
            default -> SubmissionReply.Scope.SENDER;
        };
    }

    /** The reported reconnect window in ms, or -1 if there is none. */
    static long reconnectWindowMs(FullHttpResponse response) {
        String value = response.headers().get(RECONNECT_WINDOW_HEADER, "");
        return value.matches("[0-9]{1,9}") ? Long.parseLong(value) : -1;
    }
}
