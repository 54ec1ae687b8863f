package slipfield.http;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/** Limits the fields of the messages that one connection receives, and tells how much heap those of the current one take. */
public final class HeaderLimits {
    /** The limit on the fields of a head, and on those of a trailer. */
    public static final int MAX_FIELDS = 100;
    /** The heap that a field takes besides its octets: its entry in the table, and two strings with their arrays. */
    static final int BYTES_PER_FIELD = 160;

    private LimitedHeaders head;
    private LimitedHeaders trailer;

    /** The configuration of a decoder with these limits; for one connection. */
    public HttpDecoderConfig decoderConfig() {
        return new HttpDecoderConfig()
                .setHeadersFactory(new Factory(DefaultHttpHeadersFactory.headersFactory(), created -> head = created))
                .setTrailersFactory(new Factory(DefaultHttpHeadersFactory.trailersFactory(), created -> trailer = created));
    }

    /** About how much heap the fields of the current message take, in bytes. */
    public long heapBytes() {
        return (head == null ? 0 : head.heapBytes()) + (trailer == null ? 0 : trailer.heapBytes());
    }

    /** The current message is over; its fields are not counted any more. */
    public void messageEnded() {
        head = null;
        trailer = null;
    }

    /** Discards the fields of a message that will not be completed, also where its decoder still refers to them. */
    public void discard() {
        if (head != null) {
            head.clear();
        }
        if (trailer != null) {
            trailer.clear();
        }
        messageEnded();
    }

    private interface Listener {
        void created(LimitedHeaders headers);
    }

    private record Factory(DefaultHttpHeadersFactory rules, Listener listener) implements HttpHeadersFactory {
        @Override
        public HttpHeaders newHeaders() {
            LimitedHeaders headers = new LimitedHeaders(rules);
            listener.created(headers);
            return headers;
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return rules.newEmptyHeaders();
        }
    }
}
