package slipfield.client.decide;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Simulates senders and venues that fail at random, from a seed, and checks what an order tracker does with them. The checks
 * implement the rules a second time, from what happened in the simulation; they read no state of the tracker.
 */
final class SenderSimulation implements OrderTracker.Actions {
    /** Defects that are built in on purpose, to see that the checks find them. */
    enum Defect { NOTHING, UNSAFE_AS_SAFE, WINDOW_TOO_LONG, WHOLE_TIME_AS_BUDGET, DELAYS_IGNORED, LOST_AS_REFUSED }

    private static final long WINDOW_MS = 10_000;
    private static final long DURATION_MS = 90_000;

    private final SplittableRandom random;
    private final Defect defect;
    private final Rules rules;
    private final OrderTracker tracker;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<Long, Order> orders = new HashMap<>();
    private final Map<String, Node> nodes = new HashMap<>();
    private final Map<String, Long> requestedDelays = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private long now;
    private long sequence;
    int sends;
    int resends;

    private record Event(long at, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }

    private static final class Node {
        final String name;
        boolean up = true;
        boolean silent;
        int connections;

        Node(String name) {
            this.name = name;
        }
    }

    private static final class Order {
        final Effect effect;
        final String destination;
        final String tenant;
        final long deadline;
        int attemptInFlight;
        boolean ended;
        End end;
        /** When each accepted copy runs. */
        final List<Long> runs = new ArrayList<>();
        /** Submission times, by attempt, of those not known to have been turned down: each may have run. */
        final Map<Integer, Long> mayHaveRun = new HashMap<>();
        final Set<Integer> abandoned = new HashSet<>();
        boolean cancelled;

        Order(Effect effect, String destination, String tenant, long deadline) {
            this.effect = effect;
            this.destination = destination;
            this.tenant = tenant;
            this.deadline = deadline;
        }
    }

    SenderSimulation(long seed, Defect defect, boolean follows) {
        this.random = new SplittableRandom(seed);
        this.defect = defect;
        this.rules = Rules.DEFAULT.following(follows).spreadOver(200 + random.nextInt(1500), 0.1)
                .atMost(4 + random.nextInt(30), 1 + random.nextInt(8));
        this.tracker = new OrderTracker(rules, random.split(), 0, this);
        int count = 1 + random.nextInt(3);
        for (int i = 0; i < count; i++) {
            nodes.put("s" + i, new Node("s" + i));
        }
    }

    /** Runs the simulation; returns the violations found. */
    List<String> run() {
        tracker.updateSenders(0, List.copyOf(nodes.keySet()));
        int count = 5 + random.nextInt(40);
        for (int i = 0; i < count; i++) {
            long number = i;
            in(random.nextInt(30_000), () -> submit(number));
        }
        for (Node node : nodes.values()) {
            scheduleFailures(node);
        }
        if (random.nextInt(4) == 0) {
            in(random.nextInt(30_000), () -> tracker.updateSenders(now, List.of()));
        }
        if (random.nextInt(10) == 0) {
            in(random.nextInt(30_000), () -> tracker.close(now));
        }
        while (now < DURATION_MS && violations.isEmpty()) {
            long next = Math.max(now, Math.min(tracker.nextTickMs(), events.isEmpty() ? Long.MAX_VALUE : events.peek().at));
            if (next > DURATION_MS) {
                break;
            }
            now = next;
            tracker.tick(now);
            while (!events.isEmpty() && events.peek().at <= now) {
                events.poll().action.run();
            }
            tracker.tick(reportedNow());
            tracker.tick(now);
            violationIf(tracker.nextTickMs() <= now, "the tracker did not do something that was due");
        }
        orders.forEach((number, o) -> {
            if (!o.ended) {
                violations.add(number + " has no final answer");
            }
            checkRuns(number, o);
        });
        return violations;
    }

    /** The current time, or sometimes an earlier one: a clock that is set back must not matter. */
    private long reportedNow() {
        return random.nextInt(20) == 0 ? now - random.nextInt(5000) : now;
    }

    private void in(long ms, Runnable action) {
        events.add(new Event(now + ms, sequence++, action));
    }

