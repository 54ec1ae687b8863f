package slipfield.amqp.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Example and property tests of the decisions of an AMQP peer. */
class AmqpDecisionsTest {
    // ---- routes ----

    @Test
    void aKeyIsRoutedByTheFirstMatchingPattern() {
        RoutingTable routes = new RoutingTable().addExchange("x", List.of(new RoutingTable.Route("order.*", "order", 0, 2),
                new RoutingTable.Route("once.#", "once", 5, 0), new RoutingTable.Route("#.last", "order", 9, 0)));
        assertEquals(Optional.of(new RoutingTable.Target("order", 17)), routes.resolve("x", "order.17"));
        assertEquals(Optional.empty(), routes.resolve("x", "order.west"), "the word is not a number");
        assertEquals(Optional.empty(), routes.resolve("x", "order.99999999999999999999"), "the number is too large");
        assertEquals(Optional.of(new RoutingTable.Target("once", 5)), routes.resolve("x", "once"));
        assertEquals(Optional.of(new RoutingTable.Target("once", 5)), routes.resolve("x", "once.a.last"));
        assertEquals(Optional.of(new RoutingTable.Target("order", 9)), routes.resolve("x", "a.b.last"));
        assertEquals(Optional.empty(), routes.resolve("x", "order.1.2"));
        assertEquals(Optional.empty(), routes.resolve("y", "order.17"));
        assertTrue(routes.hasBinding("x", "order.*") && !routes.hasBinding("x", "order.#") && !routes.hasExchange("y"));
    }

    /** Compares with a recursive implementation that follows the wording of the specification. */
    @Property(tries = 2000, seed = "20261201")
    void patternsMatchAsSpecified(@ForAll @Size(max = 6) List<@IntRange(max = 3) Integer> pattern,
            @ForAll @Size(min = 1, max = 6) List<@IntRange(max = 1) Integer> key) {
        List<String> p = pattern.stream().map(i -> List.of("a", "b", "*", "#").get(i)).toList();
        List<String> k = key.stream().map(i -> List.of("a", "b").get(i)).toList();
        if (p.isEmpty()) {
            return;
        }
        boolean matched = new RoutingTable().addExchange("x", List.of(new RoutingTable.Route(String.join(".", p), "c", 1, 0)))
                .resolve("x", String.join(".", k)).isPresent();
        assertEquals(matches(p, k), matched, p + " " + k);
    }

    private static boolean matches(List<String> p, List<String> k) {
        if (p.isEmpty()) {
            return k.isEmpty();
        }
        List<String> rest = p.subList(1, p.size());
        if (p.get(0).equals("#")) {
            return matches(rest, k) || !k.isEmpty() && matches(p, k.subList(1, k.size()));
        }
        return !k.isEmpty() && (p.get(0).equals("*") || p.get(0).equals(k.get(0))) && matches(rest, k.subList(1, k.size()));
    }

    // ---- confirms ----

    /**
     * Results come in any order, and confirms are taken at any time: a publisher that reads the confirms as specified must
     * get exactly one, correct confirm for each publish.
     */
    @Property(tries = 2000, seed = "20261201")
    void eachPublishIsConfirmedOnceAndCorrectly(@ForAll @IntRange(min = 1, max = 60) int count, @ForAll long seed) {
        Random random = new Random(seed);
        PublisherConfirms confirms = new PublisherConfirms();
        Map<Long, Boolean> results = new HashMap<>();
        TreeSet<Long> pending = new TreeSet<>();
        TreeMap<Long, Boolean> publisher = new TreeMap<>();
        int published = 0;
        while (published < count || !pending.isEmpty()) {
            if (published < count && random.nextBoolean()) {
                long tag = confirms.assignTag();
                assertEquals(++published, tag);
                pending.add(tag);
            } else if (!pending.isEmpty()) {
                Long tag = new ArrayList<>(pending).get(random.nextInt(pending.size()));
                boolean ack = random.nextInt(3) > 0;
                assertTrue(confirms.settle(tag, ack));
                assertFalse(confirms.settle(tag, !ack), "a result is final");
                pending.remove(tag);
                results.put(tag, ack);
            }
            if (random.nextInt(4) == 0 || published == count && pending.isEmpty()) {
                for (PublisherConfirms.Confirm c : confirms.takeDue()) {
                    long from = c.multiple() ? 1 : c.tag();
                    for (long t = from; t <= c.tag(); t++) {
                        assertFalse(pending.contains(t), "confirmed while pending: " + t);
                        if (!publisher.containsKey(t)) {
                            publisher.put(t, c.ack());
                        } else {
                            assertTrue(c.multiple() && t < c.tag(), "confirmed twice: " + t);
                        }
                    }
                }
            }
            assertEquals(pending.size(), confirms.pending());
        }
        assertEquals(results, publisher);
        assertEquals(List.of(), confirms.takeDue());
    }

