package slipfield.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.stream.Stream;
import javax.tools.ToolProvider;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import slipfield.cli.Cli;
import slipfield.client.decide.ClassRule;
import slipfield.client.decide.End;
import slipfield.client.decide.Rules;
import slipfield.standin.SenderProcess;
import slipfield.standin.Stub;
import slipfield.standin.TrialWorld;
import slipfield.standin.Venue;

/** Tests clients against a real sender that runs as a separate process, which some tests kill. */
class ClientTest {
    private static final long WINDOW_MS = 10_000;
    private static final long TIMEOUT_MS = 60_000;
    private static final Map<String, ClassRule> CLASSES = Map.of(TrialWorld.KEYED, ClassRule.keyed(WINDOW_MS),
            TrialWorld.ONCE, ClassRule.unsafe());

    @TempDir
    Path folder;
    private StringWriter out;
    private StringWriter err;
    private TrialWorld world;
    private SenderProcess sender;
    private final List<Client> clients = new ArrayList<>();
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

    @AfterEach
    void close() {
        clients.forEach(Client::close);
        sender.close();
        world.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void start(String clientsFile) throws Exception {
        world = new TrialWorld(folder, new TrialWorld.Size(3, 1e6, 1000, 12_000, 2000, 64));
        Files.writeString(folder.resolve("clients.yaml"), clientsFile);
        sender = new SenderProcess(folder, List.of(), SenderProcess.SMALL);
        sender.start();
    }

    private Client client(Rules rules) {
        return client("desk", rules, new Client.Observer() {
        });
    }

    private Client client(String name, Rules rules, Client.Observer observer) {
        Client client = new Client(new ClientSettings(name, Senders.of(List.of(world.sender())), CLASSES, rules, 1000, 2000,
                clients.size()), group, observer);
        clients.add(client);
        return client;
    }

    private static Order order(String messageClass, long withinMs) {
        return new Order(messageClass, TrialWorld.TENANT, 1, new byte[] {1, 2}, Duration.ofMillis(withinMs));
    }

    private List<Submission> submit(Client client, int count, long withinMs) {
        List<Submission> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(client.submit(order(i % 2 == 0 ? TrialWorld.KEYED : TrialWorld.ONCE, withinMs)));
        }
        return all;
    }

    /**
     * Checks that the final answers agree with the runs recorded at the venues, and that no order ran more often than its class
     * allows.
     */
    private void assertAnswersMatchRuns(List<Submission> all) throws Exception {
        for (Submission s : all) {
            End end = s.await(TIMEOUT_MS);
            List<Long> runs = world.ledger().runs(s.order().key());
            if (end instanceof End.Delivered) {
                assertFalse(runs.isEmpty(), "reported as delivered, but no venue received it");
            } else if (end instanceof End.Refused || end instanceof End.Failed failed && !failed.mayHaveRun()) {
                assertTrue(runs.isEmpty(), "reported as " + end + ", but a venue received it");
            }
            if (s.order().messageClass().equals(TrialWorld.ONCE)) {
                assertTrue(runs.size() <= 1, "an unsafe order ran " + runs.size() + " times");
            }
            long first = runs.stream().mapToLong(Long::longValue).min().orElse(0);
            long last = runs.stream().mapToLong(Long::longValue).max().orElse(0);
            assertTrue(TimeUnit.NANOSECONDS.toMillis(last - first) <= WINDOW_MS, "a key ran again after its window");
        }
    }

    private static long delivered(List<Submission> all) throws Exception {
        long delivered = 0;
        for (Submission s : all) {
            delivered += s.await(TIMEOUT_MS) instanceof End.Delivered ? 1 : 0;
        }
        return delivered;
    }

    @Test
    void reportsFinalAnswersOfAcceptedOrders() throws Exception {
        start("ends: {keep: 1m}\n");
        List<Submission> all = submit(client(Rules.DEFAULT.following(true)), 400, 11_000);
        assertAnswersMatchRuns(all);
        assertEquals(400, delivered(all));
    }

    @Test
    void reportsAnOrderThatNoVenueAnswers() throws Exception {
        start("ends: {}\n");
        world.venues().forEach(v -> v.mood(Venue.Mood.SILENT));
        Client client = client(Rules.DEFAULT.following(true));
        End end = client.submit(order(TrialWorld.ONCE, 3000)).await(TIMEOUT_MS);
        assertTrue(assertInstanceOf(End.Failed.class, end).mayHaveRun(), end.toString());
    }

    @Test
    void endsOrdersAtAcceptanceWithoutFollowing() throws Exception {
        start("wait_scope: true\n");
        assertInstanceOf(End.Taken.class, client(Rules.DEFAULT).submit(order(TrialWorld.ONCE, 9000)).await(TIMEOUT_MS));
    }

    /**
     * The sender is killed three times during a burst: each order gets one correct final answer, none runs twice, and answers
     * pending at a kill are reported after the restart.
     */
    @Test
    void losesAndDuplicatesNothingWhenTheSenderIsKilledInABurst() throws Exception {
        start("reconnect_within: 300ms\nends: {keep: 1m}\n");
        Client client = client(Rules.DEFAULT.following(true));
        List<Submission> all = new ArrayList<>();
        for (int kill = 0; kill < 3; kill++) {
            all.addAll(submit(client, 300, 11_000));
            int before = all.size();
            Stub.await("some orders have a final answer", () -> client.open() < before);
            sender.kill();
            all.addAll(submit(client, 100, 11_000));
            sender.start();
        }
        assertAnswersMatchRuns(all);
        assertTrue(delivered(all) > 600, "of 1,200 only " + delivered(all) + " were delivered");
    }