    private void scheduleFailures(Node node) {
        long at = 0;
        while (at < 40_000) {
            at += 500 + random.nextInt(12_000);
            long until = at + 100 + random.nextInt(6000);
            boolean dies = random.nextBoolean();
            in(at - now, () -> {
                node.up = !dies;
                node.silent = !dies;
                if (dies) {
                    int open = node.connections;
                    node.connections = 0;
                    for (int i = 0; i < open; i++) {
                        tracker.onConnectionClosed(reportedNow(), node.name, random.nextInt(5) == 0);
                    }
                }
            });
            in(until - now, () -> {
                node.up = true;
                node.silent = false;
            });
            at = until;
        }
    }

    private void submit(long number) {
        Effect effect = Effect.values()[random.nextInt(3)];
        long within = random.nextInt(8) == 0 ? 1 + random.nextInt(300) : 300 + random.nextInt(24_000);
        Order order = new Order(effect, "d" + random.nextInt(3), "t" + random.nextInt(2), now + within);
        orders.put(number, order);
        ClassRule rule = switch (effect) {
            case SAFE -> ClassRule.safe();
            case UNSAFE -> defect == Defect.UNSAFE_AS_SAFE ? ClassRule.safe() : ClassRule.unsafe();
            case KEYED -> defect == Defect.WINDOW_TOO_LONG ? ClassRule.keyed(4 * WINDOW_MS)
                    : defect == Defect.WHOLE_TIME_AS_BUDGET ? ClassRule.safe()
                    : new ClassRule(Effect.KEYED, WINDOW_MS, random.nextInt(4) > 0);
        };
        tracker.submit(reportedNow(), number, rule, order.destination, order.tenant, within);
        if (random.nextInt(10) == 0) {
            in(random.nextInt(3000), () -> {
                if (!order.ended && tracker.cancel(now, number)) {
                    order.cancelled = true;
                }
            });
        }
    }

    @Override
    public void send(long number, int attempt, String sender, long budgetMs, OrderTracker.PreviousSubmission previous) {
        sends++;
        Order o = orders.get(number);
        violationIf(o.ended, number + " is submitted after its final answer");
        violationIf(o.attemptInFlight != 0, number + " is submitted while a submission is in flight");
        violationIf(o.cancelled, number + " is submitted although it was cancelled");
        violationIf(budgetMs < 1 || now + budgetMs > o.deadline, number + " is submitted with a budget beyond its deadline");
        for (String scope : List.of(sender, o.destination, o.tenant)) {
            violationIf(requestedDelays.getOrDefault(scope, 0L) > now,
                    number + " is submitted although a delay was requested for " + scope);
        }
        if (!o.mayHaveRun.isEmpty()) {
            resends++;
            violationIf(o.effect == Effect.UNSAFE, number + " is unsafe, may have run, and is submitted again");
            long first = o.mayHaveRun.values().stream().mapToLong(Long::longValue).min().orElseThrow();
            violationIf(o.effect == Effect.KEYED && now + budgetMs > first + WINDOW_MS,
                    number + " is submitted with a budget beyond its window");
            violationIf(previous != OrderTracker.PreviousSubmission.UNANSWERED
                    && previous != OrderTracker.PreviousSubmission.REFUSED, number + " is not marked as a repeat");
        }
        o.attemptInFlight = attempt;
        o.mayHaveRun.put(attempt, now);
        Node node = nodes.get(sender);
        long latency = 1 + random.nextInt(30);
        int luck = random.nextInt(100);
        if (!node.up) {
            in(latency, () -> answer(number, attempt, sender, SubmissionReply.lost("reset"), false));
        } else if (node.silent) {
            if (luck < 30) {
                in(latency, () -> accept(number, attempt, budgetMs));
            }
        } else if (luck < 55) {
            in(latency, () -> {
                accept(number, attempt, budgetMs);
                answer(number, attempt, sender, SubmissionReply.accepted(), random.nextInt(10) > 0);
            });
        } else if (luck < 75) {
            SubmissionReply.Scope scope = SubmissionReply.Scope.values()[random.nextInt(3)];
            long delay = random.nextInt(4) == 0 ? 1_000_000_000_000L : random.nextInt(3) == 0 ? 0 : random.nextInt(3000);
            in(latency, () -> {
                if (o.attemptInFlight == attempt) {
                    String key = switch (scope) {
                        case SENDER -> sender;
                        case DESTINATION -> o.destination;
                        case TENANT -> o.tenant;
                    };
                    if (delay > 0) {
                        requestedDelays.merge(key, now + delay, Math::max);
                    }
                }
                answer(number, attempt, sender,
                        SubmissionReply.refused(defect == Defect.DELAYS_IGNORED ? 0 : delay, scope, "busy"), true);
            });
        } else if (luck < 80) {
            in(latency, () -> answer(number, attempt, sender, SubmissionReply.unsent("broke before its last byte"), false));
        } else if (luck < 83) {
            in(latency, () -> answer(number, attempt, sender, SubmissionReply.rejected("400"), true));
        } else if (luck < 92) {
            in(latency, () -> {
                accept(number, attempt, budgetMs);
                answer(number, attempt, sender, defect == Defect.LOST_AS_REFUSED
                        ? SubmissionReply.refused(0, SubmissionReply.Scope.DESTINATION, "")
                        : SubmissionReply.lost("closed"), false);
            });
        } else if (luck < 96) {
            in(latency + 400, () -> accept(number, attempt, budgetMs));
        }
    }

