package slipfield.front.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.BufferedInputStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import slipfield.core.MessageIntake;
import slipfield.journal.AnswerRecipient;
import slipfield.journal.PendingMessage;
import slipfield.standin.Stub;

/** The bound on clients' connections, apart from the sender. */
class HttpFrontendTest {
    private static final int MOST = 10;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<Socket> sockets = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    /** A desk that is ready and knows nothing. */
    private static class NoDesk implements MessageIntake {
        @Override
        public boolean ready() {
            return true;
        }

        @Override
        public boolean knowsClass(String name) {
            return false;
        }

        @Override
        public boolean knowsTenant(String name) {
            return false;
        }

        @Override
        public boolean needsKey(String messageClass) {
            return false;
        }

        @Override
        public boolean knowsDestination(long destination) {
            return false;
        }

        @Override
        public Optional<DuplicateState> checkDuplicate(String id, AnswerRecipient claim) {
            return Optional.empty();
        }

        @Override
        public void recipientGone(String outcome, String peer) {
        }

        @Override
        public SubmissionResult submit(Submission submission) {
            return SubmissionResult.refused("no room", 0);
        }

        @Override
        public boolean writeAccepted() {
            return true;
        }

        @Override
        public void acceptanceReported(PendingMessage held, boolean heard) {
        }
    }

    /** A desk that knows all, has room for nothing, and notes what it was asked to take. */
    private static class NotingDesk extends NoDesk {
        private final List<String> asked = new CopyOnWriteArrayList<>();

        @Override
        public boolean ready() {
            return true;
        }

        @Override
        public boolean knowsClass(String name) {
            return true;
        }

        @Override
        public boolean knowsTenant(String name) {
            return true;
        }

        @Override
        public boolean knowsDestination(long destination) {
            return true;
        }

        @Override
        public SubmissionResult submit(Submission submission) {
            asked.add(submission.id());
            return super.submit(submission);
        }
    }

    private static void submit(Socket socket, String id) throws Exception {
        Stub.write(socket, "POST /order HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Budget-Ms: 9000\r\n"
                + "X-Envelope: dest=7\r\nContent-Length: 2\r\n\r\nhi");
    }

    /** Found on a reload day: short of CPU, most requests that were read had no client any more. */
    @Test
    void aClientThatLeftBeforeItsRequestWasReadIsNotTakenOn() throws Exception {
        EventLoop loop = group.next();
        NotingDesk desk = new NotingDesk();
        HttpFrontend intake = new HttpFrontend(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MOST, desk);
        InetSocketAddress address = intake.listen();
        CountDownLatch written = new CountDownLatch(1);
        keepBusy(loop, written);
        for (int i = 0; i < 5; i++) {
            sockets.add(new Socket(address.getAddress(), address.getPort()));
            submit(sockets.get(i), "id-" + i);
            if (i < 4) {
                sockets.get(i).close();
            }
        }
        written.countDown();
        Stub.Message answer = Stub.read(new BufferedInputStream(sockets.get(4).getInputStream()), 0);
        assertEquals("HTTP/1.1 503 Service Unavailable", answer.line());
        assertEquals(List.of("id-4"), desk.asked);
    }

