package slipfield.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * The header or trailer fields of a received message, with a limit on their number. Netty limits their octets only, and 8 KB may
 * be two thousand fields, which take 200 to 400 KB of objects.
 */
final class LimitedHeaders extends DefaultHttpHeaders {
    private static final int HASH_TABLE_SIZE = 16;

    private long octets;

    LimitedHeaders(DefaultHttpHeadersFactory rules) {
        super(rules.getNameValidator(), rules.getValueValidator(), HASH_TABLE_SIZE);
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        if (size() >= HeaderLimits.MAX_FIELDS) {
            throw new TooLongHttpHeaderException("more than " + HeaderLimits.MAX_FIELDS + " header fields");
        }
        octets += name.length() + (value instanceof CharSequence text ? text.length() : 0);
        return super.add(name, value);
    }

    /** About how much heap the fields take, in bytes. */
    long heapBytes() {
        return octets + (long) size() * HeaderLimits.BYTES_PER_FIELD;
    }
}
