package slipfield.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.LockSupport;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import slipfield.config.Config;
import slipfield.journal.AnswerRecipient;
import slipfield.journal.Journal;
import slipfield.journal.JournalReader;
import slipfield.journal.PendingMessage;
import slipfield.journal.ProcessClock;
import slipfield.journal.PendingAnswer;
import slipfield.policy.DeliveryPolicy;
import slipfield.standin.Stub;
import slipfield.trace.Trace;

/** Tests what the ports of the core guarantee to frontends, transports, directories and answer channels in memory. */
class SenderPortsTest {
    private static final AnswerRecipient KEPT = new AnswerRecipient("queue", "desk-1", true, true);
    private static final long DELAY_MS = 600;
    private static final long LONG_ITERATION_MS = 60;
    private static final AnswerRecipient DROPPED = new AnswerRecipient("queue", "desk-2", true, false);

    @TempDir
    Path folder;
    private final World world = new World();
    private Sender sender;

    /** Implements every port in memory. An attempt stays in progress until the test ends it. */
    private final class World implements SenderComponents {
        private final List<RunningAttempt> running = new CopyOnWriteArrayList<>();
        private final List<String> sent = new CopyOnWriteArrayList<>();
        private final Map<String, Directory.EndpointListener> directories = new HashMap<>();
        private final Map<Long, InetSocketAddress> serving = new HashMap<>();
        /** Answer channels that acknowledge at once; the others keep their answers. */
        private final List<String> acknowledging = new CopyOnWriteArrayList<>(List.of("platform", "queue"));
        private List<String> names = List.of("platform");
        private final List<Frontend> frontends = new ArrayList<>();
        private Transport.AttemptListener listener;
        private MessageIntake intake;

        /** Whether attempts begin at once. */
        private boolean connected = true;

        private record RunningAttempt(PendingMessage message, int number, boolean hasBegun, long startedNanos,
                Transport.AttemptListener listener) implements Transport.Attempt {
            @Override
            public void cancel() {
                listener.ended(this, DeliveryPolicy.AttemptOutcome.CANCELLED, false, 0, DeliveryPolicy.LimitReport.NOTHING);
            }
        }

        @Override
        public Transport transport(EventLoop loop, Transport.AttemptListener attempts) {
            listener = attempts;
            return new Transport() {
                @Override
                public void start() {
                }

                @Override
                public void updateEndpoint(long endpoint, SocketAddress address, boolean serves) {
                    serving.put(endpoint, (InetSocketAddress) address);
                }

                @Override
                public void stop(long endpoint) {
                    serving.remove(endpoint);
                }

                @Override
                public void forget(long endpoint) {
                    serving.remove(endpoint);
                }

                @Override
                public Attempt attempt(PendingMessage held, int number, long endpoint, DeliveryPolicy.AttemptTiming timing,
                        long decidedNanos) {
                    RunningAttempt attempt = new RunningAttempt(held, number, connected, System.nanoTime(), listener);
                    running.add(attempt);
                    return attempt;
                }

                @Override
                public void closeIdle(long endpoint) {
                }
            };
        }

        @Override
        public Map<String, AnswerChannel> answerChannels(EventLoop loop, Consumer<PendingAnswer> acknowledged) {
            Map<String, AnswerChannel> all = new LinkedHashMap<>();
            for (String name : List.of("platform", "queue")) {
                all.put(name, new AnswerChannel() {
                    private int kept;

                    @Override
                    public void enqueue(PendingAnswer answer) {
                        if (!acknowledging.contains(name)) {
                            kept++;
                            return;
                        }
                        sent.add(answer.message().id + " " + name + answer.recipient().peer() + " "
                                + answer.message().pendingNotice.orElseThrow().answer());
                        acknowledged.accept(answer);
                    }

                    @Override
                    public void flush() {
                    }

                    @Override
                    public int pendingCount() {
                        return kept;
                    }
                });
            }
            return all;
        }

        @Override
        public Map<String, Directory> directories(EventLoop loop) {
            Map<String, Directory> all = new LinkedHashMap<>();
            for (String name : names) {
                all.put(name, new Directory() {
                    @Override
                    public void start(EndpointListener lists) {
                        directories.put(name, lists);
                        lists.endpointsChanged(true, List.of(entry(name + "-s", 7)));
                    }

                    @Override
                    public boolean fresh() {
                        return true;
                    }
                });
            }
            return all;
        }

        @Override
        public List<Frontend> frontends(EventLoop loop, MessageIntake core) {
            intake = core;
            return frontends;
        }

