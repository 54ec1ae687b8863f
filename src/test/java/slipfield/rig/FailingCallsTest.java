package slipfield.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import slipfield.amqp.Secret;
import slipfield.rig.FailingCalls.Call;
import slipfield.rig.FailingCalls.Errno;
import slipfield.standin.Ledger;
import slipfield.standin.SenderProcess;
import slipfield.standin.TrialWorld;
import slipfield.standin.Venue;

/** A real sender whose system calls fail for a while: it owes and keeps what it does without. */
@Timeout(120)
class FailingCallsTest {
    /** What a client waits for its answer, by the protocol. */
    private static final int CLIENT_PATIENCE_MS = 400;
    /** How late an end may come, by the protocol. */
    private static final long LATE_MS = 300;
    private static final long GIVE_UP_MS = 3000;
    private static final long[] STEPS_MS = {5000, -5000, 3_600_000, -3_600_000};
    private static final long ENDS_MS = 15_000;
    private static final TrialWorld.Size SIZE = new TrialWorld.Size(1, 1000, 5000, GIVE_UP_MS, 400, 24);

    /** The same with orders that outlast a restart on a busy machine. */
    private static final TrialWorld.Size PATIENT = new TrialWorld.Size(1, 1000, 5000, 20_000, 400, 24);

    @TempDir
    private static Path shared;
    private static Path library;
    @TempDir
    private Path folder;
    private TrialWorld world;
    private FailingCalls calls;
    private SenderProcess sender;

    @BeforeAll
    static void build() throws Exception {
        assumeTrue(FailingCalls.canCompile(), "no C compiler: failing calls are not tested");
        library = FailingCalls.compile(shared);
    }

    @BeforeEach
    void begin() throws IOException {
        begin(SIZE);
    }

    private void begin(TrialWorld.Size size) throws IOException {
        world = new TrialWorld(folder, size, Optional.empty());
        calls = new FailingCalls(library, folder.resolve("calls"), folder.resolve("state"));
        sender = new SenderProcess(folder, calls.wrapper(), SenderProcess.SMALL);
    }

    @AfterEach
    void end() {
        if (sender != null) {
            sender.close();
            world.close();
        }
    }

