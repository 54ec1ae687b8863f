package slipfield.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import slipfield.client.decide.SubmissionReply;

/** Tests how valid and invalid responses of senders, and files of senders, are parsed. */
class SubmissionReplyParserTest {
    /** Thu, 01 Jan 2026 00:00:00 GMT. */
    private static final long WALL_MS = 1_767_225_600_000L;

    private static FullHttpResponse answer(int status, String... headers) {
        FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status),
                Unpooled.copiedBuffer("reason\nmore", StandardCharsets.US_ASCII));
        for (int i = 0; i < headers.length; i += 2) {
            answer.headers().set(headers[i], headers[i + 1]);
        }
        return answer;
    }

    @ParameterizedTest
    @CsvSource({"1, 1000", "0.25, 250", "1e9, 1000000000000", "1e300, 1000000000000", "Infinity, 1000000000000", "-5, 0",
        "NaN, 0", "'', 0", "soon, 0", "'Thu, 01 Jan 2026 00:00:30 GMT', 30000", "'Wed, 31 Dec 2025 00:00:00 GMT', 0",
        "'Fri, 01 Jan 9999 00:00:00 GMT', 1000000000000", "1;2, 0"})
    void parsesARetryAfterOrIgnoresIt(String text, long ms) {
        assertEquals(ms, SubmissionReplyParser.retryAfterMs(text, WALL_MS));
        SubmissionReply reply = SubmissionReplyParser.parse(answer(503, "Retry-After", text), WALL_MS);
        assertEquals(SubmissionReply.Kind.REFUSED, reply.kind());
        assertEquals(ms, reply.retryAfterMs());
    }

    @ParameterizedTest
    @CsvSource({"202, ACCEPTED", "200, ACCEPTED", "429, REFUSED", "503, REFUSED", "400, REJECTED", "404, REJECTED",
        "405, REJECTED", "413, REJECTED", "408, UNSENT", "409, LOST", "500, LOST", "504, LOST", "302, LOST", "201, LOST"})
    void mapsEachStatusAsTheProtocolSays(int status, SubmissionReply.Kind kind) {
        assertEquals(kind, SubmissionReplyParser.parse(answer(status), WALL_MS).kind());
    }

    @Test
    void takesAnUnknownScopeAsTheSender() {
        assertEquals(SubmissionReply.Scope.TENANT, SubmissionReplyParser.parse(answer(503, "X-Wait-Scope", "Tenant"), 0).scope());
        assertEquals(SubmissionReply.Scope.DESTINATION,
                SubmissionReplyParser.parse(answer(503, "X-Wait-Scope", "destination"), 0).scope());
        assertEquals(SubmissionReply.Scope.SENDER, SubmissionReplyParser.parse(answer(503, "X-Wait-Scope", "galaxy"), 0).scope());
        assertEquals(SubmissionReply.Scope.SENDER, SubmissionReplyParser.parse(answer(503), 0).scope());
        assertEquals("503 reason", SubmissionReplyParser.parse(answer(503), 0).why());
    }

    @Test
    void parsesAReconnectWindowOrIgnoresIt() {
        assertEquals(1500, SubmissionReplyParser.reconnectWindowMs(answer(200, "X-Reconnect-Within-Ms", "1500")));
        assertEquals(-1, SubmissionReplyParser.reconnectWindowMs(answer(200, "X-Reconnect-Within-Ms", "-1500")));
        assertEquals(-1, SubmissionReplyParser.reconnectWindowMs(answer(200, "X-Reconnect-Within-Ms", "99999999999")));
        assertEquals(-1, SubmissionReplyParser.reconnectWindowMs(answer(200)));
    }

    @Test
    void parsesAFileOfSendersOrNamesItInTheError() {
        Path file = Path.of("senders.yaml");
        assertEquals(List.of(new InetSocketAddress("127.0.0.1", 7070), new InetSocketAddress("127.0.0.2", 7071)),
                SenderFile.read(file, "senders:\n  - 127.0.0.1:7070\n  - 127.0.0.2:7071\n"));
        for (String wrong : List.of("", "senders: x", "senders: [localhost:1]", "senders: [127.0.0.1]", "a: [", "sender: []",
                "senders: []\nmore: 1")) {
            String message = assertThrows(IllegalArgumentException.class, () -> SenderFile.read(file, wrong)).getMessage();
            assertEquals("senders.yaml", message.substring(0, 12));
        }
    }
}
