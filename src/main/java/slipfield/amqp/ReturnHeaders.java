package slipfield.amqp;

import java.util.LinkedHashMap;
import java.util.Map;

/** The headers that a sender adds to {@code basic.return}. A sender that publishes to another reads the same headers. */
public final class ReturnHeaders {
    /**
     * The result of a returned message: {@code refused} (it did not run and may be published again) or {@code failed} (it may
     * have run).
     */
    public static final String END = "x-slipfield-end";
    /** The delay in milliseconds before a refused message may be published again; absent if none is requested. */
    public static final String RETRY_AFTER = "x-slipfield-retry-after-ms";
    private static final String REFUSED = "refused";
    private static final String FAILED = "failed";

    private ReturnHeaders() {
    }

    /** The headers of a message that did not run. {@code waitMs}: the requested delay in milliseconds; 0 adds none. */
    public static Map<String, Object> refused(long waitMs) {
        Map<String, Object> headers = new LinkedHashMap<>(Map.of(END, REFUSED));
        if (waitMs > 0) {
            headers.put(RETRY_AFTER, waitMs);
        }
        return headers;
    }

    /** The headers of a message that may have run. */
    public static Map<String, Object> failed() {
        return Map.of(END, FAILED);
    }

    /** Whether the headers report that the message did not run. */
    public static boolean isRefused(Map<String, Object> headers) {
        return REFUSED.equals(result(headers));
    }

    /** Whether the headers report that the message may have run. */
    public static boolean isFailed(Map<String, Object> headers) {
        return FAILED.equals(result(headers));
    }

    /** The requested delay in milliseconds; 0 if there is none. */
    public static long waitMs(Map<String, Object> headers) {
        return headers.get(RETRY_AFTER) instanceof Number wait ? wait.longValue() : 0;
    }

    private static String result(Map<String, Object> headers) {
        return String.valueOf(headers.get(END));
    }
}