    private static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "not seen: " + what);
            Thread.sleep(1);
        }
    }

    private Ledger.Account accountAfterAll() throws InterruptedException {
        world.desks().stop();
        world.awaitEnds(ENDS_MS);
        return world.ledger().account();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), world.sender().getPort());
        socket.setSoTimeout(CLIENT_PATIENCE_MS);
        return socket;
    }

    /** Asks for health; returns the first line of the answer, which has no body. */
    private static String health(Socket socket) throws IOException {
        socket.getOutputStream().write("GET /healthz HTTP/1.1\r\nHost: sender\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        StringBuilder answer = new StringBuilder();
        while (answer.indexOf("\r\n\r\n") < 0) {
            answer.append((char) socket.getInputStream().readNBytes(1)[0]);
        }
        return answer.substring(0, answer.indexOf("\r\n"));
    }

    @Test
    void noticesAreSentAfterTheirConnectionCouldNotBeOpened() throws Exception {
        sender.start();
        calls.fail(Call.SOCKET, Errno.ENFILE, 1);
        world.desks().atRate(20);
        await("an end that can't be told", () -> world.ledger().overdue() > 0);
        calls.heal();
        Ledger.Account account = accountAfterAll();
        assertTrue(account.taken() > 0 && account.holds(), account.toString());
    }

    @Test
    void aStartIsNotRefusedWhileSocketsFail() throws Exception {
        calls.fail(Call.SOCKET, Errno.ENFILE, 1);
        CompletableFuture<Void> started = CompletableFuture.runAsync(this::start);
        await("sockets that fail", () -> calls.struck(Call.SOCKET) > 20 || started.isDone());
        calls.heal();
        started.get();
    }

    @Test
    void aStartIsNotRefusedWhileTheDiskFails() throws Exception {
        sender.start();
        sender.kill();
        for (Call call : new Call[] {Call.FILE_OPEN, Call.FILE_READ, Call.FILE_WRITE, Call.FILE_TRUNCATE}) {
            int before = calls.struck(call);
            calls.fail(call, Errno.EIO, 1);
            CompletableFuture<Void> started = CompletableFuture.runAsync(this::start);
            await(call + " that fails", () -> calls.struck(call) > before + 1 || started.isDone());
            calls.heal();
            started.get();
            sender.kill();
        }
    }

    private void start() {
        try {
            sender.start();
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void whoConnectsWhileAcceptFailsIsAnsweredInTime() throws Exception {
        sender.start();
        calls.fail(Call.ACCEPT, Errno.ENFILE, 1);
        try (Socket socket = connect()) {
            await("an accept that fails", () -> calls.struck(Call.ACCEPT) > 0);
            calls.heal();
            assertEquals("HTTP/1.1 200 OK", health(socket));
        }
    }

    @Test
    void connectionsThatAreAbortedBeforeTheirAcceptHoldUpNobodyElse() throws Exception {
        sender.start();
        try (Socket before = connect()) {
            assertEquals("HTTP/1.1 200 OK", health(before));
            calls.fail(Call.ACCEPT, Errno.ECONNABORTED, 1);
            try (Socket next = connect()) {
                await("an accept that fails", () -> calls.struck(Call.ACCEPT) > 0);
                assertEquals("HTTP/1.1 200 OK", health(before));
                calls.heal();
                assertEquals("HTTP/1.1 200 OK", health(next));
            }
        }
    }

    /** Guards against a sender that is held up by connections to its AMQP listener that were aborted before their accept. */
    @Test
    void aBrokerListenerWhoseAcceptIsAbortedHoldsUpNobodyElse() throws Exception {
        InetSocketAddress amqp = TrialWorld.freeAddress();
        Files.writeString(folder.resolve("amqp.yaml"), "listen: 127.0.0.1:" + amqp.getPort() + "\nusers: [{name: desk, secret: \""
                + Secret.of("secret of tests", 1) + "\", tenant: desk, publish: [orders]}]\n"
                + "exchanges: [{name: orders, routes: [{key: order.*, class: order, destination_word: 2}]}]\n");
        sender.start();
        try (Socket before = connect()) {
            assertEquals("HTTP/1.1 200 OK", health(before));
            calls.fail(Call.ACCEPT, Errno.ECONNABORTED, 1);
            try (Socket broker = new Socket(amqp.getAddress(), amqp.getPort())) {
                await("an accept that fails", () -> calls.struck(Call.ACCEPT) > 0);
                assertEquals("HTTP/1.1 200 OK", health(before));
            }
        }
    }

    /** Guards against an open connection whose peer is gone or unreachable: a call ends as one that may have run, and once. */
    @ParameterizedTest
    @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH"})
    void openConnectionsThatTimeOutOrLoseTheirRouteLoseNoOrder(Errno error) throws Exception {
        sender.start();
        world.desks().atRate(50);
        await("deliveries", () -> world.ledger().deliveredSoFar() > 20);
        for (Call call : new Call[] {Call.SOCKET_WRITE, Call.SOCKET_READ}) {
            int struck = calls.struck(call);
            calls.fail(call, error, 0.2);
            await(call + " that fails", () -> calls.struck(call) > struck + 30);
            calls.heal();
            long delivered = world.ledger().deliveredSoFar();
            await("deliveries since", () -> world.ledger().deliveredSoFar() > delivered + 20);
        }
        Ledger.Account account = accountAfterAll();
        assertTrue(account.holds(), account.toString());
        assertTrue(world.ledger().latestMs() <= LATE_MS, "an end came " + world.ledger().latestMs() + " ms after its time");
    }

    @Test
    void aReadThatIsInterruptedClosesNoConnection() throws Exception {
        sender.start();
        calls.fail(Call.SOCKET_READ, Errno.EINTR, 0.3);
        calls.fail(Call.SOCKET_WRITE, Errno.EINTR, 0.3);
        world.desks().atRate(50);
        await("interrupted reads", () -> calls.struck(Call.SOCKET_READ) > 100);
        calls.heal();
        Ledger.Account account = accountAfterAll();
        assertTrue(account.holds() && account.unheard() == 0 && account.delivered() == account.handedIn(), account.toString());
    }

    @Test
    void readsAndWritesThatAreCutShortChangeNothing() throws Exception {
        sender.start();
        calls.shorten(Call.SOCKET_READ, 0.5);
        calls.shorten(Call.SOCKET_WRITE, 0.5);
        calls.shorten(Call.FILE_WRITE, 0.5);
        world.desks().atRate(50);
        await("short reads", () -> calls.struck(Call.SOCKET_READ) > 300);
        calls.heal();
        Ledger.Account account = accountAfterAll();
        assertTrue(account.holds() && account.unheard() == 0 && account.delivered() == account.handedIn(), account.toString());
    }

    @Test
    void whatIsHeldWhileTheJournalCantBeWrittenStillEndsInTime() throws Exception {
        sender.start();
        Venue venue = world.venues().get(0);
        venue.mood(Venue.Mood.SILENT);
        world.desks().atRate(50);
        await("calls out", () -> venue.asked() > 20);
        calls.fail(Call.FILE_WRITE, Errno.ENOSPC, 0.5);
        await("orders whose time is over", () -> world.ledger().account().failed() > 20);
        venue.mood(Venue.Mood.UP);
        long delivered = world.ledger().deliveredSoFar();
        await("deliveries while half of the writes fail", () -> world.ledger().deliveredSoFar() > delivered + 50);
        calls.heal();
        Ledger.Account account = accountAfterAll();
        assertTrue(account.holds(), account.toString());
        assertTrue(world.ledger().latestMs() <= LATE_MS, "an end came " + world.ledger().latestMs() + " ms after its time");
    }

    @Test
    void anOutageThatIsMetWhileTheDiskFailsIsKnownToTheNextLife() throws Exception {
        sender.start();
        Venue venue = world.venues().get(0);
        world.desks().atRate(50);
        await("deliveries", () -> world.ledger().deliveredSoFar() > 50);
        venue.mood(Venue.Mood.SILENT);
        long asked = venue.asked();
        await("calls out", () -> venue.asked() > asked + 5);
        calls.fail(Call.FILE_WRITE, Errno.EIO, 1);
        await("the outage seen", () -> log().contains("trials only"));
        int struck = calls.struck(Call.FILE_WRITE);
        await("writes that fail after it", () -> calls.struck(Call.FILE_WRITE) > struck + 5);
        calls.heal();
        long taken = world.ledger().account().taken();
        await("orders taken on since", () -> world.ledger().account().taken() > taken + 10);
        sender.kill();
        sender.start();
        await("the outage known", () -> log().contains("was DOWN before the restart"));
    }

    private String log() {
        try {
            return sender.log();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void aCompactedJournalIsTheOneThatIsWrittenToThoughTheOldOneFailsToClose() throws Exception {
        sender.start();
        world.desks().atRate(50);
        await("deliveries", () -> world.ledger().deliveredSoFar() > 10);
        calls.fail(Call.FILE_CLOSE, Errno.EIO, 1);
        calls.fail(Call.FILE_WRITE, Errno.EIO, 1);
        await("a write that fails", () -> calls.struck(Call.FILE_WRITE) > 0);
        calls.heal(Call.FILE_WRITE);
        await("a close that fails", () -> calls.struck(Call.FILE_CLOSE) > 0);
        calls.heal();
        world.venues().get(0).mood(Venue.Mood.SILENT);
        long taken = world.ledger().account().taken();
        await("orders that are held", () -> world.ledger().account().taken() > taken + 20);
        sender.kill();
        sender.start();
        world.venues().get(0).mood(Venue.Mood.UP);
        Ledger.Account account = accountAfterAll();
        assertTrue(account.holds(), account.toString());
    }

    @Test
    void aWriteThatIsHalfDoneAtAKillLosesNothingThatWasTakenOn() throws Exception {
        sender.start();
        world.desks().atRate(50);
        await("deliveries", () -> world.ledger().deliveredSoFar() > 10);
        calls.killInWrite();
        await("the kill", () -> calls.struck(Call.FILE_WRITE) > 0);
        calls.heal();
        sender.kill();
        sender.start();
        Ledger.Account account = accountAfterAll();
        assertTrue(account.holds(), account.toString());
    }

    /**
     * Guards against a request that is answered 503 and sent by the next life: its record is whole in the file, behind it a
     * write of the same turn failed, and the file could not be cut either.
     */
    @Test
    void whatIsRefusedWhileTheDiskFailsIsNotSentByTheNextLife() throws Exception {
        end();
        begin(PATIENT);
        sender.start();
        world.desks().atRate(500);
        await("deliveries", () -> world.ledger().deliveredSoFar() > 10);
        sender.stop();
        long handedIn = world.ledger().account().handedIn();
        await("orders that wait to be read together", () -> world.ledger().account().handedIn() > handedIn + 30);
        calls.failHalfway(Errno.ENOSPC);
        calls.fail(Call.FILE_TRUNCATE, Errno.EIO, 1);
        calls.fail(Call.FILE_RENAME, Errno.EIO, 1);
        sender.go();
        await("refusals", () -> world.ledger().account().turnedAway() > 10);
        world.desks().stop();
        sender.kill();
        calls.heal();
        sender.start();
        accountAfterAll();
        sender.terminate();
        await("the end of all that the next life has found", () -> log().contains(" sender.ended name=sender-0 held=0 owed=0"));
        Ledger.Account account = world.ledger().account();
        assertTrue(account.holds(), account.toString());
    }

    private void stepWallClockWithCallsOut(long byMs) throws InterruptedException {
        Venue venue = world.venues().get(0);
        venue.mood(Venue.Mood.SILENT);
        long asked = venue.asked();
        await("calls out", () -> venue.asked() > asked + 5);
        calls.stepWallClock(byMs);
        venue.mood(Venue.Mood.UP);
        long delivered = world.ledger().deliveredSoFar();
        await("deliveries", () -> world.ledger().deliveredSoFar() > delivered + 20);
    }

    @Test
    void aWallClockThatIsSteppedMovesNoTime() throws Exception {
        sender.start();
        world.desks().atRate(50);
        for (long stepMs : STEPS_MS) {
            stepWallClockWithCallsOut(stepMs);
        }
        Ledger.Account account = accountAfterAll();
        assertTrue(account.holds(), account.toString());
        assertTrue(world.ledger().latestMs() <= LATE_MS, "an end came " + world.ledger().latestMs() + " ms after its time");
    }

    /** How late an end is after a kill is not judged: what ran out of time meanwhile ends when the sender is back. */
    @Test
    void aWallClockThatIsSteppedBeforeAKillLosesNothing() throws Exception {
        sender.start();
        world.desks().atRate(50);
        for (long stepMs : STEPS_MS) {
            stepWallClockWithCallsOut(stepMs);
            sender.kill();
            sender.start();
        }
        Ledger.Account account = accountAfterAll();
        assertTrue(account.holds(), account.toString());
    }
}