        @Override
        public void enableTrace(Trace trace) {
        }

        @Override
        public void warmUp(EventLoop loop, long maxMs, Runnable then) {
            then.run();
        }
    }

    private static Directory.Entry entry(String id, long destination) {
        return new Directory.Entry(id, new InetSocketAddress(InetAddress.getLoopbackAddress(), 1), "a", "m",
                destination, true, 1, false);
    }

    @BeforeEach
    void start() throws Exception {
        Path file = folder.resolve("config.json");
        Files.createDirectories(folder.resolve("state"));
        Files.writeString(file, """
                {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
                 "limits":{"sockets":256,"disk_mb":3},
                 "settings":{"classes":[{"name":"order","aim_ms":2000,"give_up_ms":24000,"repeat":"safe"},
                  {"name":"once","aim_ms":2000,"give_up_ms":24000,"repeat":"unsafe"}],
                  "tenants":[{"name":"acme"}],"flavors":["m"],"zones":["a"],
                  "family_info":{"workers":10,"batch_by_kind":[1],"separate_routes":[false]},
                  "fleet_size":1,"limits":{"most_tries":4,"second_copies":false,"cancel":true,"max_open":50},
                  "rules":{"start_capacity":0.2,"warm_after_ms":12000,"fall_multiple":2,"fall_ms":1500}}}
                """);
        Config config = Config.read(Map.of("GW_CONFIG", file.toString(), "GW_STATE",
                folder.resolve("state").toString()));
        sender = new Sender(config, world, 100, 1000, ProcessClock.system());
        sender.start();
        Stub.await("the sender is ready", () -> onLoop(() -> world.intake.ready()));
    }

    @AfterEach
    void close() {
        sender.kill();
    }

    private void restart() throws Exception {
        sender.kill();
        world.running.clear();
        start();
    }

    private <T> T onLoop(Supplier<T> action) {
        return sender.loop().inEventLoop() ? action.get() : sender.loop().submit(action::get).syncUninterruptibly().getNow();
    }

    /** Submits a message as a frontend does: checks its id for a duplicate first. */
    private String submit(String id, String type, AnswerRecipient claim) {
        return onLoop(() -> {
            Optional<MessageIntake.DuplicateState> duplicate = world.intake.checkDuplicate(id, claim);
            if (duplicate.isPresent()) {
                return duplicate.get().name();
            }
            MessageIntake.SubmissionResult result = world.intake.submit(new MessageIntake.Submission(id, type, "acme",
                    Optional.empty(), 7, 20_000, new byte[] {1}, List.of(claim)));
            result.message().ifPresent(held -> world.intake.acceptanceReported(held, world.intake.writeAccepted()));
            return result.message().isPresent() ? "accepted" : result.reason();
        });
    }

    private void end(DeliveryPolicy.AttemptOutcome outcome) throws Exception {
        Stub.await("an attempt", () -> !world.running.isEmpty());
        World.RunningAttempt attempt = world.running.remove(0);
        onLoop(() -> {
            attempt.listener().ended(attempt, outcome, false, 0, DeliveryPolicy.LimitReport.NOTHING);
            return null;
        });
    }

    private void awaitAnswers(String... lines) throws Exception {
        Stub.await(List.of(lines) + " of " + world.sent, () -> world.sent.size() >= lines.length);
        // A duplicate answer would be sent in the same iteration, which has ended when the loop runs this task.
        onLoop(() -> null);
        assertEquals(new ArrayList<>(List.of(lines)), new ArrayList<>(world.sent));
    }

    @Test
    void aDeliveryIsReportedOnceToARecipientThatAskedForItAndNotToThePlatform() throws Exception {
        assertEquals("accepted", submit("one", "order", KEPT));
        assertEquals("accepted", submit("two", "order", AnswerRecipient.PLATFORM));
        end(DeliveryPolicy.AttemptOutcome.DELIVERED);
        end(DeliveryPolicy.AttemptOutcome.DELIVERED);
        awaitAnswers("one queuedesk-1 DELIVERED");
        restart();
        assertEquals(1, world.sent.size());
        assertEquals("DELIVERED", submit("one", "order", KEPT));
    }

