package slipfield.amqp.codec;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Date;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Encodes and decodes frames: examples, properties, and frames that are corrupted at random. */
class CodecTest {
    private static final int FRAME_MAX = 8192;

    private static EmbeddedChannel newReader() {
        FrameDecoder decoder = new FrameDecoder(false);
        decoder.frameMax(FRAME_MAX);
        return new EmbeddedChannel(decoder);
    }

    private static ByteBuf encode(Frame... frames) {
        FrameEncoder encoder = new FrameEncoder();
        encoder.frameMax(FRAME_MAX);
        EmbeddedChannel channel = new EmbeddedChannel(encoder);
        ByteBuf all = Unpooled.buffer();
        for (Frame frame : frames) {
            channel.writeOutbound(frame);
        }
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            all.writeBytes(part);
            part.release();
        }
        channel.finishAndReleaseAll();
        return all;
    }

    private static Object argument(Domain domain, Random random) {
        return switch (domain) {
            case BIT -> random.nextBoolean();
            case OCTET -> random.nextInt(256);
            case SHORT -> random.nextInt(65_536);
            case LONG -> random.nextLong() & 0xFFFFFFFFL;
            case LONGLONG -> random.nextLong();
            case SHORTSTR -> text(random, 60);
            case LONGSTR -> text(random, 2000).getBytes(StandardCharsets.UTF_8);
            case TABLE -> table(random, 0);
        };
    }

    private static String text(Random random, int maxLength) {
        StringBuilder text = new StringBuilder();
        for (int i = random.nextInt(maxLength); i > 0; i--) {
            text.append("az09.é€".charAt(random.nextInt(7)));
        }
        return text.toString();
    }

    private static Map<String, Object> table(Random random, int depth) {
        Map<String, Object> table = new LinkedHashMap<>();
        for (int i = random.nextInt(6); i > 0; i--) {
            table.put("f" + i, value(random, depth + 1));
        }
        return table;
    }

    private static Object value(Random random, int depth) {
        return switch (random.nextInt(depth > 4 ? 12 : 14)) {
            case 0 -> random.nextBoolean();
            case 1 -> (byte) random.nextInt();
            case 2 -> (short) random.nextInt();
            case 3 -> random.nextInt();
            case 4 -> random.nextLong();
            case 5 -> random.nextFloat();
            case 6 -> random.nextDouble();
            case 7 -> text(random, 100);
            case 8 -> new Date(random.nextInt() * 1000L);
            case 9 -> BigDecimal.valueOf(random.nextInt(), random.nextInt(9));
            case 10 -> null;
            case 11 -> "x";
            case 12 -> table(random, depth);
            default -> new ArrayList<>(List.of(value(random, 5) instanceof String s ? s : "y", random.nextInt()));
        };
    }

    private static Method method(MethodId id, Random random) {
        Domain[] domains = id.domains();
        Object[] arguments = new Object[domains.length];
        for (int i = 0; i < domains.length; i++) {
            arguments[i] = argument(domains[i], random);
        }
        return Method.of(id, arguments);
    }

    @Property(tries = 300, seed = "20261201")
    void decodingReturnsTheEncodedMethods(@ForAll long seed) {
        Random random = new Random(seed);
        EmbeddedChannel reader = newReader();
        for (MethodId id : MethodId.values()) {
            Frame.OfMethod frame = new Frame.OfMethod(random.nextInt(65_536), method(id, random));
            reader.writeInbound(encode(frame));
            assertEquals(frame, reader.readInbound());
        }
        reader.finishAndReleaseAll();
    }

    /** The decoded frames must not depend on how the input is split, also within a frame. */
    @Property(tries = 200, seed = "20261201")
    void decodingDoesNotDependOnHowTheInputIsSplit(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] body = new byte[random.nextInt(3 * FRAME_MAX)];
        random.nextBytes(body);
        Properties properties = Properties.NONE.with(Properties.Property.MESSAGE_ID, "m")
                .with(Properties.Property.HEADERS, table(random, 0)).with(Properties.Property.PRIORITY, 3);
        ByteBuf all = encode(new Frame.Content(7, method(MethodId.BASIC_DELIVER, random), properties, body));
        EmbeddedChannel reader = newReader();
        while (all.isReadable()) {
            reader.writeInbound(all.readBytes(Math.min(all.readableBytes(), 1 + random.nextInt(3000))));
        }
        Frame.OfMethod method = reader.readInbound();
        assertEquals(MethodId.BASIC_DELIVER, method.method().id());
        Frame.OfHeader header = reader.readInbound();
        assertEquals(new Frame.OfHeader(7, body.length, properties), header);
        ByteBuf read = Unpooled.buffer();
        for (Frame.OfBody part = reader.readInbound(); part != null; part = reader.readInbound()) {
            assertTrue(part.octets().readableBytes() <= FRAME_MAX - FrameDecoder.OVERHEAD);
            read.writeBytes(part.octets());
            part.octets().release();
        }
        assertArrayEquals(body, ByteBufUtil.getBytes(read));
        reader.finishAndReleaseAll();
    }

    private static AmqpError readError(ByteBuf octets) {
        EmbeddedChannel reader = newReader();
        reader.writeInbound(octets);
        Object first = reader.readInbound();
        assertTrue(first instanceof AmqpError, () -> "read as " + first);
        reader.writeInbound(encode(new Frame.Heartbeat()));
        assertNull(reader.readInbound(), "input after the error must be discarded");
        reader.finishAndReleaseAll();
        return (AmqpError) first;
    }

    private static ByteBuf frame(int type, int channel, byte[] payload, int end) {
        return Unpooled.buffer().writeByte(type).writeShort(channel).writeInt(payload.length).writeBytes(payload).writeByte(end);
    }

    @Test
    void malformedFramesAreErrorsWithTheirReplyCode() {
        assertEquals(ReplyCode.FRAME_ERROR, readError(frame(1, 0, new byte[FRAME_MAX - 7], 0xCE)).code(), "over frame_max");
        assertEquals(ReplyCode.FRAME_ERROR, readError(frame(8, 0, new byte[0], 0xCD)).code(), "no frame end");
        assertEquals(ReplyCode.FRAME_ERROR, readError(frame(8, 1, new byte[0], 0xCE)).code(), "a heartbeat on a channel");
        assertEquals(ReplyCode.FRAME_ERROR, readError(frame(4, 0, new byte[0], 0xCE)).code(), "no such type");
        AmqpError unknown = readError(frame(1, 1, new byte[] {0, 60, 0, 99}, 0xCE));
        assertEquals(ReplyCode.COMMAND_INVALID, unknown.code());
        assertEquals(60, unknown.classId());
        assertEquals(ReplyCode.SYNTAX_ERROR, readError(frame(1, 1, new byte[] {0, 20, 0, 41, 1}, 0xCE)).code(), "too long");
        assertEquals(ReplyCode.SYNTAX_ERROR, readError(frame(1, 1, new byte[] {0, 20, 0, 10, 9, 'a'}, 0xCE)).code(), "cut");
        assertEquals(ReplyCode.SYNTAX_ERROR, readError(frame(2, 1, new byte[] {0, 50, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0}, 0xCE))
                .code(), "content of class queue");
    }

    @Test
    void tablesThatAreNestedTooDeeplyAreRefused() {
        Map<String, Object> table = new HashMap<>();
        for (int i = 0; i < 17; i++) {
            table = new HashMap<>(Map.of("t", table));
        }
        Frame deep = new Frame.OfMethod(1, Method.of(MethodId.QUEUE_DECLARE, 0, "q", false, false, false, false, false, table));
        AmqpError error = readError(encode(deep));
        assertEquals(ReplyCode.SYNTAX_ERROR, error.code());
        assertTrue(error.getMessage().contains("deep"));
        Frame flat = new Frame.OfMethod(1, Method.of(MethodId.QUEUE_DECLARE, 0, "q", false, false, false, false, false,
                table.get("t")));
        EmbeddedChannel reader = newReader();
        reader.writeInbound(encode(flat));
        assertNotNull(reader.readInbound());
        reader.finishAndReleaseAll();
    }

    @Test
    void tooLongTextIsTruncatedAtACharacterBoundary() {
        Frame tooLong = new Frame.OfMethod(0, Method.of(MethodId.CONNECTION_BLOCKED, "é".repeat(200)));
        EmbeddedChannel reader = newReader();
        reader.writeInbound(encode(tooLong));
        Frame.OfMethod read = reader.readInbound();
        assertEquals("é".repeat(127), read.method().text("reason"));
        reader.finishAndReleaseAll();
    }

    /** Run with {@code -Damqp.fuzz.frames=1000000} for the full test. A counting allocator detects buffers that leak. */
    @Test
    void corruptedFramesNeitherThrowNorLeak() {
        int frames = Integer.getInteger("amqp.fuzz.frames", 50_000);
        PooledByteBufAllocator counting = new PooledByteBufAllocator(false, 1, 0, 8192, 3);
        Random random = new Random(20_261_201);
        MethodId[] ids = MethodId.values();
        int errors = 0;
        for (int i = 0; i < frames; i++) {
            Frame frame = i % 4 == 0 ? new Frame.Content(1, method(MethodId.BASIC_PUBLISH, random), Properties.NONE
                    .with(Properties.Property.HEADERS, table(random, 0)), new byte[random.nextInt(200)])
                    : new Frame.OfMethod(1, method(ids[i % ids.length], random));
            ByteBuf octets = encode(frame, new Frame.Heartbeat());
            ByteBuf corrupted = counting.buffer(octets.readableBytes() + 8);
            corrupted.writeBytes(octets);
            octets.release();
            for (int m = 1 + random.nextInt(4); m > 0; m--) {
                int at = random.nextInt(corrupted.writerIndex());
                switch (random.nextInt(4)) {
                    case 0 -> corrupted.setByte(at, random.nextInt());
                    case 1 -> corrupted.setByte(at, corrupted.getByte(at) ^ 1 << random.nextInt(8));
                    case 2 -> corrupted.writerIndex(Math.max(1, at));
                    default -> corrupted.setByte(at, 0xFF);
                }
            }
            EmbeddedChannel reader = newReader();
            reader.writeInbound(corrupted);
            for (Object read = reader.readInbound(); read != null; read = reader.readInbound()) {
                errors += read instanceof AmqpError ? 1 : 0;
                ReferenceCountUtil.release(read instanceof Frame.OfBody b ? b.octets() : read);
            }
            reader.finishAndReleaseAll();
            assertEquals(0, corrupted.refCnt(), "a buffer leaked at frame " + i);
        }
        assertTrue(errors > frames / 10, "errors of corrupted frames: " + errors);
        assertEquals(0, counting.metric().heapArenas().get(0).numActiveAllocations(), "buffers that were not released");
    }
}