    /** Final answers that no client fetches must not delay those of other clients. */
    @Test
    void servesClientsDespiteAnswersThatNobodyFetches() throws Exception {
        start("ends: {keep: 1s, most: 50}\n");
        Client gone = client("gone", Rules.DEFAULT.following(true), new Client.Observer() {
        });
        submit(gone, 200, 9000);
        Stub.await("venues have received calls", () -> world.venues().stream().mapToLong(Venue::asked).sum() > 50);
        gone.close();
        List<Submission> all = submit(client(Rules.DEFAULT.following(true)), 100, 9000);
        assertAnswersMatchRuns(all);
        assertEquals(100, delivered(all));
    }

    /** 1000 clients lose their sender and reconnect over the window that it reported: each must succeed in few attempts. */
    @Test
    void reconnectsAThousandClients() throws Exception {
        start("reconnect_within: 2s\n");
        int count = 1000;
        AtomicIntegerArray connects = new AtomicIntegerArray(count);
        AtomicIntegerArray refused = new AtomicIntegerArray(count);
        for (int i = 0; i < count; i++) {
            int number = i;
            client("desk-" + i, Rules.DEFAULT.atMost(1, 1), new Client.Observer() {
                @Override
                public void connected(String to) {
                    connects.incrementAndGet(number);
                }

                @Override
                public void lost(String to, String why) {
                    refused.incrementAndGet(number);
                }
            });
        }
        awaitAll("all are connected", connects, 1);
        sender.kill();
        for (int i = 0; i < count; i++) {
            connects.set(i, 0);
        }
        List<Submission> all = new ArrayList<>();
        for (Client client : clients) {
            all.add(client.submit(order(TrialWorld.ONCE, 50_000)));
        }
        sender.start();
        awaitAll("all are connected again", connects, 1);
        for (Submission s : all) {
            // A sender that has just started may answer too late. The outcome is then unknown; the order is not submitted again.
            assertFalse(s.await(TIMEOUT_MS) instanceof End.Failed);
        }
        int tries = 0;
        for (int i = 0; i < count; i++) {
            tries += refused.get(i);
        }
        // While the sender was down each client tried about twice per window, with a pause in between.
        assertTrue(tries < 20 * count, "failed connects: " + tries);
    }

    private static void awaitAll(String what, AtomicIntegerArray counts, int least) throws Exception {
        Stub.await(what, () -> {
            for (int i = 0; i < counts.length(); i++) {
                if (counts.get(i) < least) {
                    return false;
                }
            }
            return true;
        });
    }

    /** The example in the documentation compiles and gives the documented output. */
    @Test
    void compilesAndRunsTheExample() throws Exception {
        start("ends: {}\n");
        Path classes = Files.createDirectories(folder.resolve("classes"));
        assertEquals(0, ToolProvider.getSystemJavaCompiler().run(null, null, null, "-Xlint:all", "-Werror", "-proc:none",
                "-d", classes.toString(), "-cp", System.getProperty("java.class.path"), "docs/client/SubmitOrders.java"));
        try (URLClassLoader loader = new URLClassLoader(new URL[] {classes.toUri().toURL()})) {
            PrintStream before = System.out;
            ByteArrayOutputStream printed = new ByteArrayOutputStream();
            System.setOut(new PrintStream(printed, true, StandardCharsets.UTF_8));
            try {
                loader.loadClass("SubmitOrders").getMethod("main", String[].class)
                        .invoke(null, (Object) new String[] {"127.0.0.1:" + world.sender().getPort()});
            } finally {
                System.setOut(before);
            }
            assertEquals(List.of("delivered", "delivered"), printed.toString(StandardCharsets.UTF_8).lines().toList());
        }
    }

    @Test
    void sendCommandSubmitsAFileAndPrintsEachAnswer() throws Exception {
        start("ends: {}\n");
        Path file = folder.resolve("orders.jsonl");
        String line = "{\"class\":\"order\",\"tenant\":\"desk\",\"destination\":1,\"body\":\"b\",\"key\":\"k%d\"}\n";
        StringBuilder lines = new StringBuilder();
        for (int i = 0; i < 50; i++) {
            lines.append(line.formatted(i));
        }
        Files.writeString(file, lines);
        String at = "127.0.0.1:" + world.sender().getPort();
        assertEquals(0, run("--to", at, "--file", file.toString(), "--rule", "order=keyed:10000", "--follow", "cli", "--within",
                "9000", "--json"));
        assertEquals(50, out.toString().lines().filter(l -> l.contains("\"end\":\"delivered\"")).count());
        assertTrue(err.toString().contains("delivered: 50"), err.toString());
        assertEquals(0, run("--to", at, "--class", "once", "--tenant", "desk", "--destination", "1", "--within", "9000", "body"));
        assertTrue(out.toString().contains(" taken"), out.toString());
        assertEquals(1, run("--to", at, "--class", "nonsense", "--tenant", "desk", "--destination", "1", "body"));
        assertTrue(out.toString().contains("failed, never ran: 404"), out.toString());
        Files.writeString(file, line.formatted(1) + "{\"class\":\"order\"}\n");
        assertEquals(2, run("--to", at, "--file", file.toString()));
        assertTrue(err.toString().contains("orders.jsonl:2: destination is missing"), err.toString());
        assertEquals(2, run("--file", file.toString()));
        assertEquals(2, run("--to", "sender:1", "--file", file.toString()));
        assertEquals(2, run("--to", at, "--rule", "order=sometimes", "--file", file.toString()));
    }

    private int run(String... args) {
        out = new StringWriter();
        err = new StringWriter();
        return new CommandLine(new Cli()).setOut(new PrintWriter(out, true)).setErr(new PrintWriter(err, true))
                .execute(Stream.concat(Stream.of("send"), Stream.of(args)).toArray(String[]::new));
    }
}
