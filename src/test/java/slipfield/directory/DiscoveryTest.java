package slipfield.directory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import slipfield.agent.AgentClient;
import slipfield.core.Directory;
import slipfield.fleet.DiscoveryBackoff;
import slipfield.standin.Stub;

/** The platform's list when discovery is overloaded, slow, or sends invalid answers. */
class DiscoveryTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<Directory.Entry> reported = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger wholeLists = new AtomicInteger();
    private Stub stub;
    private Discovery discovery;

    @AfterEach
    void close() throws Exception {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        stub.close();
    }

    private void start(Stub.Script script, Optional<JsonNode> known) throws Exception {
        stub = new Stub(script);
        discovery = new Discovery(loop, new AgentClient(loop, stub.address()), known,
                new DiscoveryBackoff(14, new SplittableRandom(5)));
        loop.submit(() -> discovery.start((whole, entries) -> {
            if (whole) {
                wholeLists.incrementAndGet();
                reported.clear();
            }
            reported.addAll(entries);
        })).syncUninterruptibly();
    }

    private static String entry(String id, String state, String weight) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"127.0.0.1:7000\",\"zone\":\"a\",\"machineType\":\"m\","
                + "\"cell\":7,\"lifecycle\":\"" + state + "\",\"weight\":" + weight + "}";
    }

    private static void list(Socket socket, long generation, boolean reset, String... entries) throws Exception {
        String body = "{\"generation\":" + generation + ",\"reset\":" + reset + ",\"instances\":["
                + String.join(",", entries) + "]}";
        Stub.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private static void reject(Socket socket) throws Exception {
        Stub.write(socket, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }

    private boolean fresh() {
        return loop.submit(discovery::fresh).syncUninterruptibly().getNow();
    }

    /** The configured list is used; a pause after a 503 is at least 3.5 s / 4, as retries each 100 ms prolonged an overload. */
    @Test
    void anOverloadedDiscoveryIsRetriedSeldomAndTheConfiguredListIsUsed() throws Exception {
        JsonNode known = new ObjectMapper().readTree("{\"generation\":41,\"reset\":true,\"instances\":["
                + entry("s-1", "SERVING", "2.0") + "]}");
        start((request, socket) -> {
            if (stub.requests.size() < 3) {
                reject(socket);
            } else {
                list(socket, 42, true, entry("s-2", "SERVING", "1.0"));
            }
        }, Optional.of(known));
        Stub.await("the kept list", () -> reported.size() == 1);
        assertEquals("s-1", reported.get(0).id());
        assertFalse(fresh());
        Stub.await("discovery's own", this::fresh);
        assertEquals("s-2", reported.get(0).id());
        for (int i = 1; i < 3; i++) {
            long pauseMs = (stub.requests.get(i).atNanos() - stub.requests.get(i - 1).atNanos()) / 1_000_000;
            assertTrue(pauseMs >= 800, "asked again after " + pauseMs + " ms");
        }
    }

    /** Guards against a time-out of 500 ms: a slower answer is accepted without a second request. */
    @Test
    void aSlowAnswerIsAccepted() throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        start((request, socket) -> {
            if (request.line().contains("after=")) {
                return;
            }
            held.await();
            list(socket, 5, true, entry("s-1", "SERVING", "1.0"));
        }, Optional.empty());
        Stub.await("the first call", () -> stub.requests.size() == 1);
        loop.schedule(held::countDown, 1200, TimeUnit.MILLISECONDS);
        Stub.await("the list", this::fresh);
        assertEquals(1, stub.requests.stream().filter(r -> !r.line().contains("after=")).count(), "asked once");
    }

    /** After a truncated answer or one without a list, the last list stays in use and discovery is asked again. */
    @Test
    void aTruncatedOrInvalidAnswerChangesNothing() throws Exception {
        start((request, socket) -> {
            switch (stub.requests.size()) {
                case 1 -> list(socket, 5, true, entry("s-1", "SERVING", "1.0"));
                case 2 -> {
                    Stub.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"generation\":6,\"reset\":true,");
                    socket.close();
                }
                case 3 -> Stub.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"instances\":");
                case 4 -> Stub.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n{\"generation\":\"x\"}");
                case 5 -> {
                    // The first chunk is a valid empty list: only the framing shows that the answer is incomplete.
                    String part = "{\"generation\":6,\"reset\":true,\"instances\":[]}";
                    Stub.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + Integer.toHexString(part.length()) + "\r\n" + part + "\r\nno length\r\n\r\n");
                }
                case 6 -> {
                    String part = "{\"generation\":6,\"reset\":true,\"instances\":[]}";
                    Stub.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n" + part);
                    socket.close();
                }
                default -> {
                    list(socket, 7, false, entry("s-2", "SERVING", "1.0"));
                }
            }
        }, Optional.empty());
        Stub.await("the list after them", () -> reported.size() >= 2);
        assertEquals("s-1", reported.get(0).id());
        assertEquals(1, wholeLists.get());
        for (int i = 1; i < 7; i++) {
            assertTrue(stub.requests.get(i).line().contains("after=5&"), stub.requests.get(i).line());
        }
    }

    /**
     * The content of an unreadable list counts as reported. When four in a row were handled like an overload, the pauses of one
     * of 14 senders took at least 13 s together.
     */
    @Test
    void anUnreadableListIsRequestedAgainSoon() throws Exception {
        start((request, socket) -> {
            if (stub.requests.size() > 1 && stub.requests.size() < 6) {
                Stub.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"instances\":");
            } else {
                list(socket, stub.requests.size(), true, entry("s-" + stub.requests.size(), "SERVING", "1.0"));
            }
        }, Optional.empty());
        Stub.await("the list after them", () -> stub.requests.size() > 6);
        long tookMs = (stub.requests.get(5).atNanos() - stub.requests.get(1).atNanos()) / 1_000_000;
        assertTrue(tookMs < 10_000, tookMs + " ms");
    }

    /** Older changes would undo a drain that was reported since. */
    @Test
    void changesOfAnOlderGenerationAreDiscarded() throws Exception {
        start((request, socket) -> {
            switch (stub.requests.size()) {
                case 1 -> list(socket, 5, true, entry("s-1", "DRAINING", "1.0"));
                case 2 -> list(socket, 4, false, entry("s-1", "SERVING", "1.0"));
                case 3 -> list(socket, 3, true, entry("s-2", "SERVING", "1.0"));
                default -> { }
            }
        }, Optional.empty());
        Stub.await("the whole list", () -> stub.requests.size() == 4);
        assertFalse(stub.requests.get(2).line().contains("after="), "the whole list is fetched");
        assertEquals(List.of("s-2"), reported.stream().map(Directory.Entry::id).toList());
        assertEquals(2, wholeLists.get());
        assertTrue(stub.requests.get(3).line().contains("after=3&"), "a whole list may have a lower generation");
    }

    /** An unknown state counts as not serving, an invalid weight as none; an entry with an invalid address is skipped. */
    @Test
    void unknownStatesAndInvalidEntriesAreNotServing() throws Exception {
        start((request, socket) -> {
            if (!request.line().contains("after=")) {
                list(socket, 5, true, entry("s-1", "RESTING", "1.0"), entry("s-2", "SERVING", "-4"),
                        entry("s-3", "SERVING", "1e999"), "{\"instanceId\":\"s-4\",\"hostPort\":\"nowhere\"}",
                        entry("s-5", "DELETED", "\"many\""));
            }
        }, Optional.empty());
        Stub.await("the list", this::fresh);
        Stub.await("its entries", () -> reported.size() == 4);
        assertEquals(List.of("s-1", "s-2", "s-3", "s-5"), reported.stream().map(Directory.Entry::id).toList());
        assertEquals(List.of(false, true, true, false), reported.stream().map(Directory.Entry::serving).toList());
        assertEquals(List.of(false, false, false, true), reported.stream().map(Directory.Entry::gone).toList());
    }
}
