package slipfield.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
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
import slipfield.journal.PendingMessage;
import slipfield.journal.ProcessClock;
import slipfield.journal.PendingAnswer;
import slipfield.policy.DeliveryPolicy;
import slipfield.standin.Stub;
import slipfield.trace.Trace;

/** The core among parts in memory: what its ports promise to fronts, transports, directories and outcomes. */
class SenderPortsTest {
    private static final AnswerRecipient ASKS = new AnswerRecipient("queue", "desk-1", true, true);
    private static final long WAIT_MS = 600;
    private static final long LONG_TURN_MS = 60;
    private static final AnswerRecipient DROPS = new AnswerRecipient("queue", "desk-2", true, false);

    @TempDir
    Path folder;
    private final World world = new World();
    private Sender sender;

    /** Every port, in memory. What is out stays out until the test ends it. */
    private final class World implements SenderComponents {
        private final List<Out> out = new CopyOnWriteArrayList<>();
        private final List<String> told = new CopyOnWriteArrayList<>();
        private final Map<String, Directory.EndpointListener> directories = new HashMap<>();
        private final Map<Long, InetSocketAddress> serving = new HashMap<>();
        /** Outcomes that answer; others keep what they are owed. */
        private final List<String> hearing = new CopyOnWriteArrayList<>(List.of("platform", "queue"));
        private List<String> names = List.of("platform");
        private final List<Frontend> fronts = new ArrayList<>();
        private Transport.AttemptListener ends;
        private MessageIntake desk;

        private record Out(PendingMessage message, int number, long startedNanos, Transport.AttemptListener ends)
                implements Transport.Attempt {
            @Override
            public void cancel() {
                ends.ended(this, DeliveryPolicy.AttemptOutcome.CANCELLED, false, 0, DeliveryPolicy.LimitReport.NOTHING);
            }
        }

        @Override
        public Transport transport(EventLoop loop, Transport.AttemptListener told) {
            ends = told;
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
                public Attempt attempt(PendingMessage held, int number, long endpoint, DeliveryPolicy.AttemptTiming within,
                        long decidedNanos) {
                    Out attempt = new Out(held, number, System.nanoTime(), ends);
                    out.add(attempt);
                    return attempt;
                }

                @Override
                public void closeIdle(long endpoint) {
                }
            };
        }

