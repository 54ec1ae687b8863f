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

/** What AMQP peers are decided by, by example and by property. */
class AmqpDecisionsTest {
    // ---- routes ----

    @Test
    void aKeyGoesWhereTheFirstFittingPatternSays() {
        RoutingTable routes = new RoutingTable().addExchange("x", List.of(new RoutingTable.Route("order.*", "order", 0, 2),
                new RoutingTable.Route("once.#", "once", 5, 0), new RoutingTable.Route("#.last", "order", 9, 0)));
        assertEquals(Optional.of(new RoutingTable.Target("order", 17)), routes.resolve("x", "order.17"));
        assertEquals(Optional.empty(), routes.resolve("x", "order.west"), "no number");
        assertEquals(Optional.empty(), routes.resolve("x", "order.99999999999999999999"), "more than a number holds");
        assertEquals(Optional.of(new RoutingTable.Target("once", 5)), routes.resolve("x", "once"));
        assertEquals(Optional.of(new RoutingTable.Target("once", 5)), routes.resolve("x", "once.a.last"));
        assertEquals(Optional.of(new RoutingTable.Target("order", 9)), routes.resolve("x", "a.b.last"));
        assertEquals(Optional.empty(), routes.resolve("x", "order.1.2"));
        assertEquals(Optional.empty(), routes.resolve("y", "order.17"));
        assertTrue(routes.hasBinding("x", "order.*") && !routes.hasBinding("x", "order.#") && !routes.hasExchange("y"));
    }

    /** Against the specification's words read literally, by recursion. */
    @Property(tries = 2000, seed = "20261201")
    void patternsFitAsTheSpecificationSays(@ForAll @Size(max = 6) List<@IntRange(max = 3) Integer> pattern,
            @ForAll @Size(min = 1, max = 6) List<@IntRange(max = 1) Integer> key) {
        List<String> p = pattern.stream().map(i -> List.of("a", "b", "*", "#").get(i)).toList();
        List<String> k = key.stream().map(i -> List.of("a", "b").get(i)).toList();
        if (p.isEmpty()) {
            return;
        }
        boolean got = new RoutingTable().addExchange("x", List.of(new RoutingTable.Route(String.join(".", p), "c", 1, 0)))
                .resolve("x", String.join(".", k)).isPresent();
        assertEquals(fits(p, k), got, p + " " + k);
    }

    private static boolean fits(List<String> p, List<String> k) {
        if (p.isEmpty()) {
            return k.isEmpty();
        }
        List<String> rest = p.subList(1, p.size());
        if (p.get(0).equals("#")) {
            return fits(rest, k) || !k.isEmpty() && fits(p, k.subList(1, k.size()));
        }
        return !k.isEmpty() && (p.get(0).equals("*") || p.get(0).equals(k.get(0))) && fits(rest, k.subList(1, k.size()));
    }

    // ---- confirms ----

    /** Ends come in any order and in any portions: a publisher that reads confirms literally hears each once, and rightly. */
    @Property(tries = 2000, seed = "20261201")
    void eachPublishIsConfirmedOnceAndRightly(@ForAll @IntRange(min = 1, max = 60) int many, @ForAll long seed) {
        Random random = new Random(seed);
        PublisherConfirms confirms = new PublisherConfirms();
        Map<Long, Boolean> ends = new HashMap<>();
        TreeSet<Long> open = new TreeSet<>();
        TreeMap<Long, Boolean> publisher = new TreeMap<>();
        int published = 0;
        while (published < many || !open.isEmpty()) {
            if (published < many && random.nextBoolean()) {
                long tag = confirms.assignTag();
                assertEquals(++published, tag);
                open.add(tag);
            } else if (!open.isEmpty()) {
                Long tag = new ArrayList<>(open).get(random.nextInt(open.size()));
                boolean ack = random.nextInt(3) > 0;
                assertTrue(confirms.settle(tag, ack));
                assertFalse(confirms.settle(tag, !ack), "an end is final");
                open.remove(tag);
                ends.put(tag, ack);
            }
            if (random.nextInt(4) == 0 || published == many && open.isEmpty()) {
                for (PublisherConfirms.Confirm c : confirms.takeDue()) {
                    long from = c.multiple() ? 1 : c.tag();
                    for (long t = from; t <= c.tag(); t++) {
                        assertFalse(open.contains(t), "confirmed while open: " + t);
                        if (!publisher.containsKey(t)) {
                            publisher.put(t, c.ack());
                        } else {
                            assertTrue(c.multiple() && t < c.tag(), "confirmed twice: " + t);
                        }
                    }
                }
            }
            assertEquals(open.size(), confirms.pending());
        }
        assertEquals(ends, publisher);
        assertEquals(List.of(), confirms.takeDue());
    }