    @Test
    void resultsInOrderAreConfirmedTogether() {
        PublisherConfirms confirms = new PublisherConfirms();
        for (int i = 0; i < 5; i++) {
            confirms.assignTag();
        }
        confirms.settle(3, true);
        assertEquals(List.of(new PublisherConfirms.Confirm(3, false, true)), confirms.takeDue());
        confirms.settle(1, true);
        confirms.settle(2, true);
        confirms.settle(4, false);
        assertEquals(List.of(new PublisherConfirms.Confirm(2, true, true), new PublisherConfirms.Confirm(4, false, false)),
                confirms.takeDue());
        assertFalse(confirms.settle(9, true), "never published");
    }

    // ---- deliveries ----

    @Test
    void prefetchAppliesToEachConsumerOrToTheChannel() {
        UnackedDeliveries<String> d = new UnackedDeliveries<>(4);
        d.addConsumer("a");
        d.qos(1, false);
        d.addConsumer("b");
        assertFalse(d.addConsumer("b"), "tags are unique");
        assertEquals(List.of(4, 1), List.of(d.prefetchLimit("a"), d.prefetchLimit("b")),
                "qos applies to consumers added after it");
        d.deliver("b", "1", 0);
        assertFalse(d.canDeliver("b"));
        assertThrows(IllegalStateException.class, () -> d.deliver("b", "2", 0));
        d.qos(2, true);
        d.deliver("a", "2", 0);
        assertFalse(d.canDeliver("a"), "the channel's limit is reached");
        d.qos(0, true);
        assertTrue(d.canDeliver("a"));
        d.flow(false);
        assertFalse(d.canDeliver("a"));
        d.flow(true);
        d.qos(99, false);
        d.addConsumer("c");
        assertEquals(4, d.prefetchLimit("c"), "the operator's limit");
        assertTrue(d.removeConsumer("b") && !d.removeConsumer("b") && !d.canDeliver("b"));
        assertEquals("1", d.settle(1, false).orElseThrow().get(0).payload(), "deliveries of a cancelled consumer can be settled");
    }

    /** Compares with a plain map of the unsettled deliveries. */
    @Property(tries = 1000, seed = "20261201")
    void eachDeliveryIsSettledOnce(@ForAll long seed) {
        Random random = new Random(seed);
        UnackedDeliveries<Long> d = new UnackedDeliveries<>(8);
        d.addConsumer("a");
        d.addConsumer("b");
        TreeMap<Long, String> unsettled = new TreeMap<>();
        long last = 0;
        for (int i = 0; i < 200; i++) {
            String to = random.nextBoolean() ? "a" : "b";
            long own = unsettled.values().stream().filter(to::equals).count();
            assertEquals(own < 8, d.canDeliver(to));
            if (random.nextInt(3) > 0 && own < 8) {
                last++;
                assertEquals(last, d.deliver(to, last, i));
                unsettled.put(last, to);
                continue;
            }
            long tag = random.nextInt((int) last + 3);
            boolean multiple = random.nextBoolean();
            List<Long> expected = new ArrayList<>(multiple ? tag == 0 ? unsettled.keySet() : unsettled.headMap(tag, true).keySet()
                    : unsettled.containsKey(tag) ? Set.of(tag) : Set.of());
            boolean known = tag <= last && (!expected.isEmpty() || multiple && tag == 0);
            Optional<List<UnackedDeliveries.Delivery<Long>>> settled = d.settle(tag, multiple);
            assertEquals(known, settled.isPresent());
            if (known) {
                assertEquals(expected, settled.get().stream().map(UnackedDeliveries.Delivery::payload).toList());
                expected.forEach(unsettled::remove);
            }
            assertEquals(unsettled.size(), d.count());
        }
    }

    // ---- tuning, heartbeats, contents ----

    @Test
    void aClientMayAskForLessAndNotForMore() {
        Tuning offer = new Tuning(64, 8192, 10_000);
        assertEquals(Optional.of(offer), offer.acceptTuneOk(0, 0, 10));
        assertEquals(Optional.of(new Tuning(3, 4096, 0)), offer.acceptTuneOk(3, 4096, 0));
        assertEquals(Optional.empty(), offer.acceptTuneOk(65, 0, 0));
        assertEquals(Optional.empty(), offer.acceptTuneOk(0, 8193, 0));
        assertEquals(Optional.empty(), offer.acceptTuneOk(0, 4095, 0), "the specification's minimum");
        assertEquals(new Tuning(64, 8192, 5000), offer.tuneOkFor(0, 0, 5));
        assertEquals(new Tuning(2, 4096, 10_000), offer.tuneOkFor(2, 4096, 0));
    }