    private void answer(long number, int attempt, String sender, SubmissionReply reply, boolean stays) {
        Order o = orders.get(number);
        if (o.abandoned.contains(attempt) || o.attemptInFlight != attempt) {
            return;
        }
        o.attemptInFlight = 0;
        boolean notAccepted = reply.kind() != SubmissionReply.Kind.LOST && reply.kind() != SubmissionReply.Kind.ACCEPTED;
        if (notAccepted && defect != Defect.LOST_AS_REFUSED) {
            o.mayHaveRun.remove(attempt);
        }
        if (!stays) {
            nodes.get(sender).connections = Math.max(0, nodes.get(sender).connections - 1);
        }
        tracker.onReply(reportedNow(), number, attempt, reply, stays, false);
    }

    /** A sender accepts the order: it runs once within its budget or not at all, and the client may learn its final answer. */
    private void accept(long number, int attempt, long budgetMs) {
        Order o = orders.get(number);
        long at = now + (random.nextInt(3) == 0 ? (long) (random.nextDouble() * budgetMs) : Math.min(budgetMs, 20));
        int luck = random.nextInt(10);
        boolean runs = luck < 8;
        if (runs) {
            o.runs.add(at);
        }
        if (rules.follows() && luck != 7) {
            in(at - now + 1, () -> {
                if (o.ended) {
                    return;
                }
                if (!runs && luck == 8) {
                    // The client learns that this copy did not run.
                    o.mayHaveRun.remove(attempt);
                }
                tracker.onFinalAnswer(reportedNow(), number, attempt, runs ? new End.Delivered()
                        : luck == 8 ? new End.Refused(random.nextInt(500), "")
                        : new End.Failed(true, "dead"));
            });
        }
    }

    @Override
    public void abandon(long number, int attempt) {
        Order o = orders.get(number);
        violationIf(o.attemptInFlight != attempt, number + " is abandoned without a submission in flight");
        o.attemptInFlight = 0;
        o.abandoned.add(attempt);
    }

    @Override
    public void connect(String sender, boolean probe) {
        in(1 + random.nextInt(20), () -> {
            Node node = nodes.get(sender);
            if (node.up && !(probe && node.silent)) {
                node.connections++;
                tracker.onConnected(reportedNow(), sender);
            } else {
                tracker.onConnectFailed(reportedNow(), sender);
            }
        });
    }

    @Override
    public void complete(long number, End end) {
        Order o = orders.get(number);
        violationIf(o.ended, number + " has a second final answer");
        o.ended = true;
        o.end = end;
        violationIf(now > o.deadline + rules.graceMs(), number + " gets its final answer late");
    }

    private void checkRuns(long number, Order o) {
        if (o.runs.isEmpty()) {
            violationIf(o.end instanceof End.Delivered, number + " did not run, but is reported as delivered");
            return;
        }
        long first = o.runs.stream().mapToLong(Long::longValue).min().orElseThrow();
        long last = o.runs.stream().mapToLong(Long::longValue).max().orElseThrow();
        violationIf(o.effect == Effect.UNSAFE && o.runs.size() > 1, number + " ran twice");
        violationIf(o.effect == Effect.KEYED && last - first > WINDOW_MS, number + " ran again after its window");
        violationIf(o.end instanceof End.Refused || o.end instanceof End.Failed failed && !failed.mayHaveRun(),
                number + " ran, but is reported as " + o.end);
    }

    private void violationIf(boolean violated, String what) {
        if (violated) {
            violations.add(now + " ms: " + what);
        }
    }
}
