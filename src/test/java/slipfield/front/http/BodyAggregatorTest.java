package slipfield.front.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class BodyAggregatorTest {
    private static final int MAX_BYTES = 1 << 16;

    private final BodyAggregator aggregator = new BodyAggregator(MAX_BYTES, () -> { });
    private final EmbeddedChannel channel = new EmbeddedChannel(aggregator);

    /** Guards against a body that is sent octet by octet and takes a hundred times its octets. */
    @Test
    void aBodyOfSingleOctetsTakesLittleMoreThanItsOctets() {
        int octets = 10_000;
        StringBuilder expected = new StringBuilder();
        channel.writeInbound(new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/order"));
        for (int i = 0; i < octets; i++) {
            String octet = Integer.toString(i % 10);
            expected.append(octet);
            channel.writeInbound(new DefaultHttpContent(Unpooled.copiedBuffer(octet, StandardCharsets.US_ASCII)));
            assertTrue(aggregator.heapBytes() <= i + 1 + 16 * 128, i + 1 + " octets take " + aggregator.heapBytes());
        }
        assertTrue(aggregator.heapBytes() >= octets);
        channel.writeInbound(LastHttpContent.EMPTY_LAST_CONTENT);
        FullHttpRequest request = channel.readInbound();
        assertEquals(expected.toString(), request.content().toString(StandardCharsets.US_ASCII));
        assertEquals(0, aggregator.heapBytes());
        request.release();
    }
}
