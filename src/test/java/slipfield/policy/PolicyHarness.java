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

/**
 * Drives an instance of the decision module in tests: a simulated clock, a record of the actions and, if {@code strict}, a
 * check of the rules on repeats, zones, windows and order at each action.
 */
final class PolicyHarness implements DeliveryPolicy.Actions {
    private static final double STEP_MS = 5;

    record SentAttempt(long message, int attempt, long endpoint, double at, double timeout) {
    }

    private record ScheduledEvent(double at, long number, Runnable event) {
    }

    final List<SentAttempt> sends = new ArrayList<>();
    final List<String> cancels = new ArrayList<>();
    final List<Long> idleCloses = new ArrayList<>();
    final List<String> answers = new ArrayList<>();
    final List<Double> wakes = new ArrayList<>();
    final Map<Long, DeliveryPolicy.Health> health = new HashMap<>();
    final Map<Long, DeliveryPolicy.Health> destinationHealth = new HashMap<>();
    final List<DeliveryPolicy.SendRate> savedRates = new ArrayList<>();
    final List<Double> refusalDelays = new ArrayList<>();
    final DeliveryPolicy policy;
    Consumer<SentAttempt> onSend = s -> { };
    boolean strict;
    double listedRate;
    double reportedRate;
    double now;

    private final PriorityQueue<ScheduledEvent> due =
            new PriorityQueue<>(Comparator.comparingDouble(ScheduledEvent::at).thenComparingLong(ScheduledEvent::number));
    private final Map<Long, DeliveryPolicy.Message> messages = new HashMap<>();
    private final Map<Long, Integer> attempts = new HashMap<>();
    private final Map<Long, DeliveryPolicy.Endpoint> endpoints = new HashMap<>();
    private final Map<String, AttemptOutcome> outcomes = new HashMap<>();
    private final Set<Long> finishedMessages = new HashSet<>();
    private final Map<String, List<Long>> idsByKey = new HashMap<>();
    private long eventCount;

    PolicyHarness() {
        this(10);
    }

    PolicyHarness(int slots) {
        this(slots, 2);
    }

    PolicyHarness(int slots, int senders) {
        this(slots, senders, 7);
    }

    PolicyHarness(int slots, int senders, long seed) {
        List<DeliveryPolicy.Kind> kinds =
                List.of(new DeliveryPolicy.Kind(false, 1), new DeliveryPolicy.Kind(false, 5), new DeliveryPolicy.Kind(true, 1));
        DeliveryPolicy.Settings settings = new DeliveryPolicy.Settings(WaveDeliveryPolicyTest.CLASSES, kinds, true,
                DeliveryPolicy.Decay.LINEAR,
                List.of(0.0, 0.06), senders, slots, 12, true, true, 500, 15_000,
                new DeliveryPolicy.ColdStart(0.2, 12_000, 2, 1500));
        policy = DeliveryPolicy.create(settings, seed, this);
    }

    PolicyHarness list(long destination, long... ids) {
        for (long id : ids) {
            entry(id, destination, 0, 0, true);
        }
        return this;
    }

    PolicyHarness entry(long id, long destination, int kind, int zone, boolean serving) {
        DeliveryPolicy.Endpoint entry = new DeliveryPolicy.Endpoint(id, destination, kind, zone, serving, listedRate);
        endpoints.put(id, entry);
        policy.endpointsChanged(now, false, List.of(entry));
        policy.endIteration(now);
        return this;
    }

    void remove(long id, long destination) {
        policy.endpointsChanged(now, false, List.of(new DeliveryPolicy.Endpoint(id, destination, 0, 0, false, listedRate, true)));
        policy.endIteration(now);
    }

    void accept(long id, int type, long destination) {
        accept(id, type, destination, "key " + id);
    }

    void accept(long id, int type, long destination, String key) {
        submit(id, type, destination, key);
        policy.endIteration(now);
    }

    /** Accepts messages 1 to {@code many} in one event-loop iteration. */
    void acceptTogether(int many, int type, long destination) {
        for (long id = 1; id <= many; id++) {
            submit(id, type, destination, "key " + id);
        }
        policy.endIteration(now);
    }

    /** Accepts a message every {@code gap} ms until {@code end}. The numbers continue from the messages accepted before. */
    void acceptEvery(double gap, int type, long destination, double end) {
        while (now < end) {
            accept(messages.size(), type, destination);
            until(now + gap);
        }
    }

    private void submit(long id, int type, long destination, String key) {
        DeliveryPolicy.Message m = new DeliveryPolicy.Message(id, type, 0, Optional.of(key), 16_000, destination);
        policy.messageAccepted(now, m);
        messages.put(id, m);
        if (WaveDeliveryPolicyTest.CLASSES.get(type).inOrder()) {
            idsByKey.computeIfAbsent(key, k -> new ArrayList<>()).add(id);
        }
    }

    /** Restores a message of the previous process, with the attempts made then. */
    void restore(long id, int type, long destination, double leftMs, List<DeliveryPolicy.PreviousAttempt> earlier) {
        restoreInIteration(id, type, destination, leftMs, earlier);
        policy.endIteration(now);
    }

    /** Restores a message without ending the event-loop iteration. */
    void restoreInIteration(long id, int type, long destination, double leftMs, List<DeliveryPolicy.PreviousAttempt> earlier) {
        DeliveryPolicy.Message m = new DeliveryPolicy.Message(id, type, 0, Optional.of("key " + id), leftMs, destination);
        attempts.put(id, earlier.size());
        messages.put(id, m);
        policy.messageRestored(now, m, earlier);
    }

