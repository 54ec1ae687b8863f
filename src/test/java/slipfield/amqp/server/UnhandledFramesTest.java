package slipfield.amqp.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import slipfield.amqp.AmqpConfig;
import slipfield.amqp.PublishHandler;
import slipfield.amqp.Publication;
import slipfield.amqp.Publisher;
import slipfield.amqp.Secret;
import slipfield.memory.MemoryGuard;

/** Frames that peers send faster than the event loop handles them. */
class UnhandledFramesTest {
    private static final byte[] PROTOCOL_HEADER = {'A', 'M', 'Q', 'P', 0, 0, 9, 1};
    /** A connection.close-ok, which is queued like any other method. */
    private static final byte[] CLOSE_OK = {1, 0, 0, 0, 0, 0, 4, 0, 10, 0, 51, (byte) 0xCE};
    private static final int FRAMES_PER_READ = 1000;
    /** The limit on unhandled frames, and a read more. */
    private static final int MANY_CONNECTIONS = 18;

    /** The core's event loop; its tasks run when the test calls them. */
    private final EmbeddedChannel loop = new EmbeddedChannel();
    private final List<EmbeddedChannel> connections = new ArrayList<>();

    @TempDir
    private Path folder;
    private AmqpServer server;
    private int failingBatches;

    @BeforeEach
    void open() throws Exception {
        Path file = folder.resolve("amqp.yaml");
        Files.writeString(file, """
                listen: 127.0.0.1:0
                users: [{name: u, secret: "%s", publish: [orders]}]
                exchanges: [{name: orders, routes: [{key: "#", class: c, destination: 1}]}]
                """.formatted(Secret.of("p")));
        AmqpConfig config = AmqpConfig.read(file, new AmqpConfig.KnownNames(List.of("c"), List.of(), List.of(), List.of()));
        server = new AmqpServer(loop.eventLoop(), config, "e", MemoryGuard.ofHeap(), Runnable::run);
        server.setHandlers(new NoPublications(), null);
    }

    private final class NoPublications implements PublishHandler {
        @Override
        public void published(Publisher from, Publication publication) {
        }

        @Override
        public void batchEnded() {
            if (failingBatches > 0) {
                failingBatches--;
                throw new IllegalStateException("forced");
            }
        }

        @Override
        public void publisherClosed(Publisher publisher) {
        }
    }

    private EmbeddedChannel connect() {
        EmbeddedChannel connection = new EmbeddedChannel();
        connections.add(connection);
        server.accept(connection);
        return connection;
    }

    private static ByteBuf frames() {
        ByteBuf read = Unpooled.buffer(FRAMES_PER_READ * CLOSE_OK.length);
        for (int i = 0; i < FRAMES_PER_READ; i++) {
            read.writeBytes(CLOSE_OK);
        }
        return read;
    }

    private void handleAll() {
        for (int i = 0; i < MANY_CONNECTIONS * FRAMES_PER_READ && server.unhandledFrames() > 0; i++) {
            loop.runPendingTasks();
            loop.runScheduledPendingTasks();
            connections.forEach(EmbeddedChannel::runPendingTasks);
        }
        assertEquals(0, server.unhandledFrames());
    }

    /** Guards against many peers that together fill the heap, each within its own limit. */
    @Test
    void whileTooManyFramesAreUnhandledNoConnectionIsRead() {
        EmbeddedChannel idle = connect();
        for (int i = 0; i < MANY_CONNECTIONS; i++) {
            connect().writeInbound(Unpooled.copiedBuffer(PROTOCOL_HEADER), frames());
        }
        assertFalse(idle.config().isAutoRead());
        handleAll();
        assertTrue(idle.config().isAutoRead());
    }

    /** Guards against a peer that floods a connection that is being closed: it is read until the peer closes it. */
    @Test
    void framesOfAConnectionThatIsBeingClosedAreNotQueued() {
        EmbeddedChannel failed = connect();
        failed.writeInbound(Unpooled.copiedBuffer(PROTOCOL_HEADER), Unpooled.copiedBuffer(CLOSE_OK));
        handleAll();
        failed.writeInbound(frames());
        assertEquals(0, server.unhandledFrames());
    }

    /** Guards against an AMQP front that stays, mute, after the end of one batch threw: nothing started the next one. */
    @Test
    void framesAreHandledAfterABatchThatFailed() {
        failingBatches = 1;
        connect().writeInbound(Unpooled.copiedBuffer(PROTOCOL_HEADER), Unpooled.copiedBuffer(CLOSE_OK));
        try {
            loop.runPendingTasks();
        } catch (IllegalStateException forced) {
            // An event loop would only log it.
        }
        assertEquals(0, failingBatches);
        connect().writeInbound(Unpooled.copiedBuffer(PROTOCOL_HEADER), frames());
        handleAll();
    }
}
