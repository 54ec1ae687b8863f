package slipfield.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import slipfield.core.Transport;
import slipfield.journal.PendingMessage;
import slipfield.policy.DeliveryPolicy;
import slipfield.policy.DeliveryPolicy.AttemptOutcome;
import slipfield.policy.DeliveryPolicy.AttemptTiming;
import slipfield.standin.Stub;

/** The outcome of a call for each kind of answer or failure that the protocol defines, and the reuse of connections. */
class HttpTransportTest {
    private static final double LONG_TIMEOUT_MS = 20_000;

    private record End(AttemptOutcome outcome, boolean gone, double waitMs) {
    }

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<End> ends = new LinkedBlockingQueue<>();
    private final BlockingQueue<Double> reportedRates = new LinkedBlockingQueue<>();
    private HttpTransport transport;
    private Stub stub;

    @BeforeEach
    void open() throws Exception {
        stub = new Stub(Stub.status(200, ""));
        transport = new HttpTransport(loop, 1000, 15_000, 4,
                (call, outcome, gone, waitMs, limit) -> {
                    reportedRates.add(limit.perSecond());
                    ends.add(new End(outcome, gone, waitMs));
                });
        transport.start();
        setAddress(stub.address());
    }

    @AfterEach
    void close() throws Exception {
        stub.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private void setAddress(InetSocketAddress address) {
        loop.submit(() -> transport.updateEndpoint(1, address, true)).syncUninterruptibly();
    }

    private Transport.Attempt start(byte[] body, double timeoutMs) throws Exception {
        PendingMessage message = new PendingMessage(1, "id-1", "order", "t", Optional.of("key-1"), 7, 0, body);
        return start(message, timeoutMs, 0);
    }

    private Transport.Attempt start(PendingMessage message, double timeoutMs, long decidedAgoMs) throws Exception {
        return loop.submit(() -> transport.attempt(message, 0, 1, new AttemptTiming(timeoutMs, Double.POSITIVE_INFINITY),
                System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(decidedAgoMs))).get();
    }

    private End end() throws Exception {
        return ends.poll(30, TimeUnit.SECONDS);
    }

    private End call(Stub.Script script) throws Exception {
        stub.script(script);
        start(new byte[] {'b', 'o', 'd', 'y'}, LONG_TIMEOUT_MS);
        return end();
    }

    private void expect(AttemptOutcome outcome, Stub.Script script) throws Exception {
        assertEquals(new End(outcome, false, 0), call(script));
    }

    @Test
    void idKeyBodyAndBudgetAreSent() throws Exception {
        expect(AttemptOutcome.DELIVERED, Stub.status(200, ""));
        Stub.Message m = stub.requests.get(0);
        assertEquals("POST /v1/messages HTTP/1.1", m.line());
        assertEquals("id-1", m.header("X-Call-Id"));
        assertEquals("key-1", m.header("Idempotency-Key"));
        long budgetMs = Long.parseLong(m.header("X-Budget-Ms"));
        assertTrue(budgetMs > 0 && budgetMs <= 20_000, budgetMs + " ms");
        assertEquals("body", m.body());
    }

    /** Guards against a first byte before the record that the attempt begins (review, case 8). */
    @Test
    void aCallAsksBeforeItsFirstByteUnlessItBeginsAtOnce() throws Exception {
        BlockingQueue<Boolean> begunWhenAsked = new LinkedBlockingQueue<>();
        boolean[] allowed = {false};
        transport = new HttpTransport(loop, 1000, 15_000, 4, new Transport.AttemptListener() {
            @Override
            public boolean mayBegin(Transport.Attempt attempt) {
                begunWhenAsked.add(attempt.hasBegun());
                return allowed[0];
            }

            @Override
            public void ended(Transport.Attempt call, AttemptOutcome outcome, boolean gone, double waitMs,
                    DeliveryPolicy.LimitReport limit) {
                ends.add(new End(outcome, gone, waitMs));
            }
        });
        setAddress(stub.address());
        start(new byte[1], LONG_TIMEOUT_MS);
        assertEquals(AttemptOutcome.NOT_SENT, end().outcome());
        assertTrue(stub.requests.isEmpty());
        assertFalse(begunWhenAsked.remove());
        allowed[0] = true;
        Transport.Attempt overIdleConnection = start(new byte[1], LONG_TIMEOUT_MS);
        assertTrue(overIdleConnection.hasBegun());
        assertEquals(AttemptOutcome.DELIVERED, end().outcome());
        assertTrue(begunWhenAsked.isEmpty());
    }

    /** Messages were lost after restarts: calls of an event-loop iteration that took a second timed out a second late. */
    @Test
    void aTimeOutCountsFromTheDecisionEvenIfTheCallStartsLate() throws Exception {
        stub.script(Stub.silent());
        PendingMessage message = new PendingMessage(1, "id-1", "order", "t", Optional.of("key-1"), 7, 0, new byte[0]);
        start(message, 600_000, 600_000);
        assertTrue(end() != null, "it times out at once, not after ten minutes");
    }

    /** Guards against a requested delay that is not heeded: the answer had arrived while the event loop read from another socket. */
    @Test
    void anAnswerThatHasArrivedWhenTheTimeOutExpiresIsRead() throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        stub.script(Stub.silent());
        try (Stub other = new Stub(Stub.status(200, ""))) {
            Channel reader = new Bootstrap().group(loop).channel(NioSocketChannel.class).handler(new ChannelInboundHandlerAdapter() {
                @Override
                public void channelRead(ChannelHandlerContext ctx, Object data) throws Exception {
                    blocked.countDown();
                    assertTrue(released.await(30, TimeUnit.SECONDS));
                }
            }).connect(other.address()).sync().channel();
            long begun = System.nanoTime();
            long timeoutMs = 500;
            start(new byte[1], timeoutMs);
            Stub.await("the call has come", () -> !stub.requests.isEmpty());
            reader.writeAndFlush(Unpooled.copiedBuffer("GET / HTTP/1.1\r\n\r\n", StandardCharsets.US_ASCII));
            assertTrue(blocked.await(30, TimeUnit.SECONDS));
            stub.answerAll("HTTP/1.1 429 x\r\nRetry-After: 0.7\r\nContent-Length: 0\r\n\r\n");
            Stub.await("its time is over", () -> System.nanoTime() - begun > TimeUnit.MILLISECONDS.toNanos(2 * timeoutMs));
            released.countDown();
            assertEquals(new End(AttemptOutcome.FULL, false, 700), end());
            reader.close();
        }
    }