    void end(long message, int attempt, AttemptOutcome outcome) {
        end(message, attempt, outcome, 0);
    }

    void end(long message, int attempt, AttemptOutcome outcome, double waitMs) {
        boolean finished = outcome == AttemptOutcome.DELIVERED || finishedMessages.contains(message);
        outcomes.put(message + "/" + attempt, outcome);
        if (outcome == AttemptOutcome.DELIVERED) {
            finishedMessages.add(message);
        }
        policy.attemptEnded(now, new DeliveryPolicy.AttemptEnd(message, attempt, outcome, 10, finished, waitMs,
                new DeliveryPolicy.LimitReport(reportedRate, -1)));
        policy.endIteration(now);
    }

    void endLater(SentAttempt s, AttemptOutcome outcome, double took) {
        at(now + took, () -> {
            if (!outcomes.containsKey(s.message + "/" + s.attempt)) {
                end(s.message, s.attempt, outcome);
            }
        });
    }

    void withdraw(long id) {
        finishedMessages.add(id);
        policy.messageWithdrawn(now, id);
        policy.endIteration(now);
    }

    void at(double time, Runnable event) {
        due.add(new ScheduledEvent(time, eventCount++, event));
    }

    /** Advances the clock to {@code end}, in steps of 5 ms, and runs the events that fall due. */
    void until(double end) {
        while (now + STEP_MS <= end) {
            now += STEP_MS;
            while (!due.isEmpty() && due.peek().at <= now) {
                due.remove().event.run();
            }
        }
    }

    long delivered() {
        return outcomes.values().stream().filter(o -> o == AttemptOutcome.DELIVERED).count();
    }

    List<Long> sent() {
        return sends.stream().map(SentAttempt::message).toList();
    }

    void assertAllAnswered() {
        for (long id : messages.keySet()) {
            assertTrue(finishedMessages.contains(id), "message " + id + " got no answer");
        }
    }

    @Override
    public void send(long message, long endpoint, DeliveryPolicy.AttemptTiming timing) {
        int attempt = attempts.merge(message, 1, Integer::sum) - 1;
        SentAttempt s = new SentAttempt(message, attempt, endpoint, now, timing.timeoutMs());
        if (strict) {
            check(s, timing);
        }
        sends.add(s);
        onSend.accept(s);
    }

    private void check(SentAttempt s, DeliveryPolicy.AttemptTiming timing) {
        DeliveryPolicy.Message m = messages.get(s.message);
        DeliveryPolicy.MessageClass type = WaveDeliveryPolicyTest.CLASSES.get(m.messageClass());
        assertFalse(finishedMessages.contains(s.message), "sent after its final answer");
        assertTrue(endpoints.get(s.endpoint).serving(), "sent to a draining endpoint");
        assertEquals(m.destination(), endpoints.get(s.endpoint).destination());
        for (SentAttempt earlier : sends) {
            if (earlier.message != s.message) {
                continue;
            }
            AttemptOutcome outcome = outcomes.get(earlier.message + "/" + earlier.attempt);
            if (outcome != null && !outcome.mayHaveRun()) {
                continue;
            }
            assertFalse(type.repeatSafety() == RepeatSafety.UNSAFE, "an unsafe message may have run twice");
            if (type.repeatSafety() == RepeatSafety.KEYED) {
                assertTrue(now + timing.latestWriteMs() <= earlier.at + type.deduplicationWindowMs(),
                        "may arrive after the deduplication window");
                assertTrue(!type.sameZone()
                        || endpoints.get(earlier.endpoint).zone() == endpoints.get(s.endpoint).zone());
            }
        }
        if (type.inOrder()) {
            for (long other : idsByKey.get(m.key().orElseThrow())) {
                if (other == s.message) {
                    break;
                }
                assertTrue(finishedMessages.contains(other), "an earlier message of the key is unfinished");
                for (int i = 0; i < attempts.getOrDefault(other, 0); i++) {
                    assertTrue(outcomes.containsKey(other + "/" + i), "an attempt of an earlier message of the key is out");
                }
            }
        }
    }

    @Override
    public void cancel(long message, int attempt) {
        cancels.add(message + "/" + attempt);
        if (strict) {
            at(now, () -> {
                if (!outcomes.containsKey(message + "/" + attempt)) {
                    end(message, attempt, AttemptOutcome.CANCELLED);
                }
            });
        }
    }

    @Override
    public void closeIdle(long endpoint) {
        idleCloses.add(endpoint);
    }

    @Override
    public void refuse(long message, double waitMs) {
        refusalDelays.add(waitMs);
        if (strict) {
            RepeatSafety repeatSafety = WaveDeliveryPolicyTest.CLASSES.get(messages.get(message).messageClass()).repeatSafety();
            for (int i = 0; repeatSafety == RepeatSafety.UNSAFE && i < attempts.getOrDefault(message, 0); i++) {
                assertFalse(outcomes.get(message + "/" + i).mayHaveRun(), "refused though it may have run");
            }
        }
        answer("refuse ", message);
    }

    @Override
    public void fail(long message) {
        answer("fail ", message);
    }

    private void answer(String what, long message) {
        assertTrue(finishedMessages.add(message), "a second final answer");
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
        savedRates.add(now);
    }

    @Override
    public void saveHealth(long endpoint, DeliveryPolicy.Health now) {
        health.put(endpoint, now);
    }

    @Override
    public void saveDestinationHealth(long destination, DeliveryPolicy.Health now) {
        destinationHealth.put(destination, now);
    }

    @Override
    public void log(String text) {
        assertFalse(text.isBlank());
    }
}
