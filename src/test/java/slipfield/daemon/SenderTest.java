package slipfield.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import slipfield.config.Config;
import slipfield.journal.PendingMessage;
import slipfield.journal.Journal;
import slipfield.journal.ProcessClock;
import slipfield.policy.DeliveryPolicy;
import slipfield.standin.Stub;

/** Tests a complete sender over loopback sockets, with clients, two endpoints of one destination, and an agent. */
class SenderTest {
    private static final int MAX_OPEN = 5;

    @TempDir
    private Path folder;
    private final List<Stub> endpoints = new ArrayList<>();
    private final List<String> notices = new CopyOnWriteArrayList<>();
    private final List<Socket> clients = new ArrayList<>();
    private Stub agent;
    private volatile String states = "SERVING SERVING";
    private volatile boolean agentUp = true;
    private volatile int reportStatus = 204;
    private boolean known = true;
    private int dialMs = 1000;
    private Daemon sender;
    private InetSocketAddress address;

    @BeforeEach
    void open() throws Exception {
        endpoints.add(new Stub(Stub.status(200, "")));
        endpoints.add(new Stub(Stub.status(200, "")));
        agent = new Stub(this::agent);
        Files.createDirectory(folder.resolve("state"));
    }

    @AfterEach
    void close() throws Exception {
        if (sender != null) {
            sender.kill();
        }
        for (Socket client : clients) {
            client.close();
        }
        for (Stub stub : endpoints) {
            stub.close();
        }
        agent.close();
    }

    // ---- helpers ----

    private void agent(Stub.Message request, Socket socket) throws Exception {
        if (!agentUp) {
            return;
        }
        if (request.line().startsWith("POST /reports")) {
            int status = reportStatus;
            if (status == 204) {
                notices.addAll(List.of(request.body().trim().split("\n")));
            }
            Stub.write(socket, "HTTP/1.1 " + status + " x\r\n"
                    + (status == 204 ? "\r\n" : "Content-Length: 0\r\n\r\n"));
            return;
        }
        String known = request.line().contains("after=") ? request.line().replaceAll(".*after=(\\d+).*", "$1")
                : "";
        Stub.await("a new version of the endpoint list", () -> agentUp && !known.equals(generation()));
        String list = list();
        Stub.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
    }

    private String generation() {
        return Integer.toString(1000 + states.hashCode() % 1000);
    }

    private String list() {
        String[] state = states.split(" ");
        return "{\"generation\":" + generation() + ",\"reset\":true,\"instances\":[" + entry(0, state[0]) + ","
                + entry(1, state[1]) + "]}";
    }

    private String entry(int number, String state) {
        return "{\"instanceId\":\"s-" + number + "\",\"hostPort\":\"" + endpoints.get(number).hostPort()
                + "\",\"zone\":\"a\",\"machineType\":\"m\",\"cell\":7,\"lifecycle\":\"" + state
                + "\",\"weight\":1.0,\"startedAtMs\":0}";
    }

    private Config config() throws Exception {
        String classes = """
                {"name":"order","aim_ms":2000,"give_up_ms":24000,"repeat":"keyed","window_ms":20000},
                {"name":"once","aim_ms":2000,"give_up_ms":24000,"repeat":"unsafe"}""";
        Path file = folder.resolve("config.json");
        Files.writeString(file, """
                {"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964",
                 "limits":{"memory_mb":192,"sockets":256,"disk_mb":3},"known":%s,
                 "settings":{"classes":[%s],"tenants":[{"name":"acme"}],"flavors":["m"],"zones":["a"],
                  "family_info":{"workers":10,"batch_by_kind":[1],"separate_routes":[false]},
                  "fleet_size":1,"limits":{"most_tries":12,"second_copies":false,"cancel":true,"max_open":%d,
                   "dial_timeout_ms":%d,"keepalive_ms":15000},
                  "rules":{"start_capacity":0.2,"warm_after_ms":12000,"fall_multiple":2,"fall_ms":1500}}}
                """.formatted(agent.hostPort(), known ? list() : "null", classes, MAX_OPEN, dialMs));
        return Config.read(environment());
    }

    private Map<String, String> environment() {
        return Map.of("GW_CONFIG", folder.resolve("config.json").toString(), "GW_STATE",
                folder.resolve("state").toString());
    }

    private void start() throws Exception {
        start(Daemon.CLOSING_MS);
    }

    private void start(long closingMs) throws Exception {
        sender = new Daemon(config(), Daemon.ACCEPTING_MS, closingMs, ProcessClock.system());
        address = sender.start();
    }

    private void restart() throws Exception {
        sender.kill();
        start();
    }

