package slipfield.daemon;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.rabbitmq.client.AMQP;
import com.rabbitmq.client.Channel;
import com.rabbitmq.client.Connection;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import slipfield.amqp.codec.MethodId;
import slipfield.standin.SenderProcess;
import slipfield.standin.Stub;
import slipfield.standin.TrialWorld;
import slipfield.standin.Venue;

/** A sender with the heap of a real one, and AMQP clients that send more than it can hold. */
@Timeout(120)
class AmqpFloodTest {
    private static final Pattern LISTENING = Pattern.compile("sender\\.listening .*address=127\\.0\\.0\\.1:(\\d+)");
    private static final long GIVE_UP_MS = 24_000;
    private static final int CONNECTIONS = 256;
    private static final byte BODY_FRAME = 3;
    private static final int FRAME_OVERHEAD = 8;
    private static final int PUBLISHERS = 4;
    private static final int PUBLICATIONS_EACH = 400;
    private static final int HEADER_BYTES = 35_000;
    private static final int TINY_FIELDS = 700;
    private static final int TABLES_EACH = 8;

    @TempDir
    private Path folder;
    private TrialWorld world;
    private SenderProcess sender;
    private InetSocketAddress amqp;

    @BeforeEach
    void open() throws Exception {
        world = new TrialWorld(folder, new TrialWorld.Size(1, 1e6, 1000, GIVE_UP_MS, 4000, 30));
        Files.writeString(folder.resolve("amqp.yaml"), AmqpFixture.file("127.0.0.1:0", "limits: {connections: 300}\n"));
        sender = new SenderProcess(folder, List.of(), List.of("@" + Path.of("deploy/java.options").toAbsolutePath()));
        sender.start();
        Stub.await("it listens for AMQP", () -> ports().size() == 2);
        amqp = new InetSocketAddress(InetAddress.getLoopbackAddress(), ports().get(1));
    }

    @AfterEach
    void close() {
        sender.close();
        world.close();
    }

    private List<Integer> ports() {
        return LISTENING.matcher(log()).results().map(m -> Integer.parseInt(m.group(1))).toList();
    }

    private String log() {
        try {
            return sender.log();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Guards against publications whose headers are not counted among what is unsettled: four publishers ended the process. */
    @Test
    void publishersOfLargeHeadersArePausedLikeThoseOfLargeBodies() throws Exception {
        world.venues().forEach(v -> v.mood(Venue.Mood.SILENT));
        AMQP.BasicProperties large = new AMQP.BasicProperties.Builder().headers(Map.of("x", "x".repeat(HEADER_BYTES))).build();
        List<Connection> connections = new ArrayList<>();
        Set<Integer> paused = ConcurrentHashMap.newKeySet();
        for (int i = 0; i < PUBLISHERS; i++) {
            int number = i;
            Connection connection = AmqpFixture.factory("desk", amqp.getPort()).newConnection();
            connections.add(connection);
            connection.addBlockedListener(why -> paused.add(number), () -> { });
            Channel channel = connection.createChannel();
            channel.confirmSelect();
            Thread publishing = new Thread(() -> {
                try {
                    for (int k = 0; k < PUBLICATIONS_EACH; k++) {
                        channel.basicPublish(AmqpFixture.EXCHANGE, "once.1", large, new byte[2]);
                    }
                } catch (IOException | RuntimeException e) {
                    // A connection that is closed too early is noticed below.
                }
            });
            publishing.setDaemon(true);
            publishing.start();
        }
        Stub.await("each was paused", () -> paused.size() == PUBLISHERS);
        AmqpFixture.factory("desk", amqp.getPort()).newConnection().abort();
        assertTrue(connections.stream().allMatch(Connection::isOpen), this::log);
    }

    /** Guards against connections that each send most of a frame and stay: 129 of them ended the process. */
    @Test
    void connectionsThatAllHoldMostOfAFrameTakeNoMemoryFromOthers() throws Exception {
        List<RawPeer> peers = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            RawPeer peer = new RawPeer(amqp);
            peers.add(peer);
            peer.login("desk", AmqpFixture.PASSWORD);
            long frameMax = peer.await(MethodId.CONNECTION_TUNE).number("frame-max");
            peer.send(0, MethodId.CONNECTION_TUNE_OK, 0, frameMax, 0);
            peer.send(0, MethodId.CONNECTION_OPEN, "/", "", false);
            peer.await(MethodId.CONNECTION_OPEN_OK);
            byte[] whole = ByteBuffer.allocate((int) frameMax).put(BODY_FRAME).putShort((short) 1)
                    .putInt((int) frameMax - FRAME_OVERHEAD).array();
            peer.socket.getOutputStream().write(whole, 0, whole.length - 1);
        }
        AmqpFixture.factory("desk", amqp.getPort()).newConnection().abort();
        for (RawPeer peer : peers) {
            assertFalse(isClosed(peer), this::log);
            peer.close();
        }
    }

    /** Guards against tables of tiny fields, which take 25 times their octets: one read of each connection ended the process. */
    @Test
    void tablesOfTinyFieldsOnAllConnectionsAtOnceTakeNoMemoryFromOthers() throws Exception {
        Map<String, Object> table = new HashMap<>();
        for (int i = 0; i < TINY_FIELDS; i++) {
            table.put(Integer.toString(i, Character.MAX_RADIX), true);
        }
        List<RawPeer> peers = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            RawPeer peer = new RawPeer(amqp);
            peers.add(peer);
            peer.login("desk", AmqpFixture.PASSWORD);
            peer.await(MethodId.CONNECTION_TUNE);
            peer.send(0, MethodId.CONNECTION_TUNE_OK, 0, 4096L, 0);
            peer.send(0, MethodId.CONNECTION_OPEN, "/", "", false);
            peer.await(MethodId.CONNECTION_OPEN_OK);
            peer.send(1, MethodId.CHANNEL_OPEN, "");
            peer.await(MethodId.CHANNEL_OPEN_OK);
        }
        // What they send meanwhile is read in one iteration of the event loop.
        sender.stop();
        for (RawPeer peer : peers) {
            for (int i = 0; i < TABLES_EACH; i++) {
                peer.send(1, MethodId.EXCHANGE_DECLARE, 0, AmqpFixture.EXCHANGE, "topic", true, false, false, false, false, table);
            }
        }
        sender.go();
        for (RawPeer peer : peers) {
            for (int i = 0; i < TABLES_EACH; i++) {
                peer.await(MethodId.EXCHANGE_DECLARE_OK);
            }
            peer.close();
        }
        assertTrue(sender.isAlive(), this::log);
    }

    private static boolean isClosed(RawPeer peer) throws IOException {
        peer.socket.setSoTimeout(1);
        try {
            return peer.socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException open) {
            return false;
        }
    }
}