    @Test
    void whatEndsInOrderIsConfirmedByOne() {
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
    void prefetchIsOfEachConsumerOrOfTheChannel() {
        UnackedDeliveries<String> d = new UnackedDeliveries<>(4);
        d.addConsumer("a");
        d.qos(1, false);
        d.addConsumer("b");
        assertFalse(d.addConsumer("b"), "one of each tag");
        assertEquals(List.of(4, 1), List.of(d.prefetchLimit("a"), d.prefetchLimit("b")),
                "qos holds for those that come after it");
        d.deliver("b", "1", 0);
        assertFalse(d.canDeliver("b"));
        assertThrows(IllegalStateException.class, () -> d.deliver("b", "2", 0));
        d.qos(2, true);
        d.deliver("a", "2", 0);
        assertFalse(d.canDeliver("a"), "the channel's count");
        d.qos(0, true);
        assertTrue(d.canDeliver("a"));
        d.flow(false);
        assertFalse(d.canDeliver("a"));
        d.flow(true);
        d.qos(99, false);
        d.addConsumer("c");
        assertEquals(4, d.prefetchLimit("c"), "no more than the operator allows");
        assertTrue(d.removeConsumer("b") && !d.removeConsumer("b") && !d.canDeliver("b"));
        assertEquals("1", d.settle(1, false).orElseThrow().get(0).payload(), "of one that was cancelled too");
    }

    /** Against a plain list of what is out. */
    @Property(tries = 1000, seed = "20261201")
    void eachDeliveryIsSettledOnce(@ForAll long seed) {
        Random random = new Random(seed);
        UnackedDeliveries<Long> d = new UnackedDeliveries<>(8);
        d.addConsumer("a");
        d.addConsumer("b");
        TreeMap<Long, String> out = new TreeMap<>();
        long last = 0;
        for (int i = 0; i < 200; i++) {
            String to = random.nextBoolean() ? "a" : "b";
            long mine = out.values().stream().filter(to::equals).count();
            assertEquals(mine < 8, d.canDeliver(to));
            if (random.nextInt(3) > 0 && mine < 8) {
                last++;
                assertEquals(last, d.deliver(to, last, i));
                out.put(last, to);
                continue;
            }
            long tag = random.nextInt((int) last + 3);
            boolean multiple = random.nextBoolean();
            List<Long> expected = new ArrayList<>(multiple ? tag == 0 ? out.keySet() : out.headMap(tag, true).keySet()
                    : out.containsKey(tag) ? Set.of(tag) : Set.of());
            boolean known = tag <= last && (!expected.isEmpty() || multiple && tag == 0);
            Optional<List<UnackedDeliveries.Delivery<Long>>> settled = d.settle(tag, multiple);
            assertEquals(known, settled.isPresent());
            if (known) {
                assertEquals(expected, settled.get().stream().map(UnackedDeliveries.Delivery::payload).toList());
                expected.forEach(out::remove);
            }
            assertEquals(out.size(), d.count());
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
        assertEquals(Optional.empty(), offer.acceptTuneOk(0, 4095, 0), "the specification's least");
        assertEquals(new Tuning(64, 8192, 5000), offer.tuneOkFor(0, 0, 5));
        assertEquals(new Tuning(2, 4096, 10_000), offer.tuneOkFor(2, 4096, 0));
    }

    @Test
    void aPeerIsGoneAfterTwoHeartbeatsUnlessWeDoNotRead() {
        HeartbeatMonitor alive = new HeartbeatMonitor(1000, 0);
        assertEquals(HeartbeatMonitor.Action.NOTHING, alive.due(499, true));
        assertEquals(HeartbeatMonitor.Action.SEND_HEARTBEAT, alive.due(500, true));
        alive.sent(500);
        assertEquals(HeartbeatMonitor.Action.NOTHING, alive.due(999, true));
        alive.sent(1900);
        assertEquals(HeartbeatMonitor.Action.NOTHING, alive.due(2000, true));
        assertEquals(HeartbeatMonitor.Action.PEER_LOST, alive.due(2001, true));
        assertEquals(HeartbeatMonitor.Action.SEND_HEARTBEAT, alive.due(5000, false), "it is not read: its silence is ours");
        assertEquals(HeartbeatMonitor.Action.SEND_HEARTBEAT, alive.due(5900, true));
        assertEquals(HeartbeatMonitor.Action.PEER_LOST, alive.due(6001, true));
        assertEquals(HeartbeatMonitor.Action.NOTHING, new HeartbeatMonitor(0, 0).due(1e9, true));
    }

    @Test
    void framesComeInTheirOrder() {
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
    void wrongSecretsAreBoundedAndSlowedAndOthersUnharmed() {
        LoginThrottle guard = new LoginThrottle(1, 8);
        assertEquals(LoginThrottle.Verdict.CHECK, guard.admit("eve"));
        assertEquals(LoginThrottle.Verdict.WAIT, guard.admit("eve"));
        assertEquals(LoginThrottle.Verdict.WAIT, guard.admit("eve"));
        assertEquals(LoginThrottle.Verdict.REJECT, guard.admit("eve"), "a quarter of the places at most");
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
        assertEquals(250, guard.recordFailure("desk", 8), "each name by itself");
        assertEquals(250, guard.recordFailure("eve", 70_000), "after a minute it is forgotten");
        for (int i = 10; i < 32; i++) {
            assertTrue(guard.recordFailure("eve", 70_000) > 0);
        }
        assertEquals(0, guard.recordFailure("desk", 70_000), "so many are held back at once, no more");
        guard.failureAnswered();
        guard.failureAnswered();
        assertTrue(guard.recordFailure("desk", 70_000) > 0);
    }

    // ---- who is read ----

    @Test
    void aConnectionIsPausedAtItsMarkAndReadAgainAtHalfOfIt() {
        Backpressure p = new Backpressure(new Backpressure.Load(4, 1000), new Backpressure.Load(100, 10_000));
        assertTrue(p.addLoad(1, 3, 30));
        assertFalse(p.addLoad(1, 1, 10));
        assertTrue(p.mayRead(2));
        assertFalse(p.addLoad(1, -1, -10), "not at once");
        assertTrue(p.addLoad(1, -2, -20));
        assertFalse(p.addLoad(2, 1, 1000), "octets count too");
        p.connectionClosed(2);
        assertEquals(Set.of(), p.paused());
    }

    /** With all together over their mark, one that has little is read on, and some that have much are not. */
    @Property(tries = 500, seed = "20261201")
    void theBoundOfAllHoldsAndNobodyStarves(@ForAll long seed) {
        Random random = new Random(seed);
        int bound = 50;
        Backpressure p = new Backpressure(new Backpressure.Load(20, 1 << 20), new Backpressure.Load(bound, 1 << 20));
        int[] has = new int[8];
        int all = 0;
        for (int i = 0; i < 2000; i++) {
            int who = random.nextInt(has.length);
            if (random.nextInt(5) < 3 && p.mayRead(who)) {
                p.addLoad(who, 1, 1);
                has[who]++;
                all++;
            } else if (has[who] > 0) {
                p.addLoad(who, -1, -1);
                has[who]--;
                all--;
            }
            assertTrue(all <= 2 * bound, "over the bound: " + all);
            assertTrue(has[who] <= 20);
            if (has[who] == 0) {
                assertTrue(p.mayRead(who), "one that has nothing is read");
            }
        }
    }

    @Test
    void bodiesThatHaveBegunAreBoundedByThemselves() {
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
    void oneThatReturnsUnderItsNameIsTheSameEndpoint() {
        ConsumerRegistry c = new ConsumerRegistry(1000);
        String name = ConsumerRegistry.endpointName("q", "u", "t");
        assertTrue(c.canAdd(name, "q", false));
        assertEquals(List.of(new ConsumerRegistry.EndpointUpdate("q/u/t", "q", true, false)), c.add(name, "q", false, 0));
        assertFalse(c.canAdd(name, "q", false), "each name once");
        assertFalse(c.canAdd("q/u/x", "q", true), "exclusive, beside another");
        assertTrue(c.canAdd("q/u/x", "q", false) && c.count("q") == 1);
        assertEquals(List.of(new ConsumerRegistry.EndpointUpdate("q/u/t", "q", false, false)), c.remove(name, 100));
        assertEquals(1100, c.nextExpiryMs().orElseThrow());
        assertEquals(List.of(), c.removeExpired(1099));
        assertTrue(c.canAdd(name, "q", true));
        c.add(name, "q", true, 0);
        assertFalse(c.canAdd("q/u/x", "q", false), "beside an exclusive one");
        assertEquals(List.of(), c.removeExpired(5000), "it is here");
        c.remove(name, 5000);
        assertEquals(List.of(new ConsumerRegistry.EndpointUpdate("q/u/t", "q", false, true)), c.removeExpired(6000));
        assertTrue(c.nextExpiryMs().isEmpty() && c.count("q") == 0);
    }

    @Test
    void thoseOfALowerPriorityStandBy() {
        ConsumerRegistry c = new ConsumerRegistry(1000);
        c.add("low", "q", false, 0);
        assertEquals(List.of(new ConsumerRegistry.EndpointUpdate("low", "q", false, false),
                new ConsumerRegistry.EndpointUpdate("high", "q", true, false)),
                c.add("high", "q", false, 5));
        assertEquals(List.of(new ConsumerRegistry.EndpointUpdate("lower", "q", false, false)), c.add("lower", "q", false, -1));
        assertEquals(List.of(new ConsumerRegistry.EndpointUpdate("other", "p", true, false)),
                c.add("other", "p", false, -9), "of its queue");
        assertEquals(List.of(new ConsumerRegistry.EndpointUpdate("low", "q", true, false),
                new ConsumerRegistry.EndpointUpdate("high", "q", false, false)),
                c.remove("high", 10));
        assertEquals(List.of(new ConsumerRegistry.EndpointUpdate("low", "q", false, false),
                new ConsumerRegistry.EndpointUpdate("high", "q", true, false)),
                c.add("high", "q", false, 5));
    }
}
