package slipfield.amqp.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import slipfield.amqp.AmqpConfig;
import slipfield.amqp.ConsumerHandler;
import slipfield.amqp.Publication;
import slipfield.amqp.Publisher;
import slipfield.amqp.PublishHandler;
import slipfield.amqp.Receiver;
import slipfield.amqp.Secret;
import slipfield.amqp.codec.Frame;
import slipfield.amqp.codec.FrameEncoder;
import slipfield.amqp.codec.Method;
import slipfield.amqp.codec.MethodId;
import slipfield.amqp.codec.Properties;
import slipfield.amqp.codec.ReplyCode;
import slipfield.memory.MemoryGuard;

/**
 * Sends valid frames in a wrong order, and corrupted frames, to in-memory connections. No exception may escape, every buffer
 * must be released, every accepted publication must be settled or dropped once, and a closed connection must leave no load.
 */
class ServerFuzzTest {
    private final PooledByteBufAllocator counting = new PooledByteBufAllocator(false, 1, 0, 8192, 3);
    /** The first pieces, up to this index, are valid on an open channel. */
    private static final int VALID_PIECES = 9;
    /** The core's event loop; its tasks run when the test calls them. */
    private final EmbeddedChannel loop = new EmbeddedChannel();
    private final Random random = new Random(20_261_201);
    private final List<Receiver> consumers = new ArrayList<>();
    private final List<Publication> open = new ArrayList<>();
    private long published;

    @TempDir
    private Path folder;

    private final class FakeCore implements PublishHandler, ConsumerHandler {
        @Override
        public void published(Publisher from, Publication publication) {
            published++;
            if (random.nextInt(3) == 0) {
                open.add(publication);
                return;
            }
            if (random.nextBoolean()) {
                from.returnMessage(publication, ReplyCode.RESOURCE_ERROR, "no", Map.of("x", 1));
            }
            from.confirm(publication, random.nextBoolean());
            from.flush();
        }

        @Override
        public void batchEnded() {
            for (Receiver r : consumers) {
                while (r.hasCapacity() && random.nextBoolean()) {
                    r.deliver(Properties.NONE, new byte[random.nextInt(5000)], false, (settlement, waitMs) -> { });
                }
            }
        }

        @Override
        public void publisherClosed(Publisher publisher) {
            open.clear();
        }

        @Override
        public boolean canAdd(Receiver receiver, boolean exclusive) {
            return consumers.stream().noneMatch(r -> r.name().equals(receiver.name()));
        }

        @Override
        public void consumerAdded(Receiver receiver, boolean exclusive) {
            consumers.add(receiver);
        }

        @Override
        public void consumerRemoved(Receiver receiver) {
            assertTrue(consumers.remove(receiver), "a consumer was removed that had not been added");
        }

        @Override
        public void capacityFreed(Receiver receiver) {
            assertTrue(consumers.contains(receiver), "capacity of a removed consumer");
        }

        @Override
        public int consumerCount(String queue) {
            return consumers.size();
        }
    }

    private static byte[] octets(Frame... frames) {
        EmbeddedChannel encoder = new EmbeddedChannel(new FrameEncoder());
        encoder.writeOutbound((Object[]) frames);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (ByteBuf part = encoder.readOutbound(); part != null; part = encoder.readOutbound()) {
            byte[] some = new byte[part.readableBytes()];
            part.readBytes(some);
            all.writeBytes(some);
            part.release();
        }
        encoder.finishAndReleaseAll();
        return all.toByteArray();
    }

    private static Frame method(int channel, MethodId id, Object... arguments) {
        return new Frame.OfMethod(channel, Method.of(id, arguments));
    }

    /** Parts of conversations, which the test sends in random order. */
    private List<byte[]> pieces() {
        List<byte[]> pieces = new ArrayList<>();
        Properties order = Properties.NONE.with(Properties.Property.MESSAGE_ID, "m").with(Properties.Property.HEADERS,
                Map.of("tenant", "t", "n", 7L, "list", List.of("a", 1)));
        Method publish = Method.of(MethodId.BASIC_PUBLISH, 0, "orders", "order.1", true, false);
        for (int channel : new int[] {1, 2}) {
            pieces.add(octets(new Frame.Content(channel, publish, order, new byte[300])));
            pieces.add(octets(new Frame.Content(channel, publish, order, new byte[0])));
            pieces.add(octets(new Frame.Content(channel, publish, Properties.NONE, new byte[9000])));
            pieces.add(octets(method(channel, MethodId.CONFIRM_SELECT, false)));
            pieces.add(octets(method(channel, MethodId.BASIC_QOS, 0L, 3, false)));
            pieces.add(octets(method(channel, MethodId.BASIC_ACK, 0L, true)));
            pieces.add(octets(method(channel, MethodId.CHANNEL_FLOW, false)));
            pieces.add(octets(method(channel, MethodId.CHANNEL_FLOW, true)));
            pieces.add(octets(method(channel, MethodId.QUEUE_DECLARE, 0, "q", false, true, false, false, false, Map.of())));
            pieces.add(octets(method(channel, MethodId.CHANNEL_OPEN, "")));
            pieces.add(octets(new Frame.OfMethod(channel, publish), new Frame.OfHeader(channel, 1000, order)));
            pieces.add(octets(method(channel, MethodId.BASIC_CONSUME, 0, "q", "c" + channel, false, false, false, false,
                    Map.of("x-priority", 3))));
            pieces.add(octets(method(channel, MethodId.BASIC_ACK, 1L, false)));
            pieces.add(octets(method(channel, MethodId.BASIC_NACK, 2L, true, true)));
            pieces.add(octets(method(channel, MethodId.BASIC_CANCEL, "c" + channel, false)));
            pieces.add(octets(method(channel, MethodId.CHANNEL_CLOSE, 200, "bye", 0, 0)));
            pieces.add(octets(method(channel, MethodId.CHANNEL_CLOSE_OK)));
        }
        pieces.add(octets(new Frame.Heartbeat()));
        return pieces;
    }