    @Test
    void aPeerIsLostAfterTwoSilentIntervalsUnlessItIsNotRead() {
        HeartbeatMonitor alive = new HeartbeatMonitor(1000, 0);
        assertEquals(HeartbeatMonitor.Action.NOTHING, alive.due(499, true));
        assertEquals(HeartbeatMonitor.Action.SEND_HEARTBEAT, alive.due(500, true));
        alive.sent(500);
        assertEquals(HeartbeatMonitor.Action.NOTHING, alive.due(999, true));
        alive.sent(1900);
        assertEquals(HeartbeatMonitor.Action.NOTHING, alive.due(2000, true));
        assertEquals(HeartbeatMonitor.Action.PEER_LOST, alive.due(2001, true));
        assertEquals(HeartbeatMonitor.Action.SEND_HEARTBEAT, alive.due(5000, false),
                "silence says nothing while the connection is not read");
        assertEquals(HeartbeatMonitor.Action.SEND_HEARTBEAT, alive.due(5900, true));
        assertEquals(HeartbeatMonitor.Action.PEER_LOST, alive.due(6001, true));
        assertEquals(HeartbeatMonitor.Action.NOTHING, new HeartbeatMonitor(0, 0).due(1e9, true));
    }

    @Test
    void framesOutOfOrderAreReported() {
        ContentAssembler a = new ContentAssembler(10);
        assertEquals(ContentAssembler.Step.COMPLETE, a.method(false));
        assertEquals(ContentAssembler.Step.UNEXPECTED, a.header(1));
        assertEquals(ContentAssembler.Step.UNEXPECTED, a.body(1));
        assertEquals(ContentAssembler.Step.INCOMPLETE, a.method(true));
        assertEquals(ContentAssembler.Step.UNEXPECTED, a.method(false));
        assertEquals(ContentAssembler.Step.UNEXPECTED, a.body(1));
        assertEquals(ContentAssembler.Step.TOO_LARGE, a.header(11));
        assertEquals(ContentAssembler.Step.INCOMPLETE, a.header(10));
        assertEquals(ContentAssembler.Step.INCOMPLETE, a.body(0));
        assertEquals(ContentAssembler.Step.INCOMPLETE, a.body(9));
        assertEquals(ContentAssembler.Step.OVERRUN, a.body(2));
        assertEquals(Optional.of("1 octets of a body"), a.expected());
        assertEquals(ContentAssembler.Step.COMPLETE, a.body(1));
        assertEquals(ContentAssembler.Step.INCOMPLETE, a.method(true));
        assertEquals(ContentAssembler.Step.COMPLETE, a.header(0));
        assertEquals(Optional.empty(), a.expected());
    }

    // ---- logins ----

