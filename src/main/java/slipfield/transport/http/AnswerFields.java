package slipfield.transport.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import java.util.regex.Pattern;
import slipfield.config.Params;
import slipfield.policy.DeliveryPolicy.LimitReport;

/** Reads the header fields of answers that the sender heeds. Endpoints may send anything, so invalid values are ignored. */
final class AnswerFields {
    private static final String RATE_PREFIX = Params.REPORTED_RATE + "=";
    private static final String REMAINING_PREFIX = Params.REPORTED_REMAINING + "=";
    /** Separates the entries of a load report. */
    private static final Pattern REPORT_SEPARATOR = Pattern.compile("[,\\s]+");
    /** Limit on the delay that an endpoint requests, in milliseconds; no message is pending for that long. */
    private static final double MAX_DELAY_MS = 60_000;

    private AnswerFields() {
    }

    /**
     * The delay in milliseconds that an answer requests in {@code Retry-After}; 0 if it is missing or invalid. The result is
     * limited, because an infinite delay would stop a destination for good.
     */
    static double requestedDelayMs(HttpResponse response) {
        try {
            double waitMs = Double.parseDouble(response.headers().get(HttpHeaderNames.RETRY_AFTER, "0")) * 1000;
            return waitMs > 0 ? Math.min(waitMs, MAX_DELAY_MS) : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** The rate limit in the load report of an answer, such as {@code TEXT x0=0.4, x1=25}. Invalid entries are ignored. */
    static LimitReport limitReport(HttpResponse response) {
        String report = response.headers().get("X-Load-Report");
        if (report == null) {
            return LimitReport.NOTHING;
        }
        double rate = 0;
        double left = -1;
        for (String entry : REPORT_SEPARATOR.split(report)) {
            if (entry.startsWith(RATE_PREFIX)) {
                rate = parseNumber(entry.substring(RATE_PREFIX.length()));
            } else if (entry.startsWith(REMAINING_PREFIX)) {
                left = parseNumber(entry.substring(REMAINING_PREFIX.length()));
            }
        }
        return new LimitReport(rate, left);
    }

    private static double parseNumber(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
