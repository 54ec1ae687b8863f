package slipfield.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import slipfield.standin.ClientCrowd;
import slipfield.standin.CrowdBehavior;
import slipfield.standin.Ledger;
import slipfield.standin.SenderProcess;
import slipfield.standin.Stub;
import slipfield.standin.TrialWorld;

/** A sender with 96 MB and 1,024 descriptors, more bad clients than it has connections for, and a usual client beside them. */
@Timeout(120)
class HostileCrowdTest {
    private static final int MEMORY_MB = 96;
    private static final String HEAP = "-Xmx36m";
    private static final int SOCKETS = 1024;
    private static final int CROWD = 600;
    private static final long CROWD_MS = 3500;
    private static final int ORDER_EACH_MS = 20;
    /** How long a client waits for its answer. */
    private static final int PATIENCE_MS = 400;
    private static final long GIVE_UP_MS = 4000;
    private static final long ENDS_MS = 20_000;

    @TempDir
    private Path folder;
    private TrialWorld world;
    private SenderProcess sender;

    @BeforeEach
    void open() throws Exception {
        world = new TrialWorld(folder, new TrialWorld.Size(1, 1e6, 1000, GIVE_UP_MS, 400, 30));
        Path file = folder.resolve("config.json");
        ObjectNode config = (ObjectNode) new JsonMapper().readTree(file.toFile());
        config.putObject("limits").put("sockets", SOCKETS).put("disk_mb", 3).put("memory_mb", MEMORY_MB);
        new JsonMapper().writeValue(file.toFile(), config);
        sender = new SenderProcess(folder, List.of(), List.of("@" + Path.of("deploy/java.options").toAbsolutePath(), HEAP));
        sender.start();
    }

    @AfterEach
    void close() {
        sender.close();
        world.close();
    }

    /** Guards against heads, bodies and answers that are limited in octets each: by their objects they filled the heap. */
    @ParameterizedTest
    @EnumSource(CrowdBehavior.class)
    void hundredsOfBadClientsTakeNeitherTheHeapNorOthersAnswers(CrowdBehavior behavior) throws Exception {
        assertOthersAreServedBeside(List.of(behavior));
    }

    /** Guards against limits that each hold by themselves and not together. */
    @Test
    void badClientsOfAllKindsAtOnceTakeNeitherTheHeapNorOthersAnswers() throws Exception {
        assertOthersAreServedBeside(Arrays.asList(CrowdBehavior.values()));
    }

    /** Guards against a queue or a table that one client can fill, and against work for it that others wait for. */
    @Test
    void unsoundRequestsUnderNewNamesAtFullSpeedTakeNeitherTheHeapNorOthersAnswers() throws Exception {
        UsualClient usual = new UsualClient(world.sender());
        usual.submitFor(ORDER_EACH_MS);
        AtomicBoolean over = new AtomicBoolean();
        Thread flood = new Thread(() -> sendUnsoundRequests(over));
        flood.start();
        usual.submitFor(CROWD_MS);
        over.set(true);
        flood.join();
        assertTrue(sender.isAlive(), () -> log());
        assertTrue(usual.answered.get() >= 0.9 * usual.sent.get(), usual.answered + " of " + usual.sent + " had their answer in time");
    }

    /** Sends small requests without a pause on one connection, while another thread reads the answers; each names something new. */
    private void sendUnsoundRequests(AtomicBoolean over) {
        for (int round = 0; !over.get(); round++) {
            try (Socket socket = new Socket(world.sender().getAddress(), world.sender().getPort())) {
                InputStream answers = socket.getInputStream();
                Thread reading = new Thread(() -> readAll(answers));
                reading.start();
                for (int i = 0; !over.get(); i++) {
                    String name = round + "-" + i;
                    Stub.write(socket, "POST /class-" + name + " HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
                            + "POST /order HTTP/1.1\r\nX-Call-Id: bad-" + name + "\r\nX-Caller: caller-" + name
                            + "\r\nX-Budget-Ms: 1\r\nX-Envelope: dest=" + i + "\r\nX-" + name + ": a\r\nContent-Length: 0\r\n\r\n");
                }
            } catch (IOException closed) {
                // It connects again.
            }
        }
    }

    private static void readAll(InputStream answers) {
        try {
            answers.transferTo(OutputStream.nullOutputStream());
        } catch (IOException closed) {
            // The sender has closed the connection.
        }
    }

    private void assertOthersAreServedBeside(List<CrowdBehavior> behaviors) throws Exception {
        world.desks(0).atRate(20);
        Stub.await("orders are accepted", () -> world.ledger().account().taken() >= 10);
        UsualClient usual = new UsualClient(world.sender());
        try (ClientCrowd crowd = new ClientCrowd(world.sender(), CROWD, behaviors)) {
            usual.submitFor(CROWD_MS);
            assertTrue(sender.isAlive(), () -> log());
            assertTrue(crowd.most() > CROWD / 2, "only " + crowd.most() + " connected");
            assertEquals(0, crowd.left(), "bad clients that had neither an answer nor a close");
        }
        assertTrue(usual.answered.get() >= 0.9 * usual.sent.get(), usual.answered + " of " + usual.sent + " had their answer in time");
        world.desks(0).stop();
        world.awaitEnds(ENDS_MS);
        Ledger.Account account = world.ledger().account();
        assertTrue(account.holds(), account.toString());
    }

    private String log() {
        try {
            return sender.log();
        } catch (IOException e) {
            return e.toString();
        }
    }

    /** Keeps a connection, and sends what was not answered once more on a new one, as clients do. */
    private static final class UsualClient {
        private final InetSocketAddress address;
        private final AtomicInteger sent = new AtomicInteger();
        private final AtomicInteger answered = new AtomicInteger();
        private Socket socket;
        private InputStream in;

        UsualClient(InetSocketAddress address) {
            this.address = address;
        }

        void submitFor(long durationMs) throws InterruptedException {
            ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
            timer.scheduleAtFixedRate(this::order, 0, ORDER_EACH_MS, TimeUnit.MILLISECONDS);
            timer.schedule(timer::shutdown, durationMs, TimeUnit.MILLISECONDS);
            assertTrue(timer.awaitTermination(durationMs * 10, TimeUnit.MILLISECONDS));
        }

        private void order() {
            int number = sent.incrementAndGet();
            long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS);
            boolean fresh = socket == null;
            boolean done = attempt(number, deadline) || !fresh && attempt(number, deadline);
            if (done && System.nanoTime() <= deadline) {
                answered.incrementAndGet();
            }
        }

        private boolean attempt(int number, long deadline) {
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.connect(address, PATIENCE_MS);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                socket.setSoTimeout((int) Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime())));
                Stub.write(socket, "POST /" + TrialWorld.KEYED + " HTTP/1.1\r\nHost: a\r\nX-Call-Id: usual-" + number
                        + "\r\nX-Caller: " + TrialWorld.TENANT + "\r\nX-Budget-Ms: " + GIVE_UP_MS + "\r\nIdempotency-Key: usual-"
                        + number + "\r\nX-Envelope: dest=1\r\nContent-Length: 2\r\n\r\n{}");
                Stub.Message answer = Stub.read(in, 0);
                if (answer != null) {
                    return true;
                }
            } catch (IOException noAnswer) {
                // Its connection was closed, or the answer is late.
            }
            forgetConnection();
            return false;
        }

        private void forgetConnection() {
            try {
                socket.close();
            } catch (IOException alreadyClosed) {
                // It is not used again.
            }
            socket = null;
        }
    }
}