    /** Calls were sent 2.10 s after the endpoint list had reported a drain, because connecting had taken that long. */
    @Test
    void aCallIsNotSentIfItsEndpointWasStoppedWhileConnecting() throws Exception {
        PendingMessage message = new PendingMessage(1, "id-1", "order", "t", Optional.of("key-1"), 7, 0, new byte[0]);
        loop.submit(() -> {
            transport.attempt(message, 0, 1, new AttemptTiming(LONG_TIMEOUT_MS, LONG_TIMEOUT_MS), System.nanoTime());
            transport.stop(1);
        }).get();
        assertEquals(new End(AttemptOutcome.NOT_SENT, false, 0), end());
        loop.submit(() -> {
            transport.updateEndpoint(1, stub.address(), true);
            transport.attempt(message, 0, 1, new AttemptTiming(LONG_TIMEOUT_MS, LONG_TIMEOUT_MS), System.nanoTime());
            transport.updateEndpoint(1, stub.address(), false);
        }).get();
        assertEquals(new End(AttemptOutcome.NOT_SENT, false, 0), end());
        assertEquals(List.of(), stub.requests);
    }

    /**
     * Found on a split day: a repeat was decided within its window, but its connection was established after the window. Here the
     * decision is in the past, so that the window is always over when the connection is established.
     */
    @Test
    void aRepeatIsNotSentIfItsConnectionIsEstablishedAfterItsWindow() throws Exception {
        PendingMessage message = new PendingMessage(1, "id-1", "order", "t", Optional.of("key-1"), 7, 0, new byte[0]);
        long decided = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(300);
        loop.submit(() -> transport.attempt(message, 0, 1, new AttemptTiming(LONG_TIMEOUT_MS, 250), decided)).get();
        assertEquals(new End(AttemptOutcome.NOT_SENT, false, 0), end());
        assertEquals(List.of(), stub.requests);
        expect(AttemptOutcome.DELIVERED, Stub.status(200, ""));
        loop.submit(() -> transport.attempt(message, 0, 1, new AttemptTiming(LONG_TIMEOUT_MS, 250), decided)).get();
        assertEquals(new End(AttemptOutcome.NOT_SENT, false, 0), end());
        assertEquals(1, stub.requests.size(), "a repeat is not sent on an idle connection either");
    }

    @Test
    void statusesMapToOutcomesAsInTheProtocol() throws Exception {
        expect(AttemptOutcome.ERROR, Stub.status(500, ""));
        assertEquals(new End(AttemptOutcome.FULL, false, 1250), call(Stub.status(429, "Retry-After: 1.25\r\n")));
        expect(AttemptOutcome.FULL, Stub.status(503, ""));
        expect(AttemptOutcome.NOT_SENT, Stub.status(503, "X-No-Slot: 1\r\n"));
        expect(AttemptOutcome.NOT_SENT, Stub.status(504, ""));
        assertEquals(new End(AttemptOutcome.NOT_SENT, true, 0), call(Stub.status(410, "")));
    }