    /**
     * Guards against a call that is written during a requested delay: the iteration that decided it took long, and the answer
     * that requests the delay was unread between the decision and the write.
     */
    @Test
    void aDelayRequestedDuringALongIterationHoldsForTheCallsItDecided() throws Exception {
        assertEquals("accepted", submit("refused", "order", AnswerRecipient.PLATFORM));
        Stub.await("its attempt", () -> world.running.size() == 1);
        World.RunningAttempt refused = world.running.remove(0);
        AtomicLong requestedNanos = new AtomicLong();
        onLoop(() -> {
            // Runs when the loop polls its sockets next, as the answer would that is unread in one of them.
            sender.loop().schedule(() -> {
                requestedNanos.set(System.nanoTime());
                refused.listener().ended(refused, DeliveryPolicy.AttemptOutcome.FULL, false, DELAY_MS,
                        DeliveryPolicy.LimitReport.NOTHING);
            }, 0, TimeUnit.MILLISECONDS);
            String result = submit("decided", "order", AnswerRecipient.PLATFORM);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(LONG_ITERATION_MS));
            return result;
        });
        Stub.await("an attempt after the requested delay", () -> !world.running.isEmpty());
        long afterMs = TimeUnit.NANOSECONDS.toMillis(world.running.get(0).startedNanos() - requestedNanos.get());
        assertTrue(afterMs >= DELAY_MS - 1, "an attempt began " + afterMs + " ms after the delay was requested");
    }

    /** Guards against a message that runs again after a restart, since its final answer was still pending then. */
    @Test
    void aDeliveryThatNobodyHasAcknowledgedIsKnownAfterARestart() throws Exception {
        world.acknowledging.remove("queue");
        assertEquals("accepted", submit("delivered", "once", KEPT));
        end(DeliveryPolicy.AttemptOutcome.DELIVERED);
        assertEquals("accepted", submit("failed", "once", KEPT));
        end(DeliveryPolicy.AttemptOutcome.ERROR);
        Stub.await("both have ended", () -> "DELIVERED".equals(submit("delivered", "once", KEPT))
                && "UNDELIVERED".equals(submit("failed", "once", KEPT)));
        restart();
        assertEquals("DELIVERED", submit("delivered", "once", KEPT));
        assertEquals("UNDELIVERED", submit("failed", "once", KEPT));
    }

    /** Guards against a message that runs again after a restart, since its id was not among the newest (review, case 7). */
    @Test
    void theSameNumberOfIdsIsKnownAfterARestartAsBefore() throws Exception {
        sender.kill();
        int known = world.rememberedIds();
        try (Journal journal = new Journal(folder.resolve("state"), 3_000_000, 4)) {
            for (int i = 0; i < known; i++) {
                PendingMessage message = new PendingMessage(journal.nextNumber(), "id-" + i, "once", "acme", Optional.empty(), 7,
                        Long.MAX_VALUE, new byte[1]);
                journal.recordAccepted(message);
                journal.recordCompleted(message);
            }
        }
        world.running.clear();
        start();
        assertEquals("DELIVERED", submit("id-0", "once", KEPT));
        assertEquals("DELIVERED", submit("id-" + (known - 1), "once", KEPT));
        assertEquals("accepted", submit("id-" + known, "once", KEPT));
    }

    /** Guards against orders that are given up untried, since their connections were not up at a kill (review, case 8). */
    @Test
    void anAttemptThatWaitsForItsConnectionAtAKillIsMadeByTheNextProcess() throws Exception {
        world.connected = false;
        assertEquals("accepted", submit("unsafe", "once", AnswerRecipient.PLATFORM));
        assertEquals("accepted", submit("stopped", "once", AnswerRecipient.PLATFORM));
        Stub.await("both wait for a connection", () -> world.running.size() == 2);
        restart();
        Stub.await("an attempt", () -> !world.running.isEmpty());
        end(DeliveryPolicy.AttemptOutcome.DELIVERED);
        end(DeliveryPolicy.AttemptOutcome.DELIVERED);
        assertEquals(List.of(), List.copyOf(world.sent));
    }

    /** Guards against the same for calls that a long iteration has decided, and that are checked once more before they start. */
    @Test
    void aCallOfALongIterationWaitsUntilItIsStarted() throws Exception {
        CompletableFuture<Boolean> beforeItStarts = new CompletableFuture<>();
        onLoop(() -> {
            // Runs after the iteration, and before the calls that it has decided are checked.
            sender.loop().schedule(() -> beforeItStarts.complete(mayHaveRunByTheJournal()), 0, TimeUnit.MILLISECONDS);
            String result = submit("decided", "once", AnswerRecipient.PLATFORM);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(LONG_ITERATION_MS));
            return result;
        });
        assertFalse(beforeItStarts.get(30, TimeUnit.SECONDS));
        Stub.await("it has begun", () -> !world.running.isEmpty());
        assertTrue(onLoop(this::mayHaveRunByTheJournal));
    }

    private boolean mayHaveRunByTheJournal() {
        try {
            PendingMessage message = new JournalReader(folder.resolve("state").resolve("journal")).pendingMessages().get(0);
            assertEquals(1, message.attempts.size());
            return message.mayHaveRun();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The record that an attempt begins comes before its first byte: whoever finds it must take the message for one that ran. */
    @Test
    void anAttemptThatHasBegunAfterItsConnectionIsNotMadeAgain() throws Exception {
        world.connected = false;
        assertEquals("accepted", submit("unsafe", "once", AnswerRecipient.PLATFORM));
        Stub.await("it waits for a connection", () -> !world.running.isEmpty());
        World.RunningAttempt attempt = world.running.get(0);
        assertTrue(onLoop(() -> attempt.listener().mayBegin(attempt)));
        restart();
        awaitAnswers("unsafe platform FAILED");
        assertEquals(List.of(), List.copyOf(world.running));
    }

    /** Guards against a process that starts in an outage, and sends all it has to an endpoint with a new id (review, case 10). */
    @Test
    void anOutageHoldsForAnEndpointThatReplacesTheFailedOneDuringARestart() throws Exception {
        assertEquals("accepted", submit("failed", "order", AnswerRecipient.PLATFORM));
        end(DeliveryPolicy.AttemptOutcome.UNREACHABLE);
        sender.kill();
        try (Journal journal = new Journal(folder.resolve("state"), 3 << 20, 4)) {
            assertEquals(DeliveryPolicy.State.DOWN, journal.destinationHealth().get(7L).state());
            // A message with a failed attempt would limit the calls too.
            journal.recordWithdrawn(journal.pendingMessages().get(0));
        }
        world.running.clear();
        world.names = List.of("replacement");
        start();
        for (String id : List.of("one", "two", "three")) {
            assertEquals("accepted", submit(id, "order", AnswerRecipient.PLATFORM));
        }
        Stub.await("a probe", () -> !world.running.isEmpty());
        onLoop(() -> null);
        assertEquals(1, world.running.size(), "calls at once to an endpoint that may be cold");
    }

    /** A frontend with one connection whose request has been read; {@link #finish} answers it 50 ms later. */
    private final class UnansweredRequest implements Frontend {
        private final EventLoop loop = sender.loop();
        private int clients = 1;
        private boolean asked;

        @Override
        public InetSocketAddress listen() {
            return InetSocketAddress.createUnresolved("nowhere", 1);
        }

        @Override
        public void close() {
        }

        @Override
        public void finish() {
            if (!asked) {
                asked = true;
                loop.schedule(() -> clients = 0, 50, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public int openConnections() {
            return clients;
        }
    }

    /** Shutdown waits until a request that was read is answered, but not forever if it never is. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void shutdownWaitsForTheAnswersToRequestsThatWereRead(boolean answered) throws Exception {
        UnansweredRequest front = new UnansweredRequest();
        front.asked = !answered;
        onLoop(() -> world.frontends.add(front));
        sender.drain();
        assertEquals(answered ? 0 : 1, onLoop(front::openConnections));
    }

    @Test
    void theSameIdFromTwoFrontendsIsOneMessageAndEachIsAnsweredOnce() throws Exception {
        assertEquals("accepted", submit("one", "once", AnswerRecipient.PLATFORM));
        assertEquals("PENDING", submit("one", "once", KEPT));
        assertEquals("PENDING", submit("one", "once", KEPT));
        end(DeliveryPolicy.AttemptOutcome.ERROR);
        awaitAnswers("one platform FAILED", "one queuedesk-1 FAILED");
        assertTrue(world.running.isEmpty(), "one message, one attempt");
    }

    @Test
    void recipientsAreKnownAfterARestart() throws Exception {
        assertEquals("accepted", submit("one", "order", KEPT));
        assertEquals("PENDING", submit("one", "order", DROPPED));
        restart();
        end(DeliveryPolicy.AttemptOutcome.DELIVERED);
        awaitAnswers("one queuedesk-1 DELIVERED", "one queuedesk-2 DELIVERED");
        restart();
        assertEquals(2, world.sent.size(), "no recipient gets a second answer");
    }

    @Test
    void aMessageThatASecondFrontendReportedAsPendingIsNotWithdrawnWhenTheFirstClientLeaves() throws Exception {
        String duplicate = onLoop(() -> {
            PendingMessage held = world.intake.submit(new MessageIntake.Submission("one", "once", "acme",
                    Optional.empty(), 7, 20_000, new byte[] {1}, List.of(DROPPED))).message().orElseThrow();
            world.intake.writeAccepted();
            String second = world.intake.checkDuplicate("one", KEPT).orElseThrow().name();
            // The first client disconnects before it is told of the acceptance.
            world.intake.acceptanceReported(held, false);
            return second;
        });
        assertEquals("PENDING", duplicate);
        end(DeliveryPolicy.AttemptOutcome.DELIVERED);
        awaitAnswers("one queuedesk-2 DELIVERED", "one queuedesk-1 DELIVERED");
    }

    @Test
    void answersForAnAbsentRecipientAreKeptOrDroppedAsItsRegistrationSays() throws Exception {
        assertEquals("accepted", submit("one", "order", KEPT));
        assertEquals("accepted", submit("two", "order", DROPPED));
        onLoop(() -> {
            world.intake.recipientGone("queue", "desk-1");
            world.intake.recipientGone("queue", "desk-2");
            return null;
        });
        world.acknowledging.remove("queue");
        end(DeliveryPolicy.AttemptOutcome.DELIVERED);
        end(DeliveryPolicy.AttemptOutcome.DELIVERED);
        Stub.await("both have ended", () -> submit("two", "order", DROPPED).equals("DELIVERED")
                && submit("one", "order", KEPT).equals("DELIVERED"));
        assertEquals(List.of(), world.sent);
        world.acknowledging.add("queue");
        restart();
        awaitAnswers("one queuedesk-1 DELIVERED");
    }

    @Test
    void aRecipientThatAcknowledgedBeforeARestartIsNotAnsweredAgain() throws Exception {
        assertEquals("accepted", submit("one", "once", AnswerRecipient.PLATFORM));
        assertEquals("PENDING", submit("one", "once", KEPT));
        world.acknowledging.remove("queue");
        end(DeliveryPolicy.AttemptOutcome.ERROR);
        awaitAnswers("one platform FAILED");
        world.acknowledging.add("queue");
        restart();
        awaitAnswers("one platform FAILED", "one queuedesk-1 FAILED");
    }

    @Test
    void theLastListOfAFailedDirectoryStaysInUse() throws Exception {
        world.names = List.of("platform", "consul");
        restart();
        onLoop(() -> {
            world.directories.get("platform").endpointsChanged(true, List.of(entry("platform-t", 7)));
            return null;
        });
        assertEquals(2, onLoop(() -> world.serving.size()), "the new endpoint and that of the other directory");
        assertEquals("accepted", submit("one", "order", KEPT));
        end(DeliveryPolicy.AttemptOutcome.DELIVERED);
        awaitAnswers("one queuedesk-1 DELIVERED");
    }

    /** Guards against a process that takes over the name of one that has gone: it got the orders of the other's destination. */
    @Test
    void anEndpointThatIsReplacedAtAnotherDestinationGetsNoOrdersOfTheOldOne() throws Exception {
        assertEquals("accepted", submit("one", "order", KEPT));
        end(DeliveryPolicy.AttemptOutcome.DELIVERED);
        onLoop(() -> {
            world.directories.get("platform").endpointsChanged(false, List.of(entry("platform-s", 8)));
            return null;
        });
        assertEquals("accepted", submit("two", "order", KEPT));
        assertEquals(1, onLoop(() -> world.serving.size()), "the new endpoint; the old one is stopped");
        assertEquals(List.of(), List.copyOf(world.running), "no attempt at an endpoint of another destination");
        onLoop(() -> {
            world.directories.get("platform").endpointsChanged(true, List.of(entry("platform-s", 7)));
            return null;
        });
        end(DeliveryPolicy.AttemptOutcome.DELIVERED);
        awaitAnswers("one queuedesk-1 DELIVERED", "two queuedesk-1 DELIVERED");
    }

    /** Guards against an endpoint that loses what is known of it, since the entry by which it left the list names no destination. */
    @Test
    void anEndpointThatLeavesAndComesBackIsTheSameOne() throws Exception {
        Set<Long> before = onLoop(() -> Set.copyOf(world.serving.keySet()));
        Directory.Entry gone = new Directory.Entry("platform-s", new InetSocketAddress(0), "", "", 0, false, 0, true);
        for (Directory.Entry entry : List.of(gone, entry("platform-s", 7))) {
            onLoop(() -> {
                world.directories.get("platform").endpointsChanged(false, List.of(entry));
                return null;
            });
        }
        assertEquals(before, onLoop(() -> Set.copyOf(world.serving.keySet())));
    }
}