    @Test
    void wrongSecretsAreLimitedAndDelayedWithoutAffectingOthers() {
        LoginThrottle guard = new LoginThrottle(1, 8);
        assertEquals(LoginThrottle.Verdict.CHECK, guard.admit("eve"));
        assertEquals(LoginThrottle.Verdict.WAIT, guard.admit("eve"));
        assertEquals(LoginThrottle.Verdict.WAIT, guard.admit("eve"));
        assertEquals(LoginThrottle.Verdict.REJECT, guard.admit("eve"), "one name may use a quarter of the waiting places");
        assertEquals(LoginThrottle.Verdict.WAIT, guard.admit("desk"));
        assertTrue(guard.checkFinished());
        guard.startQueued("eve");
        assertTrue(guard.checkFinished());
        guard.startQueued("eve");
        assertTrue(guard.checkFinished());
        guard.startQueued("desk");
        assertFalse(guard.checkFinished());
        assertEquals(LoginThrottle.Verdict.CHECK, guard.admit("eve"));
        List<Double> delays = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            delays.add(guard.recordFailure("eve", i));
        }
        assertEquals(List.of(250.0, 500.0, 1000.0, 2000.0, 4000.0, 8000.0, 8000.0, 8000.0), delays);
        assertEquals(250, guard.recordFailure("desk", 8), "failures count per name");
        assertEquals(250, guard.recordFailure("eve", 70_000), "failures are forgotten after a minute");
        for (int i = 10; i < 32; i++) {
            assertTrue(guard.recordFailure("eve", 70_000) > 0);
        }
        assertEquals(0, guard.recordFailure("desk", 70_000), "at most 32 answers are delayed at the same time");
        guard.failureAnswered();
        guard.failureAnswered();
        assertTrue(guard.recordFailure("desk", 70_000) > 0);
    }

    // ---- back pressure ----

    @Test
    void aConnectionIsPausedAtItsLimitAndResumedAtHalfOfIt() {
        Backpressure p = new Backpressure(new Backpressure.Load(4, 1000), new Backpressure.Load(100, 10_000));
        assertTrue(p.addLoad(1, 3, 30));
        assertFalse(p.addLoad(1, 1, 10));
        assertTrue(p.mayRead(2));
        assertFalse(p.addLoad(1, -1, -10), "it is not resumed right below the limit");
        assertTrue(p.addLoad(1, -2, -20));
        assertFalse(p.addLoad(2, 1, 1000), "octets are limited too");
        p.connectionClosed(2);
        assertEquals(Set.of(), p.paused());
    }

    /** When all connections together exceed the limit, those with little load are still read and those with much are not. */
    @Property(tries = 500, seed = "20261201")
    void theTotalLimitHoldsAndNoConnectionStarves(@ForAll long seed) {
        Random random = new Random(seed);
        int limit = 50;
        Backpressure backpressure = new Backpressure(new Backpressure.Load(20, 1 << 20), new Backpressure.Load(limit, 1 << 20));
        int[] loads = new int[8];
        int total = 0;
        for (int i = 0; i < 2000; i++) {
            int connection = random.nextInt(loads.length);
            if (random.nextInt(5) < 3 && backpressure.mayRead(connection)) {
                backpressure.addLoad(connection, 1, 1);
                loads[connection]++;
                total++;
            } else if (loads[connection] > 0) {
                backpressure.addLoad(connection, -1, -1);
                loads[connection]--;
                total--;
            }
            assertTrue(total <= 2 * limit, "over twice the limit: " + total);
            assertTrue(loads[connection] <= 20);
            if (loads[connection] == 0) {
                assertTrue(backpressure.mayRead(connection), "a connection without load is read");
            }
        }
    }

    @Test
    void incompleteBodiesAreLimitedSeparately() {
        Backpressure p = new Backpressure(new Backpressure.Load(4, 1000), new Backpressure.Load(100, 1500));
        assertTrue(p.tryStartBody(1, 600));
        assertFalse(p.tryStartBody(1, 600));
        assertTrue(p.tryStartBody(2, 900));
        assertFalse(p.tryStartBody(3, 1));
        p.bodyDone(1, 600);
        assertTrue(p.tryStartBody(3, 600));
        p.connectionClosed(2);
        assertTrue(p.tryStartBody(1, 900));
    }

    // ---- consumers as endpoints ----

    @Test
    void aConsumerThatReturnsUnderItsNameIsTheSameEndpoint() {
        ConsumerRegistry c = new ConsumerRegistry(1000);
        String name = ConsumerRegistry.endpointName("q", "u", "t");
        assertTrue(c.canAdd(name, "q", false));
        assertEquals(List.of(new ConsumerRegistry.EndpointUpdate("q/u/t", "q", true, false)), c.add(name, "q", false, 0));
        assertFalse(c.canAdd(name, "q", false), "names are unique");
        assertFalse(c.canAdd("q/u/x", "q", true), "an exclusive one beside another");
        assertTrue(c.canAdd("q/u/x", "q", false) && c.count("q") == 1);
        assertEquals(List.of(new ConsumerRegistry.EndpointUpdate("q/u/t", "q", false, false)), c.remove(name, 100));
        assertEquals(1100, c.nextExpiryMs().orElseThrow());
        assertEquals(List.of(), c.removeExpired(1099));
        assertTrue(c.canAdd(name, "q", true));
        c.add(name, "q", true, 0);
        assertFalse(c.canAdd("q/u/x", "q", false), "beside an exclusive one");
        assertEquals(List.of(), c.removeExpired(5000), "a present consumer does not expire");
        c.remove(name, 5000);
        assertEquals(List.of(new ConsumerRegistry.EndpointUpdate("q/u/t", "q", false, true)), c.removeExpired(6000));
        assertTrue(c.nextExpiryMs().isEmpty() && c.count("q") == 0);
    }

    @Test
    void consumersOfLowerPriorityStandBy() {
        ConsumerRegistry c = new ConsumerRegistry(1000);
        c.add("low", "q", false, 0);
        assertEquals(List.of(new ConsumerRegistry.EndpointUpdate("low", "q", false, false),
                new ConsumerRegistry.EndpointUpdate("high", "q", true, false)),
                c.add("high", "q", false, 5));
        assertEquals(List.of(new ConsumerRegistry.EndpointUpdate("lower", "q", false, false)), c.add("lower", "q", false, -1));
        assertEquals(List.of(new ConsumerRegistry.EndpointUpdate("other", "p", true, false)),
                c.add("other", "p", false, -9), "priority is compared within a queue");
        assertEquals(List.of(new ConsumerRegistry.EndpointUpdate("low", "q", true, false),
                new ConsumerRegistry.EndpointUpdate("high", "q", false, false)),
                c.remove("high", 10));
        assertEquals(List.of(new ConsumerRegistry.EndpointUpdate("low", "q", false, false),
                new ConsumerRegistry.EndpointUpdate("high", "q", true, false)),
                c.add("high", "q", false, 5));
    }
}