    private Socket client() throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        clients.add(socket);
        return socket;
    }

    private static Stub.Message ask(Socket socket, String text) throws IOException {
        Stub.write(socket, text);
        return Stub.read(new BufferedInputStream(socket.getInputStream()), 0);
    }

    private static String message(String id, String type, String body) {
        return "POST /" + type + " HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Call-Class: " + type
                + "\r\nX-Caller: acme\r\nX-Budget-Ms: 24000\r\nIdempotency-Key: key-" + id
                + "\r\nX-Envelope: dest=7\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private void submit(String id, String type) throws Exception {
        assertEquals("HTTP/1.1 202 Accepted", ask(client(), message(id, type, "hello")).line());
    }

    private List<Stub.Message> calls() {
        return endpoints.stream().flatMap(e -> e.requests.stream()).toList();
    }

    private void script(Stub.Script script) {
        endpoints.forEach(e -> e.script(script));
    }

    /** The pending messages in the journal, read from a copy of its file. */
    private List<PendingMessage> pendingInJournal() {
        return readJournal(journal -> List.copyOf(journal.pendingMessages()));
    }

    private Map<String, Journal.Health> healthInJournal() {
        return readJournal(Journal::endpointHealth);
    }

    private <T> T readJournal(Function<Journal, T> of) {
        try {
            Path copy = Files.createTempDirectory(folder, "copy");
            Files.copy(folder.resolve("state/journal"), copy.resolve("journal"),
                    StandardCopyOption.REPLACE_EXISTING);
            try (Journal journal = new Journal(copy, 3_000_000, 12)) {
                return of.apply(journal);
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Writes the journal of an earlier process: one message, with one attempt in flight if {@code attemptAgoMs} is over 0. */
    private PendingMessage writeEarlierJournal(String type, long attemptAgoMs, long leftMs, boolean notice) throws Exception {
        try (Journal journal = new Journal(folder.resolve("state"), 3_000_000, 12)) {
            long wall = System.currentTimeMillis();
            PendingMessage pending = new PendingMessage(journal.nextNumber(), "old", type, "acme", Optional.of("key-old"), 7,
                    wall + leftMs, "hello".getBytes(StandardCharsets.ISO_8859_1));
            journal.recordAccepted(pending);
            if (attemptAgoMs > 0) {
                journal.recordAttempt(pending, new PendingMessage.Attempt("s-0", wall - attemptAgoMs));
            }
            if (notice) {
                journal.recordAnswer(pending, new PendingMessage.Notice(PendingMessage.FinalAnswer.REFUSED, 700));
            }
            return pending;
        }
    }

    /** Writes the journal of an earlier process: late messages without an attempt, and these states of endpoints. */
    private void writeEarlierBacklog(int many, Map<String, DeliveryPolicy.State> states) throws Exception {
        try (Journal journal = new Journal(folder.resolve("state"), 3_000_000, 12)) {
            long wall = System.currentTimeMillis();
            for (int i = 0; i < many; i++) {
                journal.recordAccepted(new PendingMessage(journal.nextNumber(), "old-" + i, "order", "acme",
                        Optional.of("key-" + i), 7, wall + 15_000, new byte[0]));
            }
            for (Map.Entry<String, DeliveryPolicy.State> known : states.entrySet()) {
                journal.recordHealth(known.getKey(), new Journal.Health(known.getValue(), wall, 0));
            }
        }
    }

    private int ended() {
        return endpoints.stream().mapToInt(Stub::ended).sum();
    }

    private void awaitJournalEmpty() throws InterruptedException {
        Stub.await("the journal contains no message", () -> pendingInJournal().isEmpty());
    }

    private void awaitNotice(String result) throws Exception {
        Stub.await("the notice", () -> !notices.isEmpty());
        assertTrue(notices.get(0).contains(result), notices.get(0));
        awaitJournalEmpty();
        assertEquals(1, notices.size());
    }

    // ---- delivery ----

    @Test
    void deliversAMessageOnceAndRemovesItFromTheJournal() throws Exception {
        start();
        submit("one", "order");
        awaitJournalEmpty();
        assertEquals(1, calls().size());
        assertEquals("one", calls().get(0).header("X-Call-Id"));
        assertEquals("key-one", calls().get(0).header("Idempotency-Key"));
        assertEquals("hello", calls().get(0).body());
        assertTrue(notices.isEmpty());
        restart();
        submit("two", "order");
        awaitJournalEmpty();
        assertEquals(2, calls().size(), "a delivered message is not sent again after a restart");
    }

    /**
     * An endpoint that accepts few connections may refuse one of many senders a further one. Messages refused on a new connection
     * must be sent on a connection that is kept open.
     */
    @Test
    void deliversEveryMessageOnceToAnEndpointThatAcceptsTwoConnections() throws Exception {
        states = "SERVING DRAINING";
        Set<Socket> accepted = ConcurrentHashMap.newKeySet();
        Set<String> delivered = ConcurrentHashMap.newKeySet();
        AtomicInteger refused = new AtomicInteger();
        script((request, socket) -> {
            if (!accepted.contains(socket) && accepted.size() == 2) {
                refused.incrementAndGet();
                Stub.write(socket, "HTTP/1.1 503 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
                socket.close();
                return;
            }
            accepted.add(socket);
            // The first two calls stay in flight until a third was refused.
            Stub.await("a refusal", () -> refused.get() > 0);
            assertTrue(delivered.add(request.header("X-Call-Id")), "once");
            Stub.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        });
        start();
        for (int i = 0; i < MAX_OPEN; i++) {
            submit("m-" + i, "order");
        }
        awaitJournalEmpty();
        assertEquals(MAX_OPEN, delivered.size());
        assertTrue(notices.isEmpty());
    }

    @Test
    void sendsNoNoticeForAMessageThatTheEndpointReportsAsOver() throws Exception {
        script(Stub.status(410, ""));
        start();
        submit("one", "order");
        awaitJournalEmpty();
        assertTrue(notices.isEmpty());
    }

    @Test
    void sendsANoticeForAnUnsafeMessageThatFailed() throws Exception {
        script(Stub.status(500, ""));
        start();
        submit("one", "once");
        awaitNotice("{\"ref\":\"one\",\"result\":\"dead\"}");
        assertEquals(1, calls().size());
    }

    @Test
    void repeatsANoticeUntilItIsAcknowledged() throws Exception {
        script(Stub.status(500, ""));
        reportStatus = 500;
        start();
        submit("one", "once");
        Stub.await("several tries", () -> agent.requests.stream().filter(r -> r.line().startsWith("POST"))
                .count() > 2);
        assertEquals(1, pendingInJournal().size());
        reportStatus = 204;
        awaitNotice("dead");
    }

    /** With a late event loop an answer takes an iteration more: the next notice must not wait for it. */
    @Test
    void sendsANoticeBeforeThePreviousOneIsAcknowledged() throws Exception {
        script(Stub.status(500, ""));
        CountDownLatch second = new CountDownLatch(1);
        Stub slow = new Stub((request, socket) -> {
            if (request.line().startsWith("POST /reports")) {
                if (request.body().contains("\"one\"")) {
                    second.await();
                } else {
                    second.countDown();
                }
                notices.add(request.body().trim());
                Stub.write(socket, "HTTP/1.1 204 x\r\n\r\n");
            }
        });
        Stub first = agent;
        agent = slow;
        start();
        submit("one", "once");
        Stub.await("its notice is sent", () -> slow.requests.stream().anyMatch(r -> r.body().contains("\"one\"")));
        submit("two", "once");
        Stub.await("the next notice", () -> noticesOf("two") == 1);
        awaitJournalEmpty();
        first.close();
    }

    @Test
    void sendsNothingDuringARequestedDelay() throws Exception {
        start();
        script(Stub.status(429, "Retry-After: 0.6\r\n"));
        submit("one", "order");
        Stub.await("the requested delay is recorded", () -> pendingInJournal().get(0).attempts.stream()
                .anyMatch(a -> a.neverRan));
        script(Stub.status(200, ""));
        submit("two", "order");
        Stub.await("both delivered", () -> calls().size() == 3);
        long first = calls().stream().mapToLong(Stub.Message::atNanos).min().orElseThrow();
        for (Stub.Message later : calls()) {
            assertTrue(later.atNanos() == first || later.atNanos() - first >= 600_000_000,
                    "sent before the requested delay was over");
        }
    }

    /**
     * Guards against calls during a requested delay. In a run with slow connects a call arrived 0.65 s before the end of a
     * delay that the other endpoint of its destination had requested while the call was connecting: it was decided before the
     * delay began, and its first byte was written after.
     */
    @Test
    void appliesARequestedDelayToACallThatIsStillConnecting() throws Exception {
        Stub late = Stub.late(Stub.status(200, ""));
        endpoints.set(1, late).close();
        endpoints.get(0).script(Stub.silent());
        dialMs = 20_000;
        start();
        submit("one", "order");
        Stub.await("the first call", () -> endpoints.get(0).requests.size() == 1);
        submit("two", "once");
        Stub.await("the second call is connecting to the other endpoint", () -> pendingInJournal().stream()
                .anyMatch(h -> h.id.equals("two") && h.attempts.stream().anyMatch(a -> a.endpoint.equals("s-1"))));
        endpoints.get(0).script(Stub.status(200, ""));
        long requestedNanos = System.nanoTime();
        endpoints.get(0).answerAll("HTTP/1.1 429 x\r\nRetry-After: 4\r\nContent-Length: 0\r\n\r\n");
        Stub.await("the requested delay is recorded", () -> pendingInJournal().stream()
                .anyMatch(h -> h.id.equals("one") && h.attempts.get(0).neverRan));
        late.open();
        awaitJournalEmpty();
        assertEquals(List.of(), notices, "a message that was not written may be sent again");
        assertEquals(3, calls().size());
        for (Stub.Message call : calls().subList(1, 3)) {
            assertTrue(call.atNanos() - requestedNanos >= 4_000_000_000L, call.line() + " of " + call.header("X-Call-Id")
                    + " came " + (call.atNanos() - requestedNanos) / 1_000_000 + " ms into a requested delay of 4000 ms");
        }
    }

    @Test
    void sendsNothingNewToADrainingEndpoint() throws Exception {
        start();
        for (int round = 0; round < 2; round++) {
            states = round == 0 ? "DRAINING SERVING" : "SERVING DELETED";
            String generation = generation();
            Stub.await("the endpoint list is read", () -> agent.requests.stream()
                    .anyMatch(r -> r.line().contains("after=" + generation)));
            int before = endpoints.get(round).requests.size();
            for (int i = 0; i < 4; i++) {
                submit("m" + round + i, "order");
                awaitJournalEmpty();
            }
            assertEquals(before, endpoints.get(round).requests.size());
        }
        assertEquals(8, calls().size());
    }

    /** A drain that was reported before discovery stopped answering stays in force; one reported afterwards takes effect then. */
    @Test
    void keepsEndpointsDrainedWhileDiscoveryDoesNotAnswer() throws Exception {
        start();
        states = "DRAINING SERVING";
        String drained = generation();
        Stub.await("the drain is read", () -> agent.requests.stream().anyMatch(r -> r.line().contains("after=" + drained)));
        int before = endpoints.get(0).requests.size();
        agentUp = false;
        int asked = agent.requests.size();
        states = "SERVING DRAINING";
        for (int i = 0; i < 4; i++) {
            submit("silent" + i, "order");
            awaitJournalEmpty();
        }
        Stub.await("discovery is queried again while it does not answer", () -> agent.requests.size() > asked);
        submit("silent", "order");
        awaitJournalEmpty();
        assertEquals(before, endpoints.get(0).requests.size(), "the endpoint still drains while discovery does not answer");
        agentUp = true;
        String moved = generation();
        Stub.await("the other drain is read", () -> agent.requests.stream().anyMatch(r -> r.line().contains("after=" + moved)));
        int there = endpoints.get(1).requests.size();
        for (int i = 0; i < 4; i++) {
            submit("back" + i, "order");
            awaitJournalEmpty();
        }
        assertEquals(there, endpoints.get(1).requests.size());
        assertEquals(before + 4, endpoints.get(0).requests.size());
    }

    @Test
    void deliversWhileTheAgentDoesNotAnswer() throws Exception {
        agentUp = false;
        start();
        assertEquals("HTTP/1.1 200 OK", ask(client(), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").line());
        submit("one", "order");
        awaitJournalEmpty();
        agentUp = true;
        Stub.await("the list is requested again", () -> agent.requests.stream()
                .anyMatch(r -> r.line().contains("after=")));
    }

    @Test
    void acceptsAndFailsNothingBeforeTheFirstEndpointList() throws Exception {
        PendingMessage old = writeEarlierJournal("order", 1000, 20_000, false);
        known = false;
        agentUp = false;
        start();
        assertEquals("503", ask(client(), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").line().split(" ")[1]);
        assertEquals("503", ask(client(), message("one", "order", "hello")).line().split(" ")[1]);
        agentUp = true;
        awaitJournalEmpty();
        assertEquals(List.of(old.id), calls().stream().map(c -> c.header("X-Call-Id")).toList());
        assertEquals("200", ask(client(), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").line().split(" ")[1]);
    }

    // ---- restarts ----

    /** Late messages alone are no sign of an outage: they may be late because of the sender's own slots, send rate or CPU. */
    @Test
    void sendsALateBacklogAtOnceAfterARestart() throws Exception {
        writeEarlierBacklog(5, Map.of());
        script(Stub.silent());
        start();
        Stub.await("all calls", () -> calls().stream().map(c -> c.header("X-Call-Id")).distinct().count() == 5);
        assertEquals(0, ended(), "no call waited for the end of another");
    }

    @Test
    void probesAfterARestartDuringAnOutage() throws Exception {
        writeEarlierBacklog(5, Map.of("s-0", DeliveryPolicy.State.DOWN, "s-1", DeliveryPolicy.State.DOWN));
        script(Stub.silent());
        start();
        Stub.await("the end of a probe", () -> ended() > 0);
        assertTrue(calls().size() <= 3, "at most one call in flight at each endpoint: " + calls().size());
    }

    @Test
    void recordsAnOutageInTheJournal() throws Exception {
        start();
        for (Stub endpoint : endpoints) {
            endpoint.close();
        }
        // Enough messages that each endpoint gets one, whichever is used first.
        for (String id : List.of("one", "two", "three", "four")) {
            submit(id, "order");
        }
        Stub.await("the state of both", () -> healthInJournal().values().stream()
                .filter(h -> h.state() == DeliveryPolicy.State.DOWN).count() == 2);
    }

    @Test
    void repeatsAKeyedAttemptAfterARestartWithinItsWindow() throws Exception {
        script(Stub.silent());
        start();
        submit("one", "order");
        Stub.await("the call", () -> calls().size() == 1);
        script(Stub.status(200, ""));
        restart();
        Stub.await("the repeat", () -> calls().size() == 2);
        assertEquals(List.of("one", "one"), calls().stream().map(c -> c.header("X-Call-Id")).toList());
        assertEquals(List.of("key-one", "key-one"),
                calls().stream().map(c -> c.header("Idempotency-Key")).toList());
        awaitJournalEmpty();
    }

    @Test
    void doesNotRepeatAKeyedAttemptAfterItsWindow() throws Exception {
        writeEarlierJournal("order", 21_000, 10_000, false);
        start();
        awaitNotice("dead");
        assertTrue(calls().isEmpty());
    }

    @Test
    void failsAnUnsafeMessageWhoseAttemptWasInFlightAtARestart() throws Exception {
        script(Stub.silent());
        start();
        submit("one", "once");
        Stub.await("the call", () -> calls().size() == 1);
        restart();
        awaitNotice("dead");
        assertEquals(1, calls().size());
    }

    @Test
    void sendsAnUnsafeMessageAgainIfItsAttemptNeverRan() throws Exception {
        script(Stub.status(503, ""));
        start();
        submit("one", "once");
        Stub.await("the refusal is recorded", () -> pendingInJournal().get(0).attempts.stream()
                .anyMatch(a -> a.neverRan));
        script(Stub.status(200, ""));
        restart();
        awaitJournalEmpty();
        assertTrue(notices.isEmpty());
    }

    @Test
    void sendsAnUnsentMessageAfterARestart() throws Exception {
        writeEarlierJournal("once", 0, 10_000, false);
        start();
        awaitJournalEmpty();
        assertEquals(1, calls().size());
    }

    @Test
    void sendsTheNoticeOfAnOverdueMessageAtOnce() throws Exception {
        writeEarlierJournal("order", 0, -5000, false);
        start();
        awaitNotice("bounced");
        assertTrue(calls().isEmpty());
    }

    /**
     * A message without any attempt fails only when the client's whole time limit is over. The reserve that the sender subtracts
     * from it may be used for a first attempt; users require this.
     */
    @Test
    void attemptsAnUntriedMessageDuringItsReserve() throws Exception {
        try (Journal journal = openJournal(ProcessClock.system().reference())) {
            long wall = System.currentTimeMillis();
            for (int reserveMs : new int[] {600_000, 0}) {
                PendingMessage pending = order(journal, "order", wall - 1000);
                pending.reserveMs = reserveMs;
                journal.recordAccepted(pending);
            }
            PendingMessage tried = order(journal, "order", wall - 1000);
            tried.reserveMs = 600_000;
            journal.recordAccepted(tried);
            journal.recordAttempt(tried, new PendingMessage.Attempt("s-0", wall - 5000));
        }
        start();
        awaitJournalEmpty();
        assertEquals(List.of("old-0"), calls().stream().map(c -> c.header("X-Call-Id")).toList());
        assertEquals(0, noticesOf("old-0"));
        assertEquals(1, noticesOf("old-1"));
        assertEquals(1, noticesOf("old-2"), "a message that may have run gets its final answer in time");
    }

    /** Class, tenant or destination were removed from the settings: each pending message still gets one final answer. */
    @Test
    void endsEachMessageOnceAfterSettingsChanged() throws Exception {
        try (Journal journal = openJournal(ProcessClock.system().reference())) {
            long wall = System.currentTimeMillis();
            for (String[] now : new String[][] {{"class", "gone", "acme", "7", "20000"},
                    {"tenant", "order", "renamed", "7", "20000"}, {"dest", "order", "acme", "99", "3000"}}) {
                journal.recordAccepted(new PendingMessage(journal.nextNumber(), now[0], now[1], now[2],
                        Optional.of("key-" + now[0]), Long.parseLong(now[3]), wall + Long.parseLong(now[4]), new byte[0]));
            }
        }
        start();
        awaitJournalEmpty();
        assertEquals(List.of("tenant"), calls().stream().map(c -> c.header("X-Call-Id")).toList());
        assertEquals(List.of(1L, 0L, 1L), List.of(noticesOf("class"), noticesOf("tenant"), noticesOf("dest")));
        assertTrue(notices.stream().anyMatch(n -> n.contains("\"dest\"") && n.contains("bounced")),
                "a message that never ran is refused: " + notices);
    }

    @Test
    void sendsAPendingNoticeAfterARestart() throws Exception {
        writeEarlierJournal("order", 0, 10_000, true);
        start();
        awaitNotice("{\"ref\":\"old\",\"result\":\"bounced\",\"wait_ms\":700}");
        assertTrue(calls().isEmpty());
    }

    // ---- a new configuration ----

    /** A second agent, whose generations start at 1 again. It is used only after a reload of the configuration. */
    private Stub secondAgent(List<String> received) throws IOException {
        return new Stub((request, socket) -> {
            if (request.line().startsWith("POST")) {
                received.addAll(List.of(request.body().trim().split("\n")));
                Stub.write(socket, "HTTP/1.1 204 x\r\n\r\n");
            } else if (!request.line().contains("after=")) {
                String list = list().replace("\"generation\":" + generation(), "\"generation\":1");
                Stub.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
            }
        });
    }

    @Test
    void switchesWatchAndNoticesToANewAgentAddress() throws Exception {
        script(Stub.status(500, ""));
        reportStatus = 500;
        start();
        submit("one", "once");
        Stub.await("a watch and an unacknowledged notice", () -> agent.requests.stream()
                .anyMatch(r -> r.line().contains("after=")) && agent.requests.stream()
                .anyMatch(r -> r.line().startsWith("POST")));
        List<String> received = new CopyOnWriteArrayList<>();
        Stub old = agent;
        try (Stub fresh = secondAgent(received)) {
            agent = fresh;
            config();
            sender.reload(environment());
            Stub.await("the notice at the new address", () -> received.size() == 1);
            Stub.await("a complete list, then a watch", () -> fresh.requests.stream()
                    .filter(r -> r.line().startsWith("GET")).count() == 2);
            List<String> asked = fresh.requests.stream().map(Stub.Message::line)
                    .filter(line -> line.startsWith("GET")).toList();
            assertEquals("GET /v1/servers HTTP/1.1", asked.get(0));
            assertTrue(asked.get(1).startsWith("GET /v1/servers?after=1&"), asked.get(1));
            awaitJournalEmpty();
            script(Stub.status(200, ""));
            submit("two", "order");
            awaitJournalEmpty();
        } finally {
            agent = old;
        }
    }

    @Test
    void keepsTheConfigurationIfANewOneCannotBeRead() throws Exception {
        start();
        Files.writeString(folder.resolve("config.json"), "{\"name\":");
        sender.reload(environment());
        Files.writeString(folder.resolve("config.json"), "{}");
        sender.reload(environment());
        String before = generation();
        states = "SERVING DRAINING";
        Stub.await("the old agent is still queried", () -> !before.equals(generation()) && agent.requests.stream()
                .anyMatch(r -> r.line().contains("after=" + generation())));
        submit("one", "order");
        awaitJournalEmpty();
    }

    /** The environment keeps the address of the first start, so the address in the file takes precedence. */
    @Test
    void prefersTheDiscoveryAddressOfTheFile() throws Exception {
        config();
        Map<String, String> stale = new HashMap<>(environment());
        stale.put("GW_DISCOVERY", "127.0.0.1:1");
        assertEquals(agent.address(), Config.read(stale).discovery());
    }

    /** The program as a process: SIGHUP makes it use another agent and does not end it; SIGTERM still drains. */
    @Test
    void reloadsOnSighup() throws Exception {
        config();
        Process process = process();
        List<String> received = new CopyOnWriteArrayList<>();
        Stub old = agent;
        try (Stub fresh = secondAgent(received)) {
            agent = fresh;
            config();
            assertEquals(0, new ProcessBuilder("sh", "-c", "kill -HUP " + process.pid()).start().waitFor());
            Stub.await("the new agent is queried", () -> !fresh.requests.isEmpty());
            script(Stub.status(500, ""));
            submit("one", "once");
            Stub.await("the notice at the new address", () -> received.size() == 1);
            process.destroy();
            assertNotEquals(129, process.waitFor());
        } finally {
            agent = old;
            process.destroyForcibly().waitFor();
        }
    }

    // ---- clients ----

    @Test
    void answersInvalidRequestsAndStaysUsable() throws Exception {
        start();
        String good = message("id", "order", "hello");
        Map<String, String> answers = Map.ofEntries(
                Map.entry("GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n", "404"),
                Map.entry("GET / HTTP/1.1\r\nHost: x\r\n\r\n", "404"),
                Map.entry("GET /order HTTP/1.1\r\nHost: x\r\n\r\n", "405"),
                Map.entry("\u0001\u0002 rubbish\r\n\r\n", "400"),
                Map.entry(good.replace("X-Call-Id: id\r\n", ""), "400"),
                Map.entry(good.replace("X-Call-Id: id", "X-Call-Id: " + "i".repeat(300)), "400"),
                Map.entry(good.replace("Content-Length: 5", "Content-Length: -5"), "400"),
                Map.entry(good.replace("Content-Length: 5", "Content-Length: 5\r\nContent-Length: 6"), "400"),
                Map.entry(good.replace("Content-Length: 5", "Content-Length: 60000000"), "413"),
                Map.entry(good.replace("X-Budget-Ms: 24000", "X-Budget-Ms: soon"), "400"),
                Map.entry(good.replace("X-Budget-Ms: 24000", "X-Budget-Ms: -1"), "400"),
                Map.entry(good.replace("dest=7", "dest=x"), "400"),
                Map.entry(good.replace("dest=7", "nothing"), "400"),
                Map.entry(good.replace("X-Caller: acme", "X-Caller: nobody"), "400"),
                Map.entry(good.replace("Idempotency-Key: key-id\r\n", ""), "400"),
                Map.entry(good.replace("X-Call-Class: order", "X-Call-Class: once"), "400"),
                Map.entry(good.replace("Content-Length: 5", "Content-Length: five"), "400"));
        for (Map.Entry<String, String> e : answers.entrySet()) {
            Stub.Message answer = ask(client(), e.getKey());
            assertEquals(e.getValue(), answer.line().split(" ")[1], e.getKey());
        }
        assertTrue(pendingInJournal().isEmpty());
        submit("good", "order");
    }

    /** Reads until the connection is closed or reset; fails after 30 s without data. */
    private static String readUntilClosed(Socket socket) throws IOException {
        socket.setSoTimeout(30_000);
        try {
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (SocketException reset) {
            return "";
        }
    }

    @Test
    void rejectsARequestWithTwoLengthsAndTheOneHiddenInIt() throws Exception {
        start();
        String hidden = message("hidden", "order", "hello");
        for (String coding : List.of("chunked", "xchunked", "gzip, chunked", "identity")) {
            Socket client = client();
            Stub.write(client, message("outer", "order", "0\r\n\r\n" + hidden).replace("Host: x\r\n",
                    "Host: x\r\nTransfer-Encoding: " + coding + "\r\n"));
            String answers = readUntilClosed(client);
            assertTrue(answers.startsWith("HTTP/1.1 400 ") && !answers.contains("202"), coding + ": " + answers);
        }
        assertTrue(pendingInJournal().isEmpty() && calls().isEmpty());
    }

    @Test
    void closesConnectionsWithoutACompleteRequest() throws Exception {
        start();
        String whole = message("half", "order", "hello");
        Socket silent = client();
        Socket half = client();
        Stub.write(half, whole.substring(0, whole.length() - 2));
        Socket later = client();
        ask(later, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
        Stub.write(later, whole.substring(0, 30));
        Socket behind = client();
        assertEquals("HTTP/1.1 200 OK", ask(behind, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
                + whole.substring(0, 30)).line());
        Socket endless = client();
        Stub.write(endless, "GET /healthz HTTP/1.1\r\n" + "X-More: more\r\n".repeat(2000));
        Socket once = client();
        assertEquals("HTTP/1.1 200 OK", ask(once, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").line());
        assertEquals("", readUntilClosed(once), "a connection with one request is closed later");
        assertEquals("", readUntilClosed(silent));
        assertTrue(readUntilClosed(half).startsWith("HTTP/1.1 408 "));
        assertTrue(readUntilClosed(later).startsWith("HTTP/1.1 408 "));
        assertTrue(readUntilClosed(behind).startsWith("HTTP/1.1 408 "));
        assertFalse(readUntilClosed(endless).contains("200"));
        assertTrue(pendingInJournal().isEmpty());
    }

    @Test
    void servesClientsDespiteHundredsOfSilentConnections() throws Exception {
        start();
        Socket usual = client();
        assertEquals("202", ask(usual, message("one", "order", "hello")).line().split(" ")[1]);
        for (int i = 0; i < 300; i++) {
            client();
        }
        submit("two", "order");
        assertEquals("202", ask(usual, message("three", "order", "hello")).line().split(" ")[1],
                "a client with an earlier request keeps its connection");
    }

    @Test
    void refusesUnknownDestinationsAndAcceptsUnavailableOnes() throws Exception {
        start();
        String other = message("other", "order", "hello").replace("dest=7", "dest=8");
        assertEquals("503", ask(client(), other).line().split(" ")[1]);
        assertTrue(pendingInJournal().isEmpty());
        states = "DRAINING DRAINING";
        Stub.await("the list is read", () -> agent.requests.stream()
                .anyMatch(r -> r.line().contains("after=" + generation())));
        submit("away", "order");
        assertEquals(1, pendingInJournal().size());
    }

    @Test
    void limitsTheBudgetToItsClassLessAReserve() throws Exception {
        script(Stub.silent());
        start();
        String budget = "X-Budget-Ms: " + Long.MAX_VALUE;
        long before = System.currentTimeMillis();
        assertEquals("202", ask(client(), message("one", "order", "hello").replace("X-Budget-Ms: 24000", budget))
                .line().split(" ")[1]);
        long leftMs = pendingInJournal().get(0).deadlineMs - before;
        assertTrue(leftMs >= 23_300 && leftMs <= 23_300 + System.currentTimeMillis() - before, leftMs + " ms");
    }

    @Test
    void recognisesTheIdOfAnEndedMessage() throws Exception {
        start();
        submit("one", "order");
        awaitJournalEmpty();
        submit("one", "order");
        script(Stub.status(500, ""));
        submit("two", "once");
        awaitNotice("{\"ref\":\"two\",\"result\":\"dead\"}");
        assertEquals("409", ask(client(), message("two", "order", "hello")).line().split(" ")[1]);
        assertEquals(2, calls().size());
        assertTrue(pendingInJournal().isEmpty());
    }

    @Test
    void acceptsBodiesOf64KibWithAnyBytes() throws Exception {
        start();
        StringBuilder any = new StringBuilder();
        for (int i = 0; i < 64 * 1024; i++) {
            any.append((char) (i % 256));
        }
        assertEquals("202", ask(client(), message("big", "order", any.toString())).line().split(" ")[1]);
        awaitJournalEmpty();
        assertEquals(any.toString(), calls().get(0).body());
        String long413 = message("long", "order", any + "x");
        assertEquals("413", ask(client(), long413).line().split(" ")[1]);
        assertEquals(1, calls().size());
    }

    @Test
    void acceptsAChunkedBodyInPieces() throws Exception {
        start();
        Socket client = client();
        for (char c : message("one", "order", "").replace("Content-Length: 0", "Transfer-Encoding: chunked")
                .toCharArray()) {
            Stub.write(client, String.valueOf(c));
        }
        assertEquals("202", ask(client, "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n").line().split(" ")[1]);
        awaitJournalEmpty();
        assertEquals("hello", calls().get(0).body());
    }

    @Test
    void refusesMessagesWhenFull() throws Exception {
        script(Stub.silent());
        start();
        for (int i = 0; i < MAX_OPEN; i++) {
            submit("m" + i, "order");
        }
        assertEquals("503", ask(client(), message("more", "order", "hello")).line().split(" ")[1]);
        assertEquals(MAX_OPEN, pendingInJournal().size());
    }

    @Test
    void acceptsTheSameIdOnce() throws Exception {
        script(Stub.silent());
        start();
        submit("one", "order");
        submit("one", "order");
        assertEquals(1, pendingInJournal().size());
    }

    @Test
    void ignoresAnIncompleteRequestOfADisconnectedClient() throws Exception {
        start();
        Socket gone = client();
        String whole = message("gone", "order", "hello");
        Stub.write(gone, whole.substring(0, whole.length() - 2));
        gone.close();
        submit("one", "order");
        awaitJournalEmpty();
        assertEquals(List.of("one"), calls().stream().map(c -> c.header("X-Call-Id")).toList());
    }

    // ---- shutdown ----

    @Test
    void drainAnswersOpenConnectionsAndWaitsForCallsInFlight() throws Exception {
        script(Stub.silent());
        start(60_000);
        Socket kept = client();
        assertEquals("202", ask(kept, message("one", "once", "hello")).line().split(" ")[1]);
        Stub.await("the call", () -> calls().size() == 1);
        Thread drain = new Thread(sender::drain);
        drain.start();
        Stub.await("no new connection is accepted", () -> {
            try {
                client().close();
                return false;
            } catch (IOException refused) {
                return true;
            }
        });
        Stub.Message last = ask(kept, message("two", "order", "hello"));
        assertEquals("202", last.line().split(" ")[1], "a request on a kept connection is still answered");
        assertEquals("close", last.header("Connection"));
        assertEquals(-1, kept.getInputStream().read());
        assertTrue(drain.isAlive(), "the drain waits for calls in flight");
        Stub.await("both calls", () -> calls().size() == 2);
        for (Stub endpoint : endpoints) {
            endpoint.answerAll("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
        drain.join();
        assertTrue(pendingInJournal().isEmpty());
    }

    @Test
    void drainEndsInTimeAndLeavesPendingMessagesInTheJournal() throws Exception {
        script(Stub.silent());
        start();
        submit("one", "order");
        Stub.await("the call", () -> calls().size() == 1);
        sender.drain();
        assertEquals("one", pendingInJournal().get(0).id);
        assertEquals(1, pendingInJournal().get(0).attempts.size());
    }

    // ---- recovery ----

    /** Opens a journal with this clock reference and 40 MB of room. */
    private Journal openJournal(ProcessClock.Reference clock) throws IOException {
        return new Journal(folder.resolve("state"), 40_000_000, 12, clock, FileChannel::open);
    }

    private static PendingMessage order(Journal journal, String type, long deadlineMs) {
        long number = journal.nextNumber();
        return new PendingMessage(number, "old-" + number, type, "acme", Optional.of("key-" + number), 7, deadlineMs,
                "hello".getBytes(StandardCharsets.ISO_8859_1));
    }

    private long callsOf(String id) {
        return calls().stream().filter(c -> c.header("X-Call-Id").equals(id)).count();
    }

    private long noticesOf(String id) {
        return notices.stream().filter(n -> n.contains("\"" + id + "\"")).count();
    }

    @Test
    void answersOverdueMessagesBeforeTheFirstCall() throws Exception {
        ProcessClock clock = ProcessClock.system();
        List<String> overdue = new ArrayList<>();
        try (Journal journal = openJournal(clock.reference())) {
            for (int i = 0; i < 5000; i++) {
                PendingMessage pending = order(journal, "order", clock.wallMs() + (i % 5 < 2 ? -1000 - i : 600_000));
                journal.recordAccepted(pending);
                if (i % 5 < 2) {
                    overdue.add(pending.id);
                }
            }
        }
        start();
        Stub.await("a notice for each", () -> notices.size() >= 2000);
        Stub.await("a call", () -> !calls().isEmpty());
        long noticeNanos = agent.requests.stream().filter(r -> r.line().startsWith("POST"))
                .mapToLong(Stub.Message::atNanos).min().orElseThrow();
        long callNanos = calls().stream().mapToLong(Stub.Message::atNanos).min().orElseThrow();
        assertTrue(noticeNanos < callNanos, "the first notice is sent before the first call");
        // 256 final answers per event-loop iteration, then 64 restored messages per iteration.
        Stub.await("all messages are restored", () -> sender.recoveryBatches() == 8 + 47);
        Set<String> refs = new HashSet<>();
        for (String notice : List.copyOf(notices)) {
            assertTrue(refs.add(notice), "sent twice: " + notice);
        }
        for (String id : overdue) {
            assertTrue(refs.contains("{\"ref\":\"" + id + "\",\"result\":\"bounced\"}"), id);
        }
        assertEquals(2000, refs.size());
    }

    /** A journal of 120 messages in all states, and the offsets at which its records end. */
    private record RecordedJournal(byte[] whole, List<Long> ends) {
    }

    private RecordedJournal recordJournal() throws Exception {
        ProcessClock clock = ProcessClock.system();
        List<Long> ends = new ArrayList<>();
        try (Journal journal = openJournal(clock.reference())) {
            for (int i = 0; i < 120; i++) {
                PendingMessage pending = order(journal, i % 2 == 0 ? "order" : "once", clock.wallMs() + 600_000);
                journal.recordAccepted(pending);
                ends.add(journal.size());
                if (i % 3 > 0) {
                    journal.recordAttempt(pending, new PendingMessage.Attempt("s-" + i % 2, clock.wallMs()));
                    ends.add(journal.size());
                }
                if (i % 9 == 1) {
                    journal.recordNeverRan(pending, 0);
                }
                if (i % 9 == 2) {
                    journal.recordAnswer(pending, new PendingMessage.Notice(i % 2 == 0
                            ? PendingMessage.FinalAnswer.REFUSED : PendingMessage.FinalAnswer.FAILED, 0));
                }
                if (i % 9 == 4) {
                    journal.recordCompleted(pending);
                }
                ends.add(journal.size());
            }
        }
        return new RecordedJournal(Files.readAllBytes(folder.resolve("state/journal")), ends);
    }

    /** Writes the journal, cut at the end of a record or within the next one; returns the messages pending in it. */
    private List<PendingMessage> cut(RecordedJournal recorded, Random random, boolean atEnd) throws Exception {
        long boundary = recorded.ends.get(random.nextInt(recorded.ends.size()));
        int cut = (int) (atEnd ? boundary : Math.min(recorded.whole.length, boundary + 1 + random.nextInt(50)));
        Files.write(folder.resolve("state/journal"), Arrays.copyOf(recorded.whole, cut));
        notices.clear();
        endpoints.forEach(e -> e.requests.clear());
        return pendingInJournal();
    }

    /** Each message is either sent once or gets one notice, as its class allows. */
    private void assertOneFinalAnswerEach(List<PendingMessage> pending, String where) {
        for (PendingMessage h : pending) {
            boolean mayHaveRun = h.attempts.stream().anyMatch(a -> !a.neverRan);
            long expected = h.pendingNotice.isPresent() || h.messageClass.equals("once") && mayHaveRun ? 0 : 1;
            assertEquals(expected, callsOf(h.id), "calls of " + h.id + where);
            assertEquals(1 - expected, noticesOf(h.id), "notices of " + h.id + where);
        }
        assertEquals(pending.size(), calls().size() + notices.size(), where);
    }

    /** The journal is cut at sampled offsets, at record ends and within records; each message gets one final answer. */
    @Test
    void endsEachMessageOnceAfterAKillAtAnyOffset() throws Exception {
        RecordedJournal recorded = recordJournal();
        Random random = new Random(3);
        for (int sample = 0; sample < 24; sample++) {
            List<PendingMessage> pending = cut(recorded, random, sample % 2 == 0);
            start();
            awaitJournalEmpty();
            sender.kill();
            sender = null;
            assertOneFinalAnswerEach(pending, ", sample " + sample);
        }
    }

    /** The same for the program as a process, killed by SIGKILL while it restores its pending messages, and started again. */
    @Test
    void endsEachMessageAfterTheProcessIsKilledDuringRecovery() throws Exception {
        RecordedJournal recorded = recordJournal();
        config();
        Random random = new Random(7);
        for (int sample = 0; sample < 4; sample++) {
            List<PendingMessage> pending = cut(recorded, random, sample % 2 == 0);
            if (sample > 1) {
                // Endpoints do not answer, so calls are in flight when the process is killed.
                script(Stub.silent());
                Process first = process();
                Stub.await("a call or an end", () -> calls().size() + notices.size() > 0);
                first.destroyForcibly().waitFor();
                script(Stub.status(200, ""));
            }
            Process process = process();
            awaitJournalEmpty();
            process.destroyForcibly().waitFor();
            for (PendingMessage h : pending) {
                assertTrue(callsOf(h.id) + noticesOf(h.id) >= 1, h.id + " gets its final answer, sample " + sample);
                assertTrue(!h.messageClass.equals("once") || callsOf(h.id) <= 1, h.id + " must not run twice");
            }
            if (sample <= 1) {
                assertOneFinalAnswerEach(pending, ", sample " + sample);
            }
        }
    }

    @Test
    void losesNoMessageByTwoKillsDuringRecovery() throws Exception {
        ProcessClock clock = ProcessClock.system();
        List<PendingMessage> all = new ArrayList<>();
        try (Journal journal = openJournal(clock.reference())) {
            for (int i = 0; i < 300; i++) {
                PendingMessage pending = order(journal, i % 2 == 0 ? "order" : "once",
                        clock.wallMs() + (i % 10 == 0 ? -500 : 600_000));
                journal.recordAccepted(pending);
                all.add(pending);
            }
        }
        start();
        sender.kill();
        start();
        Stub.await("the first call after the restart", () -> !calls().isEmpty());
        restart();
        awaitJournalEmpty();
        for (PendingMessage h : all) {
            long notices = noticesOf(h.id);
            long calls = callsOf(h.id);
            assertTrue(calls + notices >= 1, h.id + " gets a final answer");
            assertTrue(h.messageClass.equals("order") || calls <= 1, h.id + " must not run twice");
        }
        assertTrue(all.stream().filter(h -> h.deadlineMs < clock.wallMs()).allMatch(h -> callsOf(h.id) == 0));
    }

    /** The wall clock is set back by 5 min between two processes: a deduplication window that is over must stay over. */
    @Test
    void reopensNoWindowWhenTheClockIsSetBack() throws Exception {
        long wall = System.currentTimeMillis();
        try (Journal journal = openJournal(new ProcessClock.Reference(wall, 1000, 9))) {
            PendingMessage late = order(journal, "order", wall + 60_000);
            journal.recordAccepted(late);
            journal.recordAttempt(late, new PendingMessage.Attempt("s-0", wall));
            journal.recordAccepted(order(journal, "order", wall + 24_000));
        }
        sender = new Daemon(config(), Daemon.ACCEPTING_MS, Daemon.CLOSING_MS,
                new ProcessClock(wall - 300_000 + 25_000, 26_000, 9));
        address = sender.start();
        Stub.await("both final answers", () -> notices.size() == 2);
        assertEquals(List.of(), calls(), "one message is past its window, the other past its deadline");
    }

    /** The event loop is blocked for 2 s: due messages get their final answer, and new requests are answered. */
    @Test
    void endsDueMessagesAndRefusesNewOnesAfterABlockedEventLoop() throws Exception {
        script(Stub.silent());
        start();
        String soon = message("soon", "order", "hello").replace("X-Budget-Ms: 24000", "X-Budget-Ms: 1000");
        assertEquals("HTTP/1.1 202 Accepted", ask(client(), soon).line());
        CountDownLatch blocked = new CountDownLatch(1);
        sender.loop().execute(() -> {
            try {
                blocked.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        List<Socket> crowd = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            Socket socket = client();
            Stub.write(socket, message("crowd-" + i, "order", "hello"));
            crowd.add(socket);
        }
        long until = System.nanoTime() + 2_000_000_000L;
        Stub.await("two seconds", () -> System.nanoTime() > until);
        blocked.countDown();
        Stub.await("its notice", () -> noticesOf("soon") == 1);
        int behind = 0;
        for (Socket socket : crowd) {
            Stub.Message answer = Stub.read(new BufferedInputStream(socket.getInputStream()), 0);
            if (answer.body().contains("behind")) {
                behind++;
                assertTrue(Double.parseDouble(answer.header("Retry-After")) > 0);
            }
        }
        assertTrue(behind > 0, "a late sender refuses some requests");
        Stub.await("it accepts messages again", () -> {
            try {
                return !ask(client(), message("later", "order", "x")).line().contains("503")
                        || pendingInJournal().size() >= MAX_OPEN;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    @Test
    void recognisesTheIdOfAnEndedMessageAfterARestart() throws Exception {
        start();
        submit("one", "order");
        awaitJournalEmpty();
        script(Stub.status(500, ""));
        submit("two", "once");
        awaitNotice("{\"ref\":\"two\",\"result\":\"dead\"}");
        restart();
        assertEquals("202", ask(client(), message("one", "order", "hello")).line().split(" ")[1]);
        assertEquals("409", ask(client(), message("two", "order", "hello")).line().split(" ")[1]);
        assertEquals(2, calls().size());
    }

    @Test
    void recordsTheSendRateInTheJournal() throws Exception {
        script(Stub.status(503, ""));
        start();
        submit("one", "order");
        Stub.await("a send rate", () -> !readJournal(Journal::sendRates).isEmpty());
        DeliveryPolicy.SendRate rate = readJournal(Journal::sendRates).get(new Journal.SendRateKey(7, ""));
        assertTrue(rate.perMs() > 0 && rate.perMs() < Double.POSITIVE_INFINITY, rate.toString());
    }

    /** The program as a process: SIGKILL loses no message, and SIGTERM makes it shut down by itself. */
    @Test
    void losesNothingBySigkillAndExitsOnSigterm() throws Exception {
        script(Stub.silent());
        config();
        Process first = process();
        submit("one", "order");
        Stub.await("the call", () -> calls().size() == 1);
        first.destroyForcibly().waitFor();
        script(Stub.status(200, ""));
        Process second = process();
        awaitJournalEmpty();
        assertEquals(2, calls().size());
        second.destroy();
        assertNotEquals(137, second.waitFor());
        assertFalse(second.isAlive());
    }

    private Process process() throws Exception {
        ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin/java").toString(),
                "-cp", System.getProperty("java.class.path"), "slipfield.Main", "serve");
        builder.environment().putAll(environment());
        Path log = Files.createTempFile(folder, "log", "");
        Process process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        String ready = " address=127.0.0.1:";
        Stub.await("the process is ready", () -> {
            try {
                String text = Files.readString(log);
                int at = text.indexOf(ready);
                if (at < 0 || text.indexOf('\n', at) < 0) {
                    return false;
                }
                address = new InetSocketAddress("127.0.0.1",
                        Integer.parseInt(text.substring(at + ready.length(), text.indexOf('\n', at)).trim()));
                return true;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        return process;
    }
}