    /** Run with {@code -Damqp.fuzz.frames=1000000} for the full test. */
    @Test
    void invalidFramesAffectOnlyTheirConnection() throws Exception {
        int frames = Integer.getInteger("amqp.fuzz.frames", 40_000);
        Path file = folder.resolve("amqp.yaml");
        Files.writeString(file, """
                listen: 127.0.0.1:0
                users: [{name: u, secret: "%s", publish: [orders], consume: [q]}]
                exchanges: [{name: orders, routes: [{key: "#", class: c, destination: 1}]}]
                queues: [{name: q, destination: 2}]
                limits: {heartbeat: 0ms, frame_octets: 4096, unsettled_each: 30, unsettled: 50}
                """.formatted(Secret.of("p")));
        AmqpConfig config = AmqpConfig.read(file, new AmqpConfig.KnownNames(List.of("c"), List.of(), List.of(), List.of()));
        List<byte[]> pieces = pieces();
        byte[] opening = octets(new Frame.ProtocolHeader(), method(0, MethodId.CONNECTION_START_OK, Map.of(), "PLAIN",
                "\0u\0p", "en_US"));
        byte[] opened = octets(method(0, MethodId.CONNECTION_TUNE_OK, 0, 4096L, 0), method(0, MethodId.CONNECTION_OPEN, "/", "",
                false));
        byte[] ready = octets(method(1, MethodId.CHANNEL_OPEN, ""), method(1, MethodId.CONFIRM_SELECT, false),
                method(1, MethodId.BASIC_CONSUME, 0, "q", "c1", false, false, false, false, Map.of()));
        FakeCore core = new FakeCore();
        long sent = 0;
        AmqpServer server = new AmqpServer(loop.eventLoop(), config, "e", MemoryGuard.ofHeap(), Runnable::run);
        server.setHandlers(core, core);
        while (sent < frames) {
            EmbeddedChannel channel = new EmbeddedChannel();
            server.accept(channel);
            receive(channel, opening);
            receive(channel, opened);
            receive(channel, ready);
            for (int i = 0; i < 60 && channel.isOpen(); i++, sent++) {
                // Mostly valid pieces; otherwise hardly any connection would last for two frames.
                int choices = random.nextInt(6) == 0 ? pieces.size() : VALID_PIECES;
                byte[] piece = pieces.get(random.nextInt(choices)).clone();
                if (random.nextInt(25) == 0) {
                    piece[random.nextInt(piece.length)] ^= 1 << random.nextInt(8);
                }
                int cut = random.nextInt(30) == 0 ? random.nextInt(piece.length) : piece.length;
                receive(channel, Arrays.copyOf(piece, cut));
            }
            if (channel.isOpen()) {
                // Frames that are still unhandled when the connection closes.
                channel.writeInbound(counting.buffer().writeBytes(pieces.get(0)));
            }
            channel.close();
            channel.runPendingTasks();
            loop.runPendingTasks();
            channel.checkException();
            for (Object out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
                ReferenceCountUtil.release(out);
            }
            channel.finishAndReleaseAll();
            assertEquals(List.of(), consumers, "consumers of a closed connection");
            assertEquals(List.of(), open);
            assertEquals(0, server.connectionCount());
            long quarter = config.limits().total().octets() / 4;
            for (int connection = -4; connection < 0; connection++) {
                assertTrue(server.backpressure().tryStartBody(connection, quarter), "a body is counted for a closed connection");
            }
            for (int connection = -4; connection < 0; connection++) {
                server.backpressure().bodyDone(connection, quarter);
                assertTrue(server.backpressure().addLoad(connection, config.limits().total().messages() / 4 - 1, 1)
                        && server.backpressure().paused().isEmpty(), "a publication is counted for a closed connection");
            }
            for (int connection = -4; connection < 0; connection++) {
                server.backpressure().connectionClosed(connection);
            }
            assertEquals(0, counting.metric().heapArenas().get(0).numActiveAllocations(), "buffers that were not released");
        }
        assertTrue(published > frames / 50, "accepted publications: " + published);
    }

    private void receive(EmbeddedChannel channel, byte[] octets) {
        if (channel.isOpen()) {
            channel.writeInbound(counting.buffer(Math.max(1, octets.length)).writeBytes(octets));
            channel.runPendingTasks();
            loop.runPendingTasks();
            loop.runScheduledPendingTasks();
        }
    }
}
