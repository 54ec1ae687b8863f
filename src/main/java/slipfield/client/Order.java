package slipfield.client;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Objects;

/**
 * An order as a desk hands it over.
 *
 * @param messageClass its class, as senders know it; printable ASCII without {@code /}
 * @param tenant who hands it in
 * @param destination its destination's number, 0 or more
 * @param key what tells it from all others: the same order submitted twice is one order, and venues drop repeats by it
 * @param body at most 64 KiB
 * @param within its time, from its submission on; over 0
 */
public record Order(String messageClass, String tenant, long destination, String key, byte[] body, Duration within) {
    /** What a sender reads of a body at most, in bytes. */
    public static final int LONGEST_BODY = 64 * 1024;
    private static final int LONGEST_NAME = 256;
    private static final SecureRandom RANDOM = new SecureRandom();

    /** Checks it; an {@link IllegalArgumentException} names what is wrong. */
    public Order {
        name("messageClass", messageClass);
        name("tenant", tenant);
        name("key", key);
        if (messageClass.contains("/") || messageClass.contains("?")) {
            throw new IllegalArgumentException("messageClass holds no '/' or '?': " + messageClass);
        }
        if (destination < 0) {
            throw new IllegalArgumentException("destination is 0 or more, not " + destination);
        }
        if (Objects.requireNonNull(body, "body").length > LONGEST_BODY) {
            throw new IllegalArgumentException("body is at most " + LONGEST_BODY + " bytes, not " + body.length);
        }
        if (within.isNegative() || within.toMillis() < 1) {
            throw new IllegalArgumentException("within is 1 ms or more, not " + within);
        }
    }

    /** One with a key of its own making. */
    public Order(String messageClass, String tenant, long destination, byte[] body, Duration within) {
        this(messageClass, tenant, destination, newKey(), body, within);
    }

    /** A key that no other order has: 128 random bits in hexadecimal. */
    public static String newKey() {
        byte[] bits = new byte[16];
        RANDOM.nextBytes(bits);
        return HexFormat.of().formatHex(bits);
    }

    /** It goes into a header: what breaks a line there would be another header. */
    private static void name(String field, String value) {
        if (value == null || value.isEmpty() || value.length() > LONGEST_NAME
                || !value.chars().allMatch(c -> c > ' ' && c < 127)) {
            throw new IllegalArgumentException(field + " is 1 to " + LONGEST_NAME + " printable characters without spaces");
        }
    }
}
