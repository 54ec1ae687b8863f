package slipfield.client;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Objects;

/**
 * An order to be submitted.
 *
 * @param messageClass its message class, as the senders' settings name it; printable ASCII without {@code /} and {@code ?}
 * @param tenant the tenant that submits it
 * @param destination the number of its destination, 0 or more
 * @param key identifies the order: a second submission with the same key is the same order, and venues drop duplicates by it
 * @param body the content, at most 64 KiB
 * @param within its time limit, counted from the submission; 1 ms or more
 */
public record Order(String messageClass, String tenant, long destination, String key, byte[] body, Duration within) {
    /** The largest body that a sender accepts, in bytes. */
    public static final int LONGEST_BODY = 64 * 1024;
    private static final int MAX_NAME_LENGTH = 256;
    private static final SecureRandom RANDOM = new SecureRandom();

    /** Throws {@link IllegalArgumentException}, naming the field, for a value out of range. */
    public Order {
        checkHeaderValue("messageClass", messageClass);
        checkHeaderValue("tenant", tenant);
        checkHeaderValue("key", key);
        if (messageClass.contains("/") || messageClass.contains("?")) {
            throw new IllegalArgumentException("messageClass must not contain '/' or '?': " + messageClass);
        }
        if (destination < 0) {
            throw new IllegalArgumentException("destination must be 0 or more, not " + destination);
        }
        if (Objects.requireNonNull(body, "body").length > LONGEST_BODY) {
            throw new IllegalArgumentException("body must be at most " + LONGEST_BODY + " bytes, not " + body.length);
        }
        if (within.isNegative() || within.toMillis() < 1) {
            throw new IllegalArgumentException("within must be 1 ms or more, not " + within);
        }
    }

    /** An order with a generated key. */
    public Order(String messageClass, String tenant, long destination, byte[] body, Duration within) {
        this(messageClass, tenant, destination, newKey(), body, within);
    }

    /** Generates a unique key: 128 random bits in hexadecimal. */
    public static String newKey() {
        byte[] bits = new byte[16];
        RANDOM.nextBytes(bits);
        return HexFormat.of().formatHex(bits);
    }

    /** Checks a value that is sent in an HTTP header, where a line break would start another header. */
    private static void checkHeaderValue(String field, String value) {
        if (value == null || value.isEmpty() || value.length() > MAX_NAME_LENGTH
                || !value.chars().allMatch(c -> c > ' ' && c < 127)) {
            throw new IllegalArgumentException(
                    field + " must be 1 to " + MAX_NAME_LENGTH + " printable ASCII characters without spaces");
        }
    }
}
