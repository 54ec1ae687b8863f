package slipfield.client;

import io.netty.handler.codec.DateFormatter;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.charset.StandardCharsets;
import java.util.Date;
import java.util.Locale;
import slipfield.client.decide.SubmissionReply;

/** What a sender's answer to a hand-in proves (PROTOCOL, "Clients to senders"). */
final class SubmissionReplyParser {
    /** What a refusal's wait holds for: documented in docs/operate/client.md. */
    static final String SCOPE_HEADER = "X-Wait-Scope";
    /** Over what time, in ms, a sender's clients are to connect anew. */
    static final String RECONNECT_WINDOW_HEADER = "X-Reconnect-Within-Ms";
    /** A wait is believed up to this: some 30 years, in ms. */
    private static final double MAX_RETRY_AFTER_MS = 1e12;
    private static final int MAX_REASON_LENGTH = 200;

    private SubmissionReplyParser() {
    }

    static SubmissionReply parse(FullHttpResponse answer, long wallMs) {
        int status = answer.status().code();
        String reason = answer.content().toString(StandardCharsets.UTF_8).lines().findFirst().orElse("");
        String why = status + (reason.isBlank() ? "" : " " + reason.substring(0, Math.min(MAX_REASON_LENGTH, reason.length())));
        return switch (status) {
            case 200, 202 -> SubmissionReply.accepted();
            case 429, 503 -> SubmissionReply.refused(retryAfterMs(answer.headers().get(HttpHeaderNames.RETRY_AFTER), wallMs),
                    scope(answer.headers().get(SCOPE_HEADER, "")), why);
            // Not whole in time: it was not read, and may come again.
            case 408 -> SubmissionReply.unsent(why);
            case 400, 404, 405, 413, 431 -> SubmissionReply.rejected(why);
            default -> SubmissionReply.lost(why);
        };
    }

    /**
     * A {@code Retry-After} in ms: seconds, whole or decimal, or a date (RFC 9110, 10.2.3). What is neither, negative or
     * in the past tells nothing: 0.
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

    /** An unnamed one is the sender's: it is asked for nothing more, and others may be. */
    private static SubmissionReply.Scope scope(String name) {
        return switch (name.toLowerCase(Locale.ROOT)) {
            case "destination" -> SubmissionReply.Scope.DESTINATION;
            case "tenant" -> SubmissionReply.Scope.TENANT;
            default -> SubmissionReply.Scope.SENDER;
        };
    }

    /** A told window in ms, or -1. */
    static long reconnectWindowMs(FullHttpResponse answer) {
        String value = answer.headers().get(RECONNECT_WINDOW_HEADER, "");
        return value.matches("[0-9]{1,9}") ? Long.parseLong(value) : -1;
    }
}
