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
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import slipfield.core.AnswerPolling;
import slipfield.core.MessageIntake;
import slipfield.journal.AnswerRecipient;
import slipfield.journal.PendingMessage;
import slipfield.log.FatalErrors;
import slipfield.memory.MemoryBudget;
import slipfield.memory.MemoryGuard;
import slipfield.standin.Stub;

/** The HTTP frontend without a sender: the limit on client connections, and the order of journal writes and answers. */
class HttpFrontendTest {
    private static final int MAX_CLIENTS = 10;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<Socket> sockets = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    /** Is ready, but knows no class, tenant or destination. */
    private static class EmptyIntake implements MessageIntake {
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
        public boolean safeToRepeat(String messageClass) {
            return false;
        }

        @Override
        public boolean knowsDestination(long destination) {
            return false;
        }

        @Override
        public Optional<DuplicateState> checkDuplicate(String id, AnswerRecipient recipient) {
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
        public void acceptanceReported(PendingMessage message, boolean received) {
        }
    }

    /** Knows every class, tenant and destination, refuses all messages and records their ids. */
    private static class RecordingIntake extends EmptyIntake {
        private final List<String> submittedIds = new CopyOnWriteArrayList<>();

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
            submittedIds.add(submission.id());
            return super.submit(submission);
        }
    }

    private static void submit(Socket socket, String id) throws Exception {
        Stub.write(socket, "POST /order HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Budget-Ms: 9000\r\n"
                + "X-Envelope: dest=7\r\nContent-Length: 2\r\n\r\nhi");
    }

    /** Found on a reload day: short of CPU, the sender mostly processed requests of clients that had already disconnected. */
    @Test
    void requestsOfDisconnectedClientsAreDropped() throws Exception {
        EventLoop loop = group.next();
        RecordingIntake intake = new RecordingIntake();
        HttpFrontend frontend = new HttpFrontend(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MAX_CLIENTS,
                intake);
        InetSocketAddress address = frontend.listen();
        CountDownLatch written = new CountDownLatch(1);
        blockLoop(loop, written);
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
        assertEquals(List.of("id-4"), intake.submittedIds);
    }