    @Test
    void aConnectionThatBreaksAfterTheLastByteIsBroken() throws Exception {
        expect(AttemptOutcome.BROKEN, (request, socket) -> socket.close());
        expect(AttemptOutcome.BROKEN, (request, socket) -> socket.shutdownOutput());
        expect(AttemptOutcome.BROKEN, (request, socket) -> Stub.write(socket, "not HTTP at all\r\n\r\n"));
        assertEquals(3, stub.requests.size(), "each was sent once");
    }

    @Test
    void aRefusedConnectionIsUnreachable() throws Exception {
        ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        InetSocketAddress address = (InetSocketAddress) unused.getLocalSocketAddress();
        unused.close();
        setAddress(address);
        start(new byte[1], LONG_TIMEOUT_MS);
        assertEquals(new End(AttemptOutcome.UNREACHABLE, false, 0), end());
    }

    @Test
    void aConnectionThatBreaksBeforeTheLastByteIsUnreachable() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            setAddress((InetSocketAddress) full.getLocalSocketAddress());
            start(new byte[64 << 20], LONG_TIMEOUT_MS);
            try (Socket socket = full.accept()) {
                socket.getInputStream().read();
                socket.setSoLinger(true, 0);
            }
            assertEquals(new End(AttemptOutcome.UNREACHABLE, false, 0), end());
        }
    }

    @Test
    void aCallWithoutAnAnswerTimesOutAndItsConnectionIsClosed() throws Exception {
        expect(AttemptOutcome.DELIVERED, Stub.status(200, ""));
        awaitIdle();
        stub.script(Stub.silent());
        start(new byte[1], 30);
        assertEquals(new End(AttemptOutcome.TIMED_OUT, false, 0), end());
        expect(AttemptOutcome.DELIVERED, Stub.status(200, ""));
        assertEquals(1, stub.requests.get(stub.requests.size() - 1).connection(),
                "a late answer must not be read as that of the next call");
    }

    @Test
    void aCancelledCallEndsOnceAndClosesTheConnection() throws Exception {
        stub.script(Stub.silent());
        Transport.Attempt call = start(new byte[1], LONG_TIMEOUT_MS);
        Stub.await("the call arrives", () -> !stub.requests.isEmpty());
        loop.submit(() -> call.cancel()).syncUninterruptibly();
        assertEquals(new End(AttemptOutcome.CANCELLED, false, 0), end());
        expect(AttemptOutcome.DELIVERED, Stub.status(200, ""));
        assertEquals(1, stub.requests.get(1).connection());
    }

    /** Otherwise a keyed message that was never sent would fail at the end of a window that never began. */
    @Test
    void aCallThatIsCancelledWhileConnectingCountsAsNotSent() throws Exception {
        PendingMessage message = new PendingMessage(1, "id-1", "order", "t", Optional.of("key-1"), 7, 0, new byte[0]);
        loop.submit(() -> transport.attempt(message, 0, 1, new AttemptTiming(LONG_TIMEOUT_MS, LONG_TIMEOUT_MS), System.nanoTime())
                .cancel()).get();
        assertEquals(new End(AttemptOutcome.NOT_SENT, false, 0), end());
        expect(AttemptOutcome.DELIVERED, Stub.status(200, ""));
        assertEquals(1, stub.requests.size());
    }

    @Test
    void aConnectionIsReusedAfterAnyCompleteAnswer() throws Exception {
        expect(AttemptOutcome.DELIVERED, (request, socket) -> {
            for (char c : "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    .toCharArray()) {
                Stub.write(socket, String.valueOf(c));
            }
            Stub.write(socket, "3\r\nabc\r\n0\r\n\r\n");
        });
        awaitIdle();
        expect(AttemptOutcome.ERROR, Stub.status(500, ""));
        awaitIdle();
        expect(AttemptOutcome.DELIVERED, Stub.status(200, ""));
        assertEquals(0, stub.requests.get(2).connection());
    }

    @Test
    void aConnectionThatTheEndpointClosedIsNotReused() throws Exception {
        expect(AttemptOutcome.DELIVERED, (request, socket) -> {
            Stub.status(200, "").come(request, socket);
            socket.close();
        });
        Stub.await("the close is noticed", () -> idleConnections() == 0);
        expect(AttemptOutcome.DELIVERED, Stub.status(200, ""));
        expect(AttemptOutcome.DELIVERED, Stub.status(200, "Connection: close\r\n"));
        Stub.await("the connection is closed as announced", () -> idleConnections() == 0);
        expect(AttemptOutcome.DELIVERED, Stub.status(200, ""));
    }

    @Test
    void idleConnectionsOfADrainingEndpointAreClosed() throws Exception {
        expect(AttemptOutcome.DELIVERED, Stub.status(200, ""));
        awaitIdle();
        loop.submit(() -> transport.updateEndpoint(1, stub.address(), false)).syncUninterruptibly();
        assertEquals(0, idleConnections());
    }

    private static Stub.Script raw(String answer) {
        return (request, socket) -> Stub.write(socket, answer);
    }

    /** The stub never closes the connection, and the time-out of the calls is too long to end them. */
    @Test
    void anInvalidAnswerEndsTheCallAsBrokenAndClosesTheConnection() throws Exception {
        List<String> invalid = List.of(
                "\u0001\u0002 noise without a line",
                "HTTP/1.1 2",
                "HTTP/1.1 500 x\r\nX-More: more",
                "HTTP/1.1 429 x\r\n" + "X-More: more\r\n".repeat(2000),
                "HTTP/1.1 503 x\r\nContent-Length: many\r\n\r\n",
                "HTTP/1.1 503 x\r\nContent-Length: -1\r\n\r\n",
                "HTTP/1.1 429 x\r\nContent-Length: 10\r\n\r\nfour",
                "HTTP/1.1 503 x\r\nContent-Length: 3000000000\r\n\r\n" + "x".repeat(1000),
                "HTTP/1.1 503 x\r\n\r\n" + "x".repeat(100_000),
                "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
                "HTTP/1.1 twohundred x\r\nContent-Length: 0\r\n\r\n");
        for (String answer : invalid) {
            stub.script(raw(answer));
            start(new byte[1], 600_000);
            assertEquals(new End(AttemptOutcome.BROKEN, false, 0), end(), answer);
        }
        assertEquals(invalid.size(), stub.requests.stream().map(Stub.Message::connection).distinct().count(),
                "no connection is reused");
    }

    /** Guards against idle connections that keep the fields of their last answer: 200 KB of objects on each of hundreds. */
    @Test
    void anAnswerOfThousandsOfTinyFieldsIsInvalid() throws Exception {
        String answer = " x\r\n" + "a:\r\n".repeat(1500) + "Content-Length: 0\r\n\r\n";
        stub.script(raw("HTTP/1.1 503" + answer));
        start(new byte[1], 600_000);
        assertEquals(new End(AttemptOutcome.BROKEN, false, 0), end());
        int before = stub.ended();
        stub.script(raw("HTTP/1.1 200" + answer));
        start(new byte[1], 600_000);
        assertEquals(new End(AttemptOutcome.DELIVERED, false, 0), end());
        Stub.await("the connection is closed", () -> stub.ended() > before);
    }

    @Test
    void aStatusLineWith200IsADeliveryWhateverFollows() throws Exception {
        for (String rest : List.of("", "X-More: more", "\u0001\u0002\r\n\r\n", "Content-Length: many\r\n\r\n",
                "Content-Length: 10\r\n\r\nfour", "Content-Length: 3000000000\r\n\r\nxxx",
                "X-More: more\r\n".repeat(2000))) {
            int before = stub.ended();
            stub.script(raw("HTTP/1.1 200 OK\r\n" + rest));
            start(new byte[1], 600_000);
            assertEquals(new End(AttemptOutcome.DELIVERED, false, 0), end(), rest);
            Stub.await("the connection is closed", () -> stub.ended() == before + 1);
        }
    }

    @Test
    void dataAfterAnAnswerIsNotReadAsTheNextAnswer() throws Exception {
        String ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        for (String extra : List.of(ok, "noise", "\r\n")) {
            int before = stub.ended();
            stub.script((request, socket) -> {
                Stub.write(socket, ok);
                Stub.write(socket, extra);
            });
            start(new byte[1], LONG_TIMEOUT_MS);
            assertEquals(new End(AttemptOutcome.DELIVERED, false, 0), end());
            stub.script(Stub.status(500, ""));
            start(new byte[1], LONG_TIMEOUT_MS);
            assertEquals(new End(AttemptOutcome.ERROR, false, 0), end(), "the next call's own answer");
            Stub.await("the connection is closed", () -> stub.ended() > before);
        }
    }

    @Test
    void interimAnswersAreSkippedHoweverLongTheFinalOneTakes() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        stub.script((request, socket) -> {
            Stub.write(socket, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n");
            go.await();
            Stub.write(socket, "HTTP/1.1 429 x\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n");
        });
        start(new byte[1], LONG_TIMEOUT_MS);
        // Longer than the time limit of an answer.
        assertNull(ends.poll(1500, TimeUnit.MILLISECONDS));
        go.countDown();
        assertEquals(new End(AttemptOutcome.FULL, false, 500), end());
    }

    @Test
    void theReportedRateIsReadIfItIsValid() throws Exception {
        for (int status : List.of(200, 429)) {
            for (String report : List.of("TEXT x0=0.4, x1=25", "TEXT x1=25,x0=0", "\u0001\u00ff x1=", "TEXT x1=many",
                    "TEXT")) {
                call(Stub.status(status, "X-Load-Report: " + report + "\r\n"));
                double rate = report.contains("25") ? 25 : 0;
                assertEquals(rate, reportedRates.take(), report);
            }
        }
    }

    @Test
    void aRequestedDelayIsANumberWithinBounds() throws Exception {
        for (String none : List.of("NaN", "-Infinity", "-5", "soon")) {
            assertEquals(new End(AttemptOutcome.FULL, false, 0), call(Stub.status(429, "Retry-After: " + none + "\r\n")));
        }
        for (String most : List.of("Infinity", "1e300", "99999999")) {
            assertEquals(new End(AttemptOutcome.FULL, false, 60_000),
                    call(Stub.status(429, "Retry-After: " + most + "\r\n")));
        }
    }

    /** A requested delay applies even if the rest of its answer is cut off or never ends. */
    @Test
    void aRequestedDelayIsReadFromAnInvalidAnswer() throws Exception {
        String head = "HTTP/1.1 429 x\r\nRetry-After: 2\r\nContent-Length: 500\r\n\r\n";
        assertEquals(new End(AttemptOutcome.BROKEN, false, 2000), call((m, socket) -> {
            Stub.write(socket, head + "cut");
            socket.close();
        }));
        assertEquals(new End(AttemptOutcome.BROKEN, false, 2000), call((m, socket) -> Stub.write(socket,
                head + "it goes no further")));
    }

    @Test
    void theEndOfACallThatCannotBeWrittenIsReported() throws Exception {
        PendingMessage message = new PendingMessage(1, "no\r\nheader", "order", "t", Optional.empty(), 7, 0, new byte[1]);
        start(message, 600_000, 0);
        assertEquals(new End(AttemptOutcome.UNREACHABLE, false, 0), end());
        assertTrue(stub.requests.isEmpty());
    }

    @Test
    void forgettingAnEndpointClosesItsConnectionsAfterTheirCalls() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        expect(AttemptOutcome.DELIVERED, Stub.status(200, ""));
        awaitIdle();
        stub.script((request, socket) -> {
            go.await();
            Stub.status(200, "").come(request, socket);
        });
        start(new byte[1], LONG_TIMEOUT_MS);
        start(new byte[1], LONG_TIMEOUT_MS);
        Stub.await("the calls are sent", () -> stub.requests.size() == 3);
        loop.submit(() -> transport.forget(1)).syncUninterruptibly();
        go.countDown();
        assertEquals(new End(AttemptOutcome.DELIVERED, false, 0), end(), "the end of a call in progress is still reported");
        assertEquals(new End(AttemptOutcome.DELIVERED, false, 0), end());
        Stub.await("its connections are closed", () -> stub.ended() == 2);
        assertEquals(0, idleConnections());
        assertEquals(0, loop.submit(() -> transport.knownEndpoints()).get());
    }

    @Test
    void aConnectionToThePreviousAddressOfAnEndpointIsNotReused() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        stub.script((request, socket) -> {
            go.await();
            Stub.status(200, "").come(request, socket);
        });
        start(new byte[1], LONG_TIMEOUT_MS);
        Stub.await("the call is sent", () -> stub.requests.size() == 1);
        try (Stub moved = new Stub(Stub.status(500, ""))) {
            setAddress(moved.address());
            go.countDown();
            assertEquals(new End(AttemptOutcome.DELIVERED, false, 0), end());
            Stub.await("the old connection is closed", () -> stub.ended() == 1);
            start(new byte[1], LONG_TIMEOUT_MS);
            assertEquals(new End(AttemptOutcome.ERROR, false, 0), end());
        }
    }

    private void awaitIdle() throws Exception {
        Stub.await("the connection is idle", () -> idleConnections() == 1);
    }

    private int idleConnections() {
        return loop.submit(() -> transport.idleConnections()).syncUninterruptibly().getNow();
    }
}