        @Override
        public Map<String, AnswerChannel> answerChannels(EventLoop loop, Consumer<PendingAnswer> heard) {
            Map<String, AnswerChannel> all = new LinkedHashMap<>();
            for (String name : List.of("platform", "queue")) {
                all.put(name, new AnswerChannel() {
                    private int kept;

                    @Override
                    public void enqueue(PendingAnswer answer) {
                        if (!hearing.contains(name)) {
                            kept++;
                            return;
                        }
                        told.add(answer.message().id + " " + name + answer.recipient().peer() + " "
                                + answer.message().pendingNotice.orElseThrow().answer());
                        heard.accept(answer);
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
            desk = core;
            return fronts;
        }

        @Override
        public void enableTrace(Trace trace) {
        }

        @Override
        public void warmUp(EventLoop loop, long mostMs, Runnable then) {
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
        Stub.await("it is ready", () -> on(() -> world.desk.ready()));
    }

    @AfterEach
    void close() {
        sender.kill();
    }

    private void restart() throws Exception {
        sender.kill();
        world.out.clear();
        start();
    }

    private <T> T on(Supplier<T> asked) {
        return sender.loop().inEventLoop() ? asked.get() : sender.loop().submit(asked::get).syncUninterruptibly().getNow();
    }

    /** A front's way to hand in: what is known of the id first, then the message itself. */
    private String handIn(String id, String type, AnswerRecipient claim) {
        return on(() -> {
            Optional<MessageIntake.DuplicateState> known = world.desk.checkDuplicate(id, claim);
            if (known.isPresent()) {
                return known.get().name();
            }
            MessageIntake.SubmissionResult taking = world.desk.submit(new MessageIntake.Submission(id, type, "acme", Optional.empty(), 7, 20_000,
                    new byte[] {1}, List.of(claim)));
            taking.message().ifPresent(held -> world.desk.acceptanceReported(held, world.desk.writeAccepted()));
            return taking.message().isPresent() ? "taken" : taking.reason();
        });
    }

    private void end(DeliveryPolicy.AttemptOutcome outcome) throws Exception {
        Stub.await("an attempt", () -> !world.out.isEmpty());
        World.Out attempt = world.out.remove(0);
        on(() -> {
            attempt.ends().ended(attempt, outcome, false, 0, DeliveryPolicy.LimitReport.NOTHING);
            return null;
        });
    }

    private void awaitTold(String... lines) throws Exception {
        Stub.await(List.of(lines) + " of " + world.told, () -> world.told.size() >= lines.length);
        // What is told twice would come in the same turn, which is over by the time that the loop answers.
        on(() -> null);
        assertEquals(new ArrayList<>(List.of(lines)), new ArrayList<>(world.told));
    }

    @Test
    void whoAsksIsToldOfADeliveryOnceAndThePlatformIsNot() throws Exception {
        assertEquals("taken", handIn("one", "order", ASKS));
        assertEquals("taken", handIn("two", "order", AnswerRecipient.PLATFORM));
        end(DeliveryPolicy.AttemptOutcome.DELIVERED);
        end(DeliveryPolicy.AttemptOutcome.DELIVERED);
        awaitTold("one queuedesk-1 DELIVERED");
        restart();
        assertEquals(1, world.told.size());
        assertEquals("DELIVERED", handIn("one", "order", ASKS));
    }

    /**
     * Guards against a call that is written into a told wait: its turn took long, and the answer that tells the wait lay unread
     * between the decision and the write.
     */
    @Test
    void aWaitThatIsToldDuringALongTurnHoldsForWhatThatTurnDecided() throws Exception {
        assertEquals("taken", handIn("refused", "order", AnswerRecipient.PLATFORM));
        Stub.await("its attempt", () -> world.out.size() == 1);
        World.Out refused = world.out.remove(0);
        AtomicLong toldNanos = new AtomicLong();
        on(() -> {
            // Comes with the sockets' next turn, as what lies unread in one of them.
            sender.loop().schedule(() -> {
                toldNanos.set(System.nanoTime());
                refused.ends().ended(refused, DeliveryPolicy.AttemptOutcome.FULL, false, WAIT_MS,
                        DeliveryPolicy.LimitReport.NOTHING);
            }, 0, TimeUnit.MILLISECONDS);
            String taken = handIn("decided", "order", AnswerRecipient.PLATFORM);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(LONG_TURN_MS));
            return taken;
        });
        Stub.await("an attempt after the wait", () -> !world.out.isEmpty());
        long afterMs = TimeUnit.NANOSECONDS.toMillis(world.out.get(0).startedNanos() - toldNanos.get());
        assertTrue(afterMs >= WAIT_MS - 1, "an attempt began " + afterMs + " ms after the wait was told");
    }

    /** One connection, on which a request has been read and has no answer yet; it is answered in a later turn. */
    private final class ReadAndUnanswered implements Frontend {
        private final EventLoop on = sender.loop();
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
                on.schedule(() -> clients = 0, 50, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public int openConnections() {
            return clients;
        }
    }

    /** A request that was read is not left without an answer by the end of the process; one that never is holds nothing up. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void theEndWaitsForTheAnswerToWhatWasRead(boolean answered) throws Exception {
        ReadAndUnanswered front = new ReadAndUnanswered();
        front.asked = !answered;
        on(() -> world.fronts.add(front));
        sender.drain();
        assertEquals(answered ? 0 : 1, on(front::openConnections));
    }

    @Test
    void theSameIdByTwoFrontsIsOneMessageAndEachIsToldOnce() throws Exception {
        assertEquals("taken", handIn("one", "once", AnswerRecipient.PLATFORM));
        assertEquals("PENDING", handIn("one", "once", ASKS));
        assertEquals("PENDING", handIn("one", "once", ASKS));
        end(DeliveryPolicy.AttemptOutcome.ERROR);
        awaitTold("one platform FAILED", "one queuedesk-1 FAILED");
        assertTrue(world.out.isEmpty(), "one message, one attempt");
    }

    @Test
    void aClaimOutlivesTheProcess() throws Exception {
        assertEquals("taken", handIn("one", "order", ASKS));
        assertEquals("PENDING", handIn("one", "order", DROPS));
        restart();
        end(DeliveryPolicy.AttemptOutcome.DELIVERED);
        awaitTold("one queuedesk-1 DELIVERED", "one queuedesk-2 DELIVERED");
        restart();
        assertEquals(2, world.told.size(), "nobody is told again");
    }

    @Test
    void whatASecondFrontWasToldIsHeldIsNotWithdrawnWhenTheFirstOneGoes() throws Exception {
        String known = on(() -> {
            PendingMessage held = world.desk.submit(new MessageIntake.Submission("one", "once", "acme", Optional.empty(), 7, 20_000,
                    new byte[] {1}, List.of(DROPS))).message().orElseThrow();
            world.desk.writeAccepted();
            String second = world.desk.checkDuplicate("one", ASKS).orElseThrow().name();
            // The first one's connection is gone before its answer was out.
            world.desk.acceptanceReported(held, false);
            return second;
        });
        assertEquals("PENDING", known);
        end(DeliveryPolicy.AttemptOutcome.DELIVERED);
        awaitTold("one queuedesk-2 DELIVERED", "one queuedesk-1 DELIVERED");
    }

    @Test
    void anAnswerIsKeptForWhoIsAwayAndDroppedWhereThatWasAsked() throws Exception {
        assertEquals("taken", handIn("one", "order", ASKS));
        assertEquals("taken", handIn("two", "order", DROPS));
        on(() -> {
            world.desk.recipientGone("queue", "desk-1");
            world.desk.recipientGone("queue", "desk-2");
            return null;
        });
        world.hearing.remove("queue");
        end(DeliveryPolicy.AttemptOutcome.DELIVERED);
        end(DeliveryPolicy.AttemptOutcome.DELIVERED);
        Stub.await("both are over", () -> handIn("two", "order", DROPS).equals("DELIVERED")
                && handIn("one", "order", ASKS).equals("DELIVERED"));
        assertEquals(List.of(), world.told);
        world.hearing.add("queue");
        restart();
        awaitTold("one queuedesk-1 DELIVERED");
    }

    @Test
    void whoHeardBeforeTheEndOfTheProcessIsNotToldAgainWhenAnotherIs() throws Exception {
        assertEquals("taken", handIn("one", "once", AnswerRecipient.PLATFORM));
        assertEquals("PENDING", handIn("one", "once", ASKS));
        world.hearing.remove("queue");
        end(DeliveryPolicy.AttemptOutcome.ERROR);
        awaitTold("one platform FAILED");
        world.hearing.add("queue");
        restart();
        awaitTold("one platform FAILED", "one queuedesk-1 FAILED");
    }

    @Test
    void aDirectoryThatDiesLeavesItsLastListStanding() throws Exception {
        world.names = List.of("platform", "consul");
        restart();
        on(() -> {
            world.directories.get("platform").endpointsChanged(true, List.of(entry("platform-t", 7)));
            return null;
        });
        assertEquals(2, on(() -> world.serving.size()), "the new one and the other directory's");
        assertEquals("taken", handIn("one", "order", ASKS));
        end(DeliveryPolicy.AttemptOutcome.DELIVERED);
        awaitTold("one queuedesk-1 DELIVERED");
    }
}