    /** Found on reload days: at a sender's orderly end those who had connected to a late loop were reset. */
    @Test
    void whoHasConnectedBeforeTheListenerClosesIsAnswered() throws Exception {
        EventLoop loop = group.next();
        NotingDesk desk = new NotingDesk();
        HttpFrontend intake = new HttpFrontend(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MOST, desk);
        InetSocketAddress address = intake.listen();
        CountDownLatch written = new CountDownLatch(1);
        loop.execute(() -> {
            try {
                written.await();
                intake.close();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        for (int i = 0; i < 5; i++) {
            sockets.add(new Socket(address.getAddress(), address.getPort()));
            submit(sockets.get(i), "id-" + i);
        }
        written.countDown();
        for (Socket socket : sockets) {
            Stub.Message answer = Stub.read(new BufferedInputStream(socket.getInputStream()), 0);
            assertEquals("HTTP/1.1 503 Service Unavailable", answer.line());
        }
        assertEquals(5, desk.asked.size());
        assertThrows(ConnectException.class, () -> new Socket(address.getAddress(), address.getPort()));
    }

    /** Takes all, and notes when the journal was written; {@code works}: whether it could be. */
    private static class TakingDesk extends NotingDesk {
        private final boolean works;
        private final List<String> steps = new CopyOnWriteArrayList<>();

        TakingDesk(boolean works) {
            this.works = works;
        }

        @Override
        public SubmissionResult submit(Submission s) {
            steps.add("taken");
            return SubmissionResult.accepted(new PendingMessage(steps.size(), s.id(), s.messageClass(), "", s.key(), 7, 0, s.body()));
        }

        @Override
        public boolean writeAccepted() {
            steps.add("written");
            return works;
        }

        @Override
        public void acceptanceReported(PendingMessage held, boolean heard) {
            steps.add(heard ? "told" : "not told");
        }
    }

    private List<String> handInAtOnce(TakingDesk desk, String line) throws Exception {
        return handInAtOnce(desk, line, "id-0", "id-1", "id-2");
    }

    private List<String> handInAtOnce(TakingDesk desk, String line, String... ids) throws Exception {
        EventLoop loop = group.next();
        HttpFrontend intake = new HttpFrontend(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MOST, desk);
        InetSocketAddress address = intake.listen();
        for (int i = 0; i < 3; i++) {
            sockets.add(new Socket(address.getAddress(), address.getPort()));
        }
        Stub.await("all are accepted", () -> loop.submit(intake::openConnections).syncUninterruptibly().getNow() == 3);
        CountDownLatch written = new CountDownLatch(1);
        keepBusy(loop, written);
        for (int i = 0; i < 3; i++) {
            submit(sockets.get(i), ids[i]);
        }
        written.countDown();
        for (Socket socket : sockets) {
            assertEquals(line, Stub.read(new BufferedInputStream(socket.getInputStream()), 0).line());
        }
        // The loop goes on behind the answer that was read last.
        loop.submit(() -> { }).syncUninterruptibly();
        return List.copyOf(desk.steps);
    }

    @Test
    void whatComesTogetherIsWrittenTogetherAndToldAfterThat() throws Exception {
        assertEquals(List.of("taken", "taken", "taken", "written", "told", "told", "told"),
                handInAtOnce(new TakingDesk(true), "HTTP/1.1 202 Accepted"));
    }

    @Test
    void whatCannotBeWrittenIsRefused() throws Exception {
        assertEquals(List.of("taken", "taken", "taken", "written", "not told", "not told", "not told"),
                handInAtOnce(new TakingDesk(false), "HTTP/1.1 503 Service Unavailable"));
    }

    /** Else the second would be told that it is held, though the first could not be written. */
    @Test
    void whatIsKnownOfAnIdIsAskedWhenItsFirstOneIsWritten() throws Exception {
        TakingDesk desk = new TakingDesk(false) {
            @Override
            public Optional<DuplicateState> checkDuplicate(String id, AnswerRecipient claim) {
                super.steps.add("asked");
                return Optional.empty();
            }
        };
        assertEquals(List.of("asked", "taken", "written", "not told", "asked", "taken", "written", "not told", "asked",
                "taken", "written", "not told"),
                handInAtOnce(desk, "HTTP/1.1 503 Service Unavailable", "same", "same", "same"));
    }

    @Test
    void answersKeepTheOrderOfAConnectionsRequests() throws Exception {
        EventLoop loop = group.next();
        TakingDesk desk = new TakingDesk(true);
        HttpFrontend intake = new HttpFrontend(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MOST, desk);
        InetSocketAddress address = intake.listen();
        Socket socket = new Socket(address.getAddress(), address.getPort());
        sockets.add(socket);
        Stub.write(socket, "POST /order HTTP/1.1\r\nHost: x\r\nX-Call-Id: a\r\nX-Budget-Ms: 9000\r\n"
                + "X-Envelope: dest=7\r\nContent-Length: 0\r\n\r\nGET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        assertEquals("HTTP/1.1 202 Accepted", Stub.read(in, 0).line());
        assertEquals("HTTP/1.1 200 OK", Stub.read(in, 0).line());
    }

    /** Returns when the loop is busy, so that what comes from here on is read in one round. */
    private static void keepBusy(EventLoop loop, CountDownLatch until) throws InterruptedException {
        CountDownLatch busy = new CountDownLatch(1);
        loop.execute(() -> {
            try {
                busy.countDown();
                until.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        busy.await();
    }

    /** Found in incident r0b62c9: hundreds that connected in one turn all made room by the same one. */
    @Test
    void aCrowdThatConnectsAtOnceStaysWithinTheBound() throws Exception {
        EventLoop loop = group.next();
        HttpFrontend intake = new HttpFrontend(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MOST, new NoDesk());
        InetSocketAddress address = intake.listen();
        CountDownLatch connected = new CountDownLatch(1);
        keepBusy(loop, connected);
        for (int i = 0; i < 200; i++) {
            sockets.add(new Socket(address.getAddress(), address.getPort()));
        }
        connected.countDown();
        Socket last = sockets.get(199);
        Stub.write(last, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
        assertEquals("HTTP/1.1 200 OK", Stub.read(new BufferedInputStream(last.getInputStream()), 0).line());
        int clients = loop.submit(intake::openConnections).get();
        assertTrue(clients <= MOST, "connections: " + clients);
    }

    /**
     * Found in incident r0b62c9: while one sender was away, hundreds a second that only asked for health pushed
     * out the connections of those who hand in messages.
     */
    @Test
    void visitorsMakeRoomBeforeThoseWhoHandInMessages() throws Exception {
        NotingDesk desk = new NotingDesk();
        HttpFrontend intake = new HttpFrontend(group.next(), new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MOST, desk);
        InetSocketAddress address = intake.listen();
        Socket customer = new Socket(address.getAddress(), address.getPort());
        sockets.add(customer);
        submit(customer, "first");
        BufferedInputStream in = new BufferedInputStream(customer.getInputStream());
        assertEquals("HTTP/1.1 503 Service Unavailable", Stub.read(in, 0).line());
        for (int i = 0; i < 5 * MOST; i++) {
            Socket visitor = new Socket(address.getAddress(), address.getPort());
            sockets.add(visitor);
            Stub.write(visitor, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
            assertEquals("HTTP/1.1 200 OK", Stub.read(new BufferedInputStream(visitor.getInputStream()), 0).line());
        }
        submit(customer, "second");
        assertEquals("HTTP/1.1 503 Service Unavailable", Stub.read(in, 0).line());
        assertEquals(List.of("first", "second"), desk.asked);
    }

    /** Found in incident r0b62c9: with all connections kept by those who ask once, nobody could hand in more. */
    @Test
    void ofThoseThatAskOnceTheLongestIdleIsClosed() throws Exception {
        EventLoop loop = group.next();
        NotingDesk desk = new NotingDesk();
        HttpFrontend intake = new HttpFrontend(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MOST, desk);
        InetSocketAddress address = intake.listen();
        for (int i = 0; i < 3 * MOST; i++) {
            Socket once = new Socket(address.getAddress(), address.getPort());
            sockets.add(once);
            submit(once, "id-" + i);
            assertEquals("HTTP/1.1 503 Service Unavailable",
                    Stub.read(new BufferedInputStream(once.getInputStream()), 0).line());
        }
        assertEquals(-1, sockets.get(0).getInputStream().read(), "the first stood longest");
        int clients = loop.submit(intake::openConnections).get();
        assertTrue(clients <= MOST / 2, "connections: " + clients);
        submit(sockets.get(3 * MOST - 1), "again");
        assertEquals("HTTP/1.1 503 Service Unavailable",
                Stub.read(new BufferedInputStream(sockets.get(3 * MOST - 1).getInputStream()), 0).line());
    }
}