    /** Guards against orders that are sent on although their client closed its connection with most of them unread. */
    @Test
    void whatIsUnreadWhenItsClientLeavesIsNotSubmitted() throws Exception {
        int orders = 300;
        EventLoop loop = group.next();
        RecordingIntake intake = new RecordingIntake();
        HttpFrontend frontend = new HttpFrontend(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MAX_CLIENTS,
                intake);
        InetSocketAddress address = frontend.listen();
        Socket socket = new Socket(address.getAddress(), address.getPort());
        sockets.add(socket);
        Stub.write(socket, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
        assertEquals("HTTP/1.1 200 OK", Stub.read(new BufferedInputStream(socket.getInputStream()), 0).line());
        CountDownLatch left = new CountDownLatch(1);
        blockLoop(loop, left);
        for (int i = 0; i < orders; i++) {
            submit(socket, "id-" + i);
        }
        socket.close();
        left.countDown();
        Stub.await("it is closed", () -> loop.submit(frontend::openConnections).syncUninterruptibly().getNow() == 0);
        assertTrue(intake.submittedIds.size() <= HttpFrontend.WORK_PER_ITERATION / ClientConnection.WORK_PER_REQUEST,
                intake.submittedIds.toString());
    }

    /** Found by a review: the data of clients that sent hundreds of requests at once was read until the heap was full. */
    @Test
    void clientsAreReadNoFasterThanTheirRequestsAreProcessed() throws Exception {
        int clients = 40;
        int requestsEach = 30;
        int maxUnreadBytes = 100_000;
        AtomicLong mostUnread = new AtomicLong();
        AtomicReference<HttpFrontend> frontend = new AtomicReference<>();
        EventLoop loop = group.next();
        frontend.set(new HttpFrontend(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), clients,
                new EmptyIntake() {
                    @Override
                    public boolean knowsClass(String name) {
                        mostUnread.accumulateAndGet(frontend.get().unreadBytes(), Math::max);
                        return false;
                    }
                }, HttpFrontend.Extensions.NONE, MemoryGuard.ofHeap(), maxUnreadBytes));
        InetSocketAddress address = frontend.get().listen();
        byte[] requests = ("POST /nosuch HTTP/1.1\r\nHost: x\r\nContent-Length: 50000\r\n\r\n" + "x".repeat(50_000)).repeat(requestsEach)
                .getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < clients; i++) {
            Socket socket = new Socket(address.getAddress(), address.getPort());
            sockets.add(socket);
            Thread sending = new Thread(() -> {
                try {
                    socket.getOutputStream().write(requests);
                } catch (IOException e) {
                    // The answers that are missing then are noticed below.
                }
            });
            sending.setDaemon(true);
            sending.start();
        }
        for (Socket socket : sockets) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (int i = 0; i < requestsEach; i++) {
                assertEquals("HTTP/1.1 404 Not Found", Stub.read(in, 0).line());
            }
        }
        assertTrue(mostUnread.get() > 0);
        assertTrue(mostUnread.get() <= maxUnreadBytes + clients * HttpFrontend.MAX_READ_BYTES, mostUnread.toString());
    }

    /** Guards against a read of hundreds of small requests that is processed in one piece: others waited for over a second. */
    @Test
    void oneReadOfManySmallRequestsHoldsUpNoOtherConnection() throws Exception {
        int smallRequests = 900;
        EventLoop loop = group.next();
        AtomicLong processed = new AtomicLong();
        AtomicLong processedBefore = new AtomicLong();
        HttpFrontend frontend = new HttpFrontend(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MAX_CLIENTS,
                new EmptyIntake() {
                    @Override
                    public boolean knowsClass(String name) {
                        if (name.equals("usual")) {
                            processedBefore.set(processed.get());
                        }
                        processed.incrementAndGet();
                        return false;
                    }
                });
        InetSocketAddress address = frontend.listen();
        List<BufferedInputStream> answers = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            sockets.add(new Socket(address.getAddress(), address.getPort()));
            Stub.write(sockets.get(i), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
            answers.add(new BufferedInputStream(sockets.get(i).getInputStream()));
            assertEquals("HTTP/1.1 200 OK", Stub.read(answers.get(i), 0).line());
        }
        CountDownLatch written = new CountDownLatch(1);
        blockLoop(loop, written);
        Stub.write(sockets.get(0), "GET / HTTP/1.1\r\n\r\n".repeat(smallRequests));
        Stub.write(sockets.get(1), "GET /usual HTTP/1.1\r\nHost: x\r\n\r\n");
        written.countDown();
        assertEquals("HTTP/1.1 404 Not Found", Stub.read(answers.get(1), 0).line());
        for (int i = 0; i < smallRequests; i++) {
            assertEquals("HTTP/1.1 404 Not Found", Stub.read(answers.get(0), 0).line());
        }
        assertTrue(processedBefore.get() <= ClientConnection.REQUESTS_PER_TURN, processedBefore.toString());
    }

    /** Guards against a read of hundreds of tiny chunks that is processed in one piece: usual clients had no answer in time. */
    @Test
    void oneReadOfManyTinyChunksHoldsUpNoOtherConnection() throws Exception {
        EventLoop loop = group.next();
        List<String> processed = new CopyOnWriteArrayList<>();
        HttpFrontend frontend = new HttpFrontend(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MAX_CLIENTS,
                new EmptyIntake() {
                    @Override
                    public boolean knowsClass(String name) {
                        processed.add(name);
                        return false;
                    }
                });
        InetSocketAddress address = frontend.listen();
        List<BufferedInputStream> answers = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            sockets.add(new Socket(address.getAddress(), address.getPort()));
            Stub.write(sockets.get(i), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
            answers.add(new BufferedInputStream(sockets.get(i).getInputStream()));
            assertEquals("HTTP/1.1 200 OK", Stub.read(answers.get(i), 0).line());
        }
        CountDownLatch written = new CountDownLatch(1);
        blockLoop(loop, written);
        Stub.write(sockets.get(0), "POST /chunks HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(300)
                + "0\r\n\r\n");
        Stub.write(sockets.get(1), "GET /usual HTTP/1.1\r\nHost: x\r\n\r\n");
        written.countDown();
        for (BufferedInputStream answer : answers) {
            assertEquals("HTTP/1.1 404 Not Found", Stub.read(answer, 0).line());
        }
        assertEquals(List.of("usual", "chunks"), processed);
    }

    /** Guards against heads and trailers of thousands of short fields: 300 of 8 KB each ended the process. */
    @Test
    void aRequestOfThousandsOfTinyFieldsIsRefusedAtOnce() throws Exception {
        HttpFrontend frontend = new HttpFrontend(group.next(), new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MAX_CLIENTS,
                new EmptyIntake());
        InetSocketAddress address = frontend.listen();
        String fields = "a:\r\n".repeat(1000);
        for (String request : List.of("POST /order HTTP/1.1\r\n" + fields,
                "POST /order HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + fields)) {
            Socket socket = new Socket(address.getAddress(), address.getPort());
            sockets.add(socket);
            Stub.write(socket, request);
            assertEquals("HTTP/1.1 431 Request Header Fields Too Large",
                    Stub.read(new BufferedInputStream(socket.getInputStream()), 0).line());
        }
    }

    /** Guards against answers in another order than their requests, by which a client takes one for another. */
    @Test
    void aRequestBehindAPollInTheSameReadIsAnsweredAfterIt() throws Exception {
        AtomicReference<Consumer<String>> poll = new AtomicReference<>();
        HttpFrontend frontend = new HttpFrontend(group.next(), new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MAX_CLIENTS,
                new EmptyIntake(), new HttpFrontend.Extensions(-1, false, Optional.of(new PollRecorder(poll))), MemoryGuard.ofHeap());
        InetSocketAddress address = frontend.listen();
        sockets.add(new Socket(address.getAddress(), address.getPort()));
        Stub.write(sockets.get(0), "GET /ends?client=a&after=&wait_ms=9000 HTTP/1.1\r\nHost: x\r\n\r\n"
                + "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
        Stub.await("the poll has come", () -> poll.get() != null);
        group.next().submit(() -> poll.get().accept("answers")).sync();
        BufferedInputStream in = new BufferedInputStream(sockets.get(0).getInputStream());
        assertEquals("answers", Stub.read(in, 0).body());
        assertEquals("HTTP/1.1 200 OK", Stub.read(in, 0).line());
    }

    /** Guards against a client that only follows its final answers, and counts as one that asks much and submits nothing. */
    @Test
    void aClientThatPollsMakesNoRoomForANewOne() throws Exception {
        EventLoop loop = group.next();
        AtomicReference<Consumer<String>> poll = new AtomicReference<>();
        HttpFrontend frontend = new HttpFrontend(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1,
                new EmptyIntake(), new HttpFrontend.Extensions(-1, false, Optional.of(new PollRecorder(poll))), MemoryGuard.ofHeap());
        InetSocketAddress address = frontend.listen();
        Socket polling = new Socket(address.getAddress(), address.getPort());
        sockets.add(polling);
        BufferedInputStream in = new BufferedInputStream(polling.getInputStream());
        for (int i = 0; i < 10; i++) {
            poll.set(null);
            Stub.write(polling, "GET /ends?client=a&after=&wait_ms=9000 HTTP/1.1\r\nHost: x\r\n\r\n");
            Stub.await("the poll has come", () -> poll.get() != null);
            if (i == 9) {
                Socket other = new Socket(address.getAddress(), address.getPort());
                sockets.add(other);
                assertEquals(-1, other.getInputStream().read(), "the new connection is closed");
            }
            loop.submit(() -> poll.get().accept("answers")).sync();
            assertEquals("HTTP/1.1 200 OK", Stub.read(in, 0).line());
        }
    }

    private record PollRecorder(AtomicReference<Consumer<String>> last) implements AnswerPolling {
        @Override
        public AnswerRecipient recipient(String peer) {
            return AnswerRecipient.PLATFORM;
        }

        @Override
        public Poll poll(String peer, String after, long waitMs, Consumer<String> then) {
            last.set(then);
            return () -> { };
        }

        @Override
        public void release() {
        }
    }

    /** Its requests are not processed meanwhile, and must not keep it connected as those of a late sender do. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aClientThatDoesNotReadItsAnswersIsClosed() throws Exception {
        EventLoop loop = group.next();
        HttpFrontend frontend = new HttpFrontend(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MAX_CLIENTS,
                new EmptyIntake());
        InetSocketAddress address = frontend.listen();
        Socket socket = new Socket(address.getAddress(), address.getPort());
        sockets.add(socket);
        byte[] requests = "GET / HTTP/1.1\r\n\r\n".repeat(10_000).getBytes(StandardCharsets.US_ASCII);
        assertThrows(IOException.class, () -> {
            while (true) {
                socket.getOutputStream().write(requests);
            }
        });
        Stub.await("it is closed", () -> loop.submit(frontend::openConnections).syncUninterruptibly().getNow() == 0);
    }

    /** Several hundred clients that send all but the end of a largest request filled all but the last 2 MB of the heap. */
    @Test
    void beyondALimitTheOldestIncompleteRequestsAreRefused() throws Exception {
        RecordingIntake intake = new RecordingIntake();
        EventLoop loop = group.next();
        MemoryBudget budget = new MemoryBudget(100_000 + 3 * ClientConnection.BYTES_PER_CONNECTION);
        HttpFrontend frontend = new HttpFrontend(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MAX_CLIENTS,
                intake, HttpFrontend.Extensions.NONE, new MemoryGuard(budget));
        InetSocketAddress address = frontend.listen();
        for (int i = 0; i < 3; i++) {
            sockets.add(new Socket(address.getAddress(), address.getPort()));
            Stub.write(sockets.get(i), "POST /order HTTP/1.1\r\nHost: x\r\nX-Call-Id: id-" + i + "\r\nX-Budget-Ms: 9000\r\n"
                    + "X-Envelope: dest=7\r\nContent-Length: 45000\r\n\r\n" + "x".repeat(44_999));
            long received = Math.min(2, i + 1) * 44_999;
            Stub.await("this part has come", () ->
                    loop.submit(budget::usedBytes).syncUninterruptibly().getNow() >= received);
        }
        Stub.Message refusal = Stub.read(new BufferedInputStream(sockets.get(0).getInputStream()), 0);
        assertEquals("HTTP/1.1 503 Service Unavailable", refusal.line());
        assertEquals("too many requests are incomplete", refusal.body());
        for (int i = 1; i < 3; i++) {
            Stub.write(sockets.get(i), "x");
            assertEquals("no room", Stub.read(new BufferedInputStream(sockets.get(i).getInputStream()), 0).body());
        }
        assertEquals(List.of("id-1", "id-2"), intake.submittedIds);
    }

    /** Guards against a client that takes a second answer for that of its next request. */
    @Test
    void anIncompleteRequestThatWasAnsweredGetsNoSecondAnswer() throws Exception {
        EventLoop loop = group.next();
        HttpFrontend frontend = new HttpFrontend(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MAX_CLIENTS,
                new RecordingIntake(), HttpFrontend.Extensions.NONE, new MemoryGuard(
                        new MemoryBudget(50_000 + 2 * ClientConnection.BYTES_PER_CONNECTION)));
        InetSocketAddress address = frontend.listen();
        String incomplete = "POST /order HTTP/1.1\r\nHost: x\r\nContent-Length: 45000\r\n\r\n" + "x".repeat(44_999);
        sockets.add(new Socket(address.getAddress(), address.getPort()));
        Stub.write(sockets.get(0), incomplete);
        BufferedInputStream in = new BufferedInputStream(sockets.get(0).getInputStream());
        assertEquals("HTTP/1.1 408 Request Timeout", Stub.read(in, 0).line());
        sockets.add(new Socket(address.getAddress(), address.getPort()));
        Stub.write(sockets.get(1), incomplete);
        assertEquals("", new String(in.readAllBytes(), StandardCharsets.US_ASCII));
    }

    /** Guards against a second answer to an incomplete request that was answered and then has to make room. */
    @Test
    void anIncompleteRequestThatWasAnsweredGetsNoSecondAnswerWhenItIsEvicted() throws Exception {
        HttpFrontend frontend = new HttpFrontend(group.next(), new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1,
                new EmptyIntake());
        InetSocketAddress address = frontend.listen();
        sockets.add(new Socket(address.getAddress(), address.getPort()));
        Stub.write(sockets.get(0), "POST /order HTTP/1.1\r\nHost: x\r\n" + "a: b\r\n".repeat(50));
        BufferedInputStream in = new BufferedInputStream(sockets.get(0).getInputStream());
        assertEquals("HTTP/1.1 408 Request Timeout", Stub.read(in, 0).line());
        sockets.add(new Socket(address.getAddress(), address.getPort()));
        assertEquals("", new String(in.readAllBytes(), StandardCharsets.US_ASCII));
    }

    /** Guards against a process that stays after a request whose processing met an error such as a lack of memory. */
    @Test
    void anErrorInTheProcessingOfARequestEndsTheProcess() throws Exception {
        CountDownLatch terminated = new CountDownLatch(1);
        FatalErrors.terminateBy(terminated::countDown);
        try {
            HttpFrontend frontend = new HttpFrontend(group.next(), new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    MAX_CLIENTS, new EmptyIntake() {
                        @Override
                        public boolean knowsClass(String name) {
                            throw new OutOfMemoryError("forced");
                        }
                    });
            InetSocketAddress address = frontend.listen();
            sockets.add(new Socket(address.getAddress(), address.getPort()));
            submit(sockets.get(0), "id-0");
            assertTrue(terminated.await(10, TimeUnit.SECONDS));
        } finally {
            FatalErrors.terminateBy(() -> { });
        }
    }

    /** Found on reload days: an orderly shutdown reset connections that a late event loop had not accepted yet. */
    @Test
    void whoHasConnectedBeforeTheListenerClosesIsAnswered() throws Exception {
        EventLoop loop = group.next();
        RecordingIntake intake = new RecordingIntake();
        HttpFrontend frontend = new HttpFrontend(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MAX_CLIENTS,
                intake);
        InetSocketAddress address = frontend.listen();
        CountDownLatch written = new CountDownLatch(1);
        loop.execute(() -> {
            try {
                written.await();
                frontend.close();
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
        assertEquals(5, intake.submittedIds.size());
        assertThrows(ConnectException.class, () -> new Socket(address.getAddress(), address.getPort()));
    }

    /** Accepts all messages and records the steps. {@code writable} tells whether the journal can be written. */
    private static class AcceptingIntake extends RecordingIntake {
        private final boolean writable;
        private final List<String> steps = new CopyOnWriteArrayList<>();

        AcceptingIntake(boolean writable) {
            this.writable = writable;
        }

        @Override
        public SubmissionResult submit(Submission s) {
            steps.add("accepted");
            return SubmissionResult.accepted(
                    new PendingMessage(steps.size(), s.id(), s.messageClass(), "", s.key(), 7, 0, s.body()));
        }

        @Override
        public boolean writeAccepted() {
            steps.add("written");
            return writable;
        }

        @Override
        public void acceptanceReported(PendingMessage message, boolean received) {
            steps.add(received ? "reported" : "not reported");
        }
    }

    private List<String> submitTogether(AcceptingIntake intake, String statusLine) throws Exception {
        return submitTogether(intake, statusLine, "id-0", "id-1", "id-2");
    }

    private List<String> submitTogether(AcceptingIntake intake, String statusLine, String... ids) throws Exception {
        EventLoop loop = group.next();
        HttpFrontend frontend = new HttpFrontend(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MAX_CLIENTS,
                intake);
        InetSocketAddress address = frontend.listen();
        for (int i = 0; i < 3; i++) {
            sockets.add(new Socket(address.getAddress(), address.getPort()));
        }
        Stub.await("all are accepted", () -> loop.submit(frontend::openConnections).syncUninterruptibly().getNow() == 3);
        CountDownLatch written = new CountDownLatch(1);
        blockLoop(loop, written);
        for (int i = 0; i < 3; i++) {
            submit(sockets.get(i), ids[i]);
        }
        written.countDown();
        for (Socket socket : sockets) {
            assertEquals(statusLine, Stub.read(new BufferedInputStream(socket.getInputStream()), 0).line());
        }
        // The event loop may still be working after the last answer was read.
        loop.submit(() -> { }).syncUninterruptibly();
        return List.copyOf(intake.steps);
    }

    @Test
    void messagesOfOneIterationAreWrittenTogetherBeforeTheyAreAnswered() throws Exception {
        assertEquals(List.of("accepted", "accepted", "accepted", "written", "reported", "reported", "reported"),
                submitTogether(new AcceptingIntake(true), "HTTP/1.1 202 Accepted"));
    }

    @Test
    void messagesThatCannotBeWrittenAreRefused() throws Exception {
        assertEquals(List.of("accepted", "accepted", "accepted", "written", "not reported", "not reported", "not reported"),
                submitTogether(new AcceptingIntake(false), "HTTP/1.1 503 Service Unavailable"));
    }

    /** Otherwise the second submission of an id could be answered as pending although the first one could not be written. */
    @Test
    void duplicatesAreCheckedAfterThePendingWriteOfTheSameId() throws Exception {
        AcceptingIntake intake = new AcceptingIntake(false) {
            @Override
            public Optional<DuplicateState> checkDuplicate(String id, AnswerRecipient recipient) {
                super.steps.add("checked");
                return Optional.empty();
            }
        };
        assertEquals(List.of("checked", "accepted", "written", "not reported", "checked", "accepted", "written", "not reported",
                "checked", "accepted", "written", "not reported"),
                submitTogether(intake, "HTTP/1.1 503 Service Unavailable", "same", "same", "same"));
    }

    @Test
    void answersKeepTheOrderOfTheRequestsOnAConnection() throws Exception {
        EventLoop loop = group.next();
        AcceptingIntake intake = new AcceptingIntake(true);
        HttpFrontend frontend = new HttpFrontend(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MAX_CLIENTS,
                intake);
        InetSocketAddress address = frontend.listen();
        Socket socket = new Socket(address.getAddress(), address.getPort());
        sockets.add(socket);
        Stub.write(socket, "POST /order HTTP/1.1\r\nHost: x\r\nX-Call-Id: a\r\nX-Budget-Ms: 9000\r\n"
                + "X-Envelope: dest=7\r\nContent-Length: 0\r\n\r\nGET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        assertEquals("HTTP/1.1 202 Accepted", Stub.read(in, 0).line());
        assertEquals("HTTP/1.1 200 OK", Stub.read(in, 0).line());
    }

    /** Blocks the event loop until the latch is released, so that all data that arrives meanwhile is read in one iteration. */
    private static void blockLoop(EventLoop loop, CountDownLatch until) throws InterruptedException {
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

    /** Incident r0b62c9: hundreds of connections in one event-loop iteration all selected the same connection for eviction. */
    @Test
    void manySimultaneousConnectionsStayWithinTheLimit() throws Exception {
        EventLoop loop = group.next();
        HttpFrontend frontend = new HttpFrontend(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MAX_CLIENTS,
                new EmptyIntake());
        InetSocketAddress address = frontend.listen();
        CountDownLatch connected = new CountDownLatch(1);
        blockLoop(loop, connected);
        for (int i = 0; i < 200; i++) {
            sockets.add(new Socket(address.getAddress(), address.getPort()));
        }
        connected.countDown();
        Socket last = sockets.get(199);
        Stub.write(last, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
        assertEquals("HTTP/1.1 200 OK", Stub.read(new BufferedInputStream(last.getInputStream()), 0).line());
        int clients = loop.submit(frontend::openConnections).get();
        assertTrue(clients <= MAX_CLIENTS, "connections: " + clients);
    }

    /**
     * Incident r0b62c9: while one sender was unavailable, hundreds of health checks per second evicted the connections of clients
     * that submit messages.
     */
    @Test
    void connectionsForHealthChecksAreEvictedBeforeThoseOfSubmitters() throws Exception {
        RecordingIntake intake = new RecordingIntake();
        HttpFrontend frontend = new HttpFrontend(group.next(), new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                MAX_CLIENTS, intake);
        InetSocketAddress address = frontend.listen();
        Socket submitter = new Socket(address.getAddress(), address.getPort());
        sockets.add(submitter);
        submit(submitter, "first");
        BufferedInputStream in = new BufferedInputStream(submitter.getInputStream());
        assertEquals("HTTP/1.1 503 Service Unavailable", Stub.read(in, 0).line());
        for (int i = 0; i < 5 * MAX_CLIENTS; i++) {
            Socket healthCheck = new Socket(address.getAddress(), address.getPort());
            sockets.add(healthCheck);
            Stub.write(healthCheck, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
            assertEquals("HTTP/1.1 200 OK", Stub.read(new BufferedInputStream(healthCheck.getInputStream()), 0).line());
        }
        submit(submitter, "second");
        assertEquals("HTTP/1.1 503 Service Unavailable", Stub.read(in, 0).line());
        assertEquals(List.of("first", "second"), intake.submittedIds);
    }

    /** Incident r0b62c9: clients that sent one request and kept their connection left no connections for other submissions. */
    @Test
    void theLongestIdleConnectionIsClosedWhenTooManyAreIdle() throws Exception {
        EventLoop loop = group.next();
        RecordingIntake intake = new RecordingIntake();
        HttpFrontend frontend = new HttpFrontend(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MAX_CLIENTS,
                intake);
        InetSocketAddress address = frontend.listen();
        for (int i = 0; i < 3 * MAX_CLIENTS; i++) {
            Socket client = new Socket(address.getAddress(), address.getPort());
            sockets.add(client);
            submit(client, "id-" + i);
            assertEquals("HTTP/1.1 503 Service Unavailable",
                    Stub.read(new BufferedInputStream(client.getInputStream()), 0).line());
        }
        assertEquals(-1, sockets.get(0).getInputStream().read(), "the first one has been idle longest");
        int clients = loop.submit(frontend::openConnections).get();
        assertTrue(clients <= MAX_CLIENTS / 2, "connections: " + clients);
        submit(sockets.get(3 * MAX_CLIENTS - 1), "again");
        assertEquals("HTTP/1.1 503 Service Unavailable",
                Stub.read(new BufferedInputStream(sockets.get(3 * MAX_CLIENTS - 1).getInputStream()), 0).line());
    }
}
