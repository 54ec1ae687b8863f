package slipfield.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import slipfield.standin.Ledger;
import slipfield.standin.SenderProcess;
import slipfield.standin.Stub;
import slipfield.standin.TrialWorld;

/** A sender with the heap of a real one, and clients that send more at once than it can hold. */
@Timeout(120)
class RequestFloodTest {
    private static final int BAD_CLIENTS = 40;
    private static final int REQUESTS_AT_ONCE = 900;
    private static final int BODY_BYTES = 8000;
    private static final long GIVE_UP_MS = 5000;
    private static final long ENDS_MS = 20_000;

    @TempDir
    private Path folder;
    private TrialWorld world;
    private SenderProcess sender;
    private final ExecutorService clients = Executors.newCachedThreadPool();

    @BeforeEach
    void open() throws Exception {
        world = new TrialWorld(folder, new TrialWorld.Size(1, 1e6, 1000, GIVE_UP_MS, 400, 30));
        sender = new SenderProcess(folder, List.of(), SenderProcess.SMALL);
        sender.start();
    }

    @AfterEach
    void close() {
        clients.shutdownNow();
        sender.close();
        world.close();
    }

    /** Found by a review: the event loop ended for lack of memory, the process stayed, and accepted orders got no final answer. */
    @Test
    void clientsThatSendHundredsOfRequestsAtOnceTakeNoMemoryFromOthers() throws Exception {
        world.desks(0).atRate(20);
        Stub.await("orders are accepted", () -> world.ledger().account().taken() >= 10);
        byte[] requests = requestsOfAnUnknownClass();
        List<Future<Integer>> answered = new ArrayList<>();
        for (int i = 0; i < BAD_CLIENTS; i++) {
            answered.add(clients.submit(() -> sendAtOnce(requests)));
        }
        for (Future<Integer> each : answered) {
            assertEquals(REQUESTS_AT_ONCE, each.get());
        }
        world.desks(0).stop();
        world.awaitEnds(ENDS_MS);
        Ledger.Account account = world.ledger().account();
        assertTrue(account.holds(), account.toString());
    }

    private static byte[] requestsOfAnUnknownClass() {
        ByteArrayOutputStream requests = new ByteArrayOutputStream();
        byte[] request = ("POST /nosuch HTTP/1.1\r\nHost: x\r\nX-Call-Id: bad\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n"
                + "x".repeat(BODY_BYTES)).getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < REQUESTS_AT_ONCE; i++) {
            requests.writeBytes(request);
        }
        return requests.toByteArray();
    }

    /** Sends all of this at full speed while it reads the answers; returns how many came. */
    private int sendAtOnce(byte[] requests) throws Exception {
        InetSocketAddress address = world.sender();
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            Future<?> sending = clients.submit(() -> {
                socket.getOutputStream().write(requests);
                return null;
            });
            InputStream in = new BufferedInputStream(socket.getInputStream());
            int answers = 0;
            try {
                while (answers < REQUESTS_AT_ONCE) {
                    Stub.read(in, 0);
                    answers++;
                }
                sending.get();
            } catch (IOException closed) {
                // The sender has closed the connection: the answers so far count.
            }
            return answers;
        }
    }
}
