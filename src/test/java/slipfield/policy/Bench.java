package slipfield.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import slipfield.policy.DeliveryPolicy.AttemptOutcome;
import slipfield.policy.DeliveryPolicy.RepeatSafety;

/** A caller of the module for tests: a clock, recorded actions and, where strict, a check of the rules. */
final class Bench implements DeliveryPolicy.Actions {
    private static final double STEP = 5;

    record Sent(long message, int attempt, long endpoint, double at, double timeout) {
    }

    private record Due(double at, long number, Runnable event) {
    }

    final List<Sent> sends = new ArrayList<>();
    final List<String> cancels = new ArrayList<>();
    final List<Long> closes = new ArrayList<>();
    final List<String> answers = new ArrayList<>();
    final List<Double> wakes = new ArrayList<>();
    final Map<Long, DeliveryPolicy.Health> health = new HashMap<>();
    final List<DeliveryPolicy.SendRate> paces = new ArrayList<>();
    final List<Double> waits = new ArrayList<>();
    final DeliveryPolicy policy;
    Consumer<Sent> onSend = s -> { };
    boolean strict;
    double listedRate;
    double toldRate;
    double now;

    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::number));
    private final Map<Long, DeliveryPolicy.Message> messages = new HashMap<>();
    private final Map<Long, Integer> attempts = new HashMap<>();
    private final Map<Long, DeliveryPolicy.Endpoint> endpoints = new HashMap<>();
    private final Map<String, AttemptOutcome> ends = new HashMap<>();
    private final Set<Long> over = new HashSet<>();
    private final Map<String, List<Long>> byKey = new HashMap<>();
    private long count;

    Bench() {
        this(10);
    }

    Bench(int slots) {
        this(slots, 2);
    }

    Bench(int slots, int senders) {
        this(slots, senders, 7);
    }

    Bench(int slots, int senders, long seed) {
        List<DeliveryPolicy.Kind> kinds =
                List.of(new DeliveryPolicy.Kind(false, 1), new DeliveryPolicy.Kind(false, 5), new DeliveryPolicy.Kind(true, 1));
        DeliveryPolicy.Settings settings = new DeliveryPolicy.Settings(WaveDeliveryPolicyTest.CLASSES, kinds, true,
                DeliveryPolicy.Decay.LINEAR,
                List.of(0.0, 0.06), senders, slots, 12, true, true, 500, 15_000,
                new DeliveryPolicy.ColdStart(0.2, 12_000, 2, 1500));
        policy = DeliveryPolicy.create(settings, seed, this);
    }

    Bench list(long destination, long... ids) {
        for (long id : ids) {
            entry(id, destination, 0, 0, true);
        }
        return this;
    }

    Bench entry(long id, long destination, int kind, int zone, boolean serving) {
        DeliveryPolicy.Endpoint entry = new DeliveryPolicy.Endpoint(id, destination, kind, zone, serving, listedRate);
        endpoints.put(id, entry);
        policy.endpointsChanged(now, false, List.of(entry));
        policy.endIteration(now);
        return this;
    }

    void gone(long id, long destination) {
        policy.endpointsChanged(now, false, List.of(new DeliveryPolicy.Endpoint(id, destination, 0, 0, false, listedRate, true)));
        policy.endIteration(now);
    }

    void take(long id, int type, long destination) {
        take(id, type, destination, "key " + id);
    }

    void take(long id, int type, long destination, String key) {
        handIn(id, type, destination, key);
        policy.endIteration(now);
    }

    void takeTogether(int many, int type, long destination) {
        for (long id = 1; id <= many; id++) {
            handIn(id, type, destination, "key " + id);
        }
        policy.endIteration(now);
    }

    /** One message each so many milliseconds, numbered on from those taken before, until that time. */
    void takeEvery(double gap, int type, long destination, double end) {
        while (now < end) {
            take(messages.size(), type, destination);
            until(now + gap);
        }
    }

    private void handIn(long id, int type, long destination, String key) {
        DeliveryPolicy.Message m = new DeliveryPolicy.Message(id, type, 0, Optional.of(key), 16_000, destination);
        policy.messageAccepted(now, m);
        messages.put(id, m);
        if (WaveDeliveryPolicyTest.CLASSES.get(type).inOrder()) {
            byKey.computeIfAbsent(key, k -> new ArrayList<>()).add(id);
        }
    }

    /** A message of an earlier life, with the attempts made then. */
    void resume(long id, int type, long destination, double leftMs, List<DeliveryPolicy.PreviousAttempt> earlier) {
        resumeInTurn(id, type, destination, leftMs, earlier);
        policy.endIteration(now);
    }

    void resumeInTurn(long id, int type, long destination, double leftMs, List<DeliveryPolicy.PreviousAttempt> earlier) {
        DeliveryPolicy.Message m = new DeliveryPolicy.Message(id, type, 0, Optional.of("key " + id), leftMs, destination);
        attempts.put(id, earlier.size());
        messages.put(id, m);
        policy.messageRestored(now, m, earlier);
    }

    void end(long message, int attempt, AttemptOutcome outcome) {
        end(message, attempt, outcome, 0);
    }

    void end(long message, int attempt, AttemptOutcome outcome, double waitMs) {
        boolean finished = outcome == AttemptOutcome.DELIVERED || over.contains(message);
        ends.put(message + "/" + attempt, outcome);
        if (outcome == AttemptOutcome.DELIVERED) {
            over.add(message);
        }
        policy.attemptEnded(now, new DeliveryPolicy.AttemptEnd(message, attempt, outcome, 10, finished, waitMs,
                new DeliveryPolicy.LimitReport(toldRate, -1)));
        policy.endIteration(now);
    }

    void endLater(Sent s, AttemptOutcome outcome, double took) {
        at(now + took, () -> {
            if (!ends.containsKey(s.message + "/" + s.attempt)) {
                end(s.message, s.attempt, outcome);
            }
        });
    }

    void withdraw(long id) {
        over.add(id);
        policy.messageWithdrawn(now, id);
        policy.endIteration(now);
    }

    void at(double time, Runnable event) {
        due.add(new Due(time, count++, event));
    }

    /** Lets time pass up to this moment, in steps of the caller's tick. */
    void until(double end) {
        while (now + STEP <= end) {
            now += STEP;
            while (!due.isEmpty() && due.peek().at <= now) {
                due.remove().event.run();
            }
        }
    }

    long delivered() {
        return ends.values().stream().filter(o -> o == AttemptOutcome.DELIVERED).count();
    }

    List<Long> sent() {
        return sends.stream().map(Sent::message).toList();
    }

    void allAnswered() {
        for (long id : messages.keySet()) {
            assertTrue(over.contains(id), "message " + id + " got no answer");
        }
    }

    @Override
    public void send(long message, long endpoint, DeliveryPolicy.AttemptTiming within) {
        int attempt = attempts.merge(message, 1, Integer::sum) - 1;
        Sent s = new Sent(message, attempt, endpoint, now, within.timeoutMs());
        if (strict) {
            check(s, within);
        }
        sends.add(s);
        onSend.accept(s);
    }

    private void check(Sent s, DeliveryPolicy.AttemptTiming within) {
        DeliveryPolicy.Message m = messages.get(s.message);
        DeliveryPolicy.MessageClass type = WaveDeliveryPolicyTest.CLASSES.get(m.messageClass());
        assertFalse(over.contains(s.message), "sent after the end");
        assertTrue(endpoints.get(s.endpoint).serving(), "sent to a draining endpoint");
        assertEquals(m.destination(), endpoints.get(s.endpoint).destination());
        for (Sent earlier : sends) {
            if (earlier.message != s.message) {
                continue;
            }
            AttemptOutcome outcome = ends.get(earlier.message + "/" + earlier.attempt);
            if (outcome != null && !outcome.mayHaveRun()) {
                continue;
            }
            assertFalse(type.repeatSafety() == RepeatSafety.UNSAFE, "an unsafe message may have run twice");
            if (type.repeatSafety() == RepeatSafety.KEYED) {
                assertTrue(now + within.latestWriteMs() <= earlier.at + type.deduplicationWindowMs(),
                        "may come outside the window");
                assertTrue(!type.sameZone()
                        || endpoints.get(earlier.endpoint).zone() == endpoints.get(s.endpoint).zone());
            }
        }
        if (type.inOrder()) {
            for (long other : byKey.get(m.key().orElseThrow())) {
                if (other == s.message) {
                    break;
                }
                assertTrue(over.contains(other), "an earlier message of the key is unfinished");
                for (int i = 0; i < attempts.getOrDefault(other, 0); i++) {
                    assertTrue(ends.containsKey(other + "/" + i), "an earlier attempt of the key is out");
                }
            }
        }
    }

    @Override
    public void cancel(long message, int attempt) {
        cancels.add(message + "/" + attempt);
        if (strict) {
            at(now, () -> {
                if (!ends.containsKey(message + "/" + attempt)) {
                    end(message, attempt, AttemptOutcome.CANCELLED);
                }
            });
        }
    }

    @Override
    public void closeIdle(long endpoint) {
        closes.add(endpoint);
    }

    @Override
    public void refuse(long message, double waitMs) {
        waits.add(waitMs);
        if (strict) {
            RepeatSafety effect = WaveDeliveryPolicyTest.CLASSES.get(messages.get(message).messageClass()).repeatSafety();
            for (int i = 0; effect == RepeatSafety.UNSAFE && i < attempts.getOrDefault(message, 0); i++) {
                assertFalse(ends.get(message + "/" + i).mayHaveRun(), "refused though it may have run");
            }
        }
        answer("refuse ", message);
    }

    @Override
    public void fail(long message) {
        answer("fail ", message);
    }

    private void answer(String what, long message) {
        assertTrue(over.add(message), "a second answer");
        answers.add(what + message);
    }

    @Override
    public void wakeAt(double time) {
        wakes.add(time);
        at(Math.max(time, now + 0.001), () -> {
            policy.wake(now);
            policy.endIteration(now);
        });
    }

    @Override
    public void saveSendRate(long destination, long route, DeliveryPolicy.SendRate now) {
        paces.add(now);
    }

    @Override
    public void saveHealth(long endpoint, DeliveryPolicy.Health now) {
        health.put(endpoint, now);
    }

    @Override
    public void log(String text) {
        assertFalse(text.isBlank());
    }
}
