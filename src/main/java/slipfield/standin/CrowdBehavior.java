package slipfield.standin;

import java.nio.charset.StandardCharsets;

/** What a client of a crowd sends once it is connected. All but the silent one begin a request, and none ever completes one. */
public enum CrowdBehavior {
    /** Nothing. */
    SILENT("", ""),
    /** A head of very many short fields, without its end. */
    TINY_FIELDS(Texts.HEAD + Texts.tinyFields(Texts.MANY), ""),
    /** As many as are allowed, and a long field that goes on, octet by octet. */
    SLOW_HEAD(Texts.HEAD + Texts.tinyFields(Texts.FEW) + "b: " + "x".repeat(6000), "x"),
    /** A complete head of very many short fields, and no body. */
    TINY_FIELDS_WITHOUT_BODY(Texts.HEAD + Texts.tinyFields(Texts.MANY) + Texts.LENGTH + "\r\n", ""),
    /** Most of the largest body. */
    HALF_BODY(Texts.HEAD + Texts.LENGTH + "\r\n" + "x".repeat(60_000), ""),
    /** A body octet by octet. */
    SLOW_BODY(Texts.HEAD + Texts.LENGTH + "\r\n", "x"),
    /** Chunks of one octet, thousands at once. */
    TINY_CHUNKS(Texts.HEAD + Texts.CHUNKED + "\r\n" + "1\r\nx\r\n".repeat(9000), ""),
    /** A trailer of very many short fields, without its end. */
    TINY_TRAILERS(Texts.HEAD + Texts.CHUNKED + "\r\n0\r\n" + Texts.tinyFields(Texts.MANY), ""),
    /** A complete request that submits nothing, and half of the next one. */
    HALF_SECOND_REQUEST("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n" + Texts.HEAD + Texts.tinyFields(Texts.FEW), "a"),
    /** Thousands of requests at once; the answers are not read. */
    UNREAD_ANSWERS("GET /healthz HTTP/1.1\r\n\r\n".repeat(5000) + "GET", "");

    private static final class Texts {
        static final String HEAD = "POST /order HTTP/1.1\r\nHost: a\r\nX-Call-Id: crowd\r\nX-Call-Class: order\r\nX-Caller: desk\r\n"
                + "X-Budget-Ms: 4000\r\nIdempotency-Key: crowd\r\nX-Envelope: dest=1\r\n";
        static final String LENGTH = "Content-Length: 65536\r\n";
        static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
        /** With the head some 8,000 octets, of which two thousand fields. */
        static final int MANY = 1950;
        static final int FEW = 80;

        static String tinyFields(int count) {
            return "a:\r\n".repeat(count);
        }
    }

    private final byte[] first;
    private final byte[] repeated;

    CrowdBehavior(String first, String repeated) {
        this.first = first.getBytes(StandardCharsets.US_ASCII);
        this.repeated = repeated.getBytes(StandardCharsets.US_ASCII);
    }

    /** What it sends at once. */
    byte[] first() {
        return first;
    }

    /** What it sends again and again after that; may be empty. */
    byte[] repeated() {
        return repeated;
    }

    /** Whether it reads what it is sent. */
    boolean reads() {
        return this != UNREAD_ANSWERS;
    }
}
