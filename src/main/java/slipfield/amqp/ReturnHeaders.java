package slipfield.amqp;

import java.util.LinkedHashMap;
import java.util.Map;

/** What a {@code basic.return} of the sender tells besides its code: whoever publishes to one reads it in the same words. */
public final class ReturnHeaders {
    /** Of a message that was given back: {@code refused} (harmless to publish again) or {@code failed} (no promise). */
    public static final String END = "x-slipfield-end";
    /** Of a refused one: milliseconds to wait before it is published again; absent: none are told. */
    public static final String RETRY_AFTER = "x-slipfield-retry-after-ms";
    private static final String REFUSED = "refused";
    private static final String FAILED = "failed";

    private ReturnHeaders() {
    }

    /** It did not run; {@code waitMs}: 0 where none is told. */
    public static Map<String, Object> refused(long waitMs) {
        Map<String, Object> headers = new LinkedHashMap<>(Map.of(END, REFUSED));
        if (waitMs > 0) {
            headers.put(RETRY_AFTER, waitMs);
        }
        return headers;
    }

    /** It may have run. */
    public static Map<String, Object> failed() {
        return Map.of(END, FAILED);
    }

    /** Whether these say that it did not run. */
    public static boolean isRefused(Map<String, Object> headers) {
        return REFUSED.equals(text(headers));
    }

    /** Whether these say that it may have run. */
    public static boolean isFailed(Map<String, Object> headers) {
        return FAILED.equals(text(headers));
    }

    /** The wait that they tell, in milliseconds, or 0. */
    public static long waitMs(Map<String, Object> headers) {
        return headers.get(RETRY_AFTER) instanceof Number wait ? wait.longValue() : 0;
    }

    private static String text(Map<String, Object> headers) {
        return String.valueOf(headers.get(END));
    }
}
