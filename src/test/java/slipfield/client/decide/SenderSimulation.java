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
 * Senders and venues that fail by a seed, and a checker of what a tracker does among them. What the checker asks for is
 * written from the rules anew, by what really happened here; nothing of it is read from the tracker.
 */
final class SenderSimulation implements OrderTracker.Actions {
    /** What a tracker is broken by, to see that the checker finds it. */
    enum Defect { NOTHING, UNSAFE_AS_SAFE, WINDOW_TOO_LONG, WHOLE_TIME_AS_BUDGET, WAITS_IGNORED, LOST_AS_REFUSED }

    private static final long WINDOW_MS = 10_000;
    private static final long LAST_MS = 90_000;

    private final SplittableRandom random;
    private final Defect broken;
    private final Rules rules;
    private final OrderTracker tracker;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<Long, Order> orders = new HashMap<>();
    private final Map<String, Node> nodes = new HashMap<>();
    private final Map<String, Long> waits = new HashMap<>();
    private final List<String> faults = new ArrayList<>();
    private long now;
    private long sequence;
    int sends;
    int resends;

    private record Event(long at, long sequence, Runnable what) implements Comparable<Event> {
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
        int out;
        boolean ended;
        End end;
        /** When each copy ran, or will. */
        final List<Long> runs = new ArrayList<>();
        /** Of hand-ins that were not answered by a proof that they were not taken: when they were made. */
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

    SenderSimulation(long seed, Defect broken, boolean follows) {
        this.random = new SplittableRandom(seed);
        this.broken = broken;
        this.rules = Rules.DEFAULT.following(follows).spreadOver(200 + random.nextInt(1500), 0.1)
                .atMost(4 + random.nextInt(30), 1 + random.nextInt(8));
        this.tracker = new OrderTracker(rules, random.split(), 0, this);
        int count = 1 + random.nextInt(3);
        for (int i = 0; i < count; i++) {
            nodes.put("s" + i, new Node("s" + i));
        }
    }

    /** Plays it; returns what was done against the rules. */
    List<String> play() {
        tracker.updateSenders(0, List.copyOf(nodes.keySet()));
        int many = 5 + random.nextInt(40);
        for (int i = 0; i < many; i++) {
            long number = i;
            in(random.nextInt(30_000), () -> submit(number));
        }
        for (Node node : nodes.values()) {
            trouble(node);
        }
        if (random.nextInt(4) == 0) {
            in(random.nextInt(30_000), () -> tracker.updateSenders(now, List.of()));
        }
        if (random.nextInt(10) == 0) {
            in(random.nextInt(30_000), () -> tracker.close(now));
        }
        while (now < LAST_MS && faults.isEmpty()) {
            long next = Math.max(now, Math.min(tracker.nextTickMs(), events.isEmpty() ? Long.MAX_VALUE : events.peek().at));
            if (next > LAST_MS) {
                break;
            }
            now = next;
            tracker.tick(now);
            while (!events.isEmpty() && events.peek().at <= now) {
                events.poll().what.run();
            }
            tracker.tick(told());
            tracker.tick(now);
            fault(tracker.nextTickMs() <= now, "the tracker has something to do at once, and does it not");
        }
        orders.forEach((number, o) -> {
            if (!o.ended) {
                faults.add(number + " has no end");
            }
            checkRuns(number, o);
        });
        return faults;
    }

    /** The time, or now and then an earlier one: a clock that is set back must change nothing. */
    private long told() {
        return random.nextInt(20) == 0 ? now - random.nextInt(5000) : now;
    }

    private void in(long ms, Runnable what) {
        events.add(new Event(now + ms, sequence++, what));
    }

    private void trouble(Node node) {
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
                        tracker.onConnectionClosed(told(), node.name, random.nextInt(5) == 0);
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
            case UNSAFE -> broken == Defect.UNSAFE_AS_SAFE ? ClassRule.safe() : ClassRule.unsafe();
            case KEYED -> broken == Defect.WINDOW_TOO_LONG ? ClassRule.keyed(4 * WINDOW_MS)
                    : broken == Defect.WHOLE_TIME_AS_BUDGET ? ClassRule.safe()
                    : new ClassRule(Effect.KEYED, WINDOW_MS, random.nextInt(4) > 0);
        };
        tracker.submit(told(), number, rule, order.destination, order.tenant, within);
        if (random.nextInt(10) == 0) {
            in(random.nextInt(3000), () -> {
                if (!order.ended && tracker.cancel(now, number)) {
                    order.cancelled = true;
                }
            });
        }
    }

    @Override
    public void send(long number, int attempt, String sender, long budgetMs, OrderTracker.PreviousSubmission again) {
        sends++;
        Order o = orders.get(number);
        fault(o.ended, number + " is handed in after its end");
        fault(o.out != 0, number + " is handed in while it is out");
        fault(o.cancelled, number + " is handed in though it was called off");
        fault(budgetMs < 1 || now + budgetMs > o.deadline, number + " is handed in past its time");
        for (String scope : List.of(sender, o.destination, o.tenant)) {
            fault(waits.getOrDefault(scope, 0L) > now, number + " is handed in though " + scope + " waits");
        }
        if (!o.mayHaveRun.isEmpty()) {
            resends++;
            fault(o.effect == Effect.UNSAFE, number + " is unsafe, may have run, and is handed in again");
            long first = o.mayHaveRun.values().stream().mapToLong(Long::longValue).min().orElseThrow();
            fault(o.effect == Effect.KEYED && now + budgetMs > first + WINDOW_MS, number + " is handed in past its window");
            fault(again != OrderTracker.PreviousSubmission.UNANSWERED
                    && again != OrderTracker.PreviousSubmission.REFUSED, number + " is not marked");
        }
        o.out = attempt;
        o.mayHaveRun.put(attempt, now);
        Node node = nodes.get(sender);
        long there = 1 + random.nextInt(30);
        int luck = random.nextInt(100);
        if (!node.up) {
            in(there, () -> answer(number, attempt, sender, SubmissionReply.lost("reset"), false));
        } else if (node.silent) {
            if (luck < 30) {
                in(there, () -> take(number, attempt, budgetMs));
            }
        } else if (luck < 55) {
            in(there, () -> {
                take(number, attempt, budgetMs);
                answer(number, attempt, sender, SubmissionReply.accepted(), random.nextInt(10) > 0);
            });
        } else if (luck < 75) {
            SubmissionReply.Scope scope = SubmissionReply.Scope.values()[random.nextInt(3)];
            long wait = random.nextInt(4) == 0 ? 1_000_000_000_000L : random.nextInt(3) == 0 ? 0 : random.nextInt(3000);
            in(there, () -> {
                if (o.out == attempt) {
                    String of = switch (scope) {
                        case SENDER -> sender;
                        case DESTINATION -> o.destination;
                        case TENANT -> o.tenant;
                    };
                    if (wait > 0) {
                        waits.merge(of, now + wait, Math::max);
                    }
                }
                answer(number, attempt, sender,
                        SubmissionReply.refused(broken == Defect.WAITS_IGNORED ? 0 : wait, scope, "busy"), true);
            });
        } else if (luck < 80) {
            in(there, () -> answer(number, attempt, sender, SubmissionReply.unsent("broke before its last byte"), false));
        } else if (luck < 83) {
            in(there, () -> answer(number, attempt, sender, SubmissionReply.rejected("400"), true));
        } else if (luck < 92) {
            in(there, () -> {
                take(number, attempt, budgetMs);
                answer(number, attempt, sender, broken == Defect.LOST_AS_REFUSED
                        ? SubmissionReply.refused(0, SubmissionReply.Scope.DESTINATION, "")
                        : SubmissionReply.lost("closed"), false);
            });
        } else if (luck < 96) {
            in(there + 400, () -> take(number, attempt, budgetMs));
        }
    }

    private void answer(long number, int attempt, String sender, SubmissionReply heard, boolean stays) {
        Order o = orders.get(number);
        if (o.abandoned.contains(attempt) || o.out != attempt) {
            return;
        }
        o.out = 0;
        boolean proof = heard.kind() != SubmissionReply.Kind.LOST && heard.kind() != SubmissionReply.Kind.ACCEPTED;
        if (proof && broken != Defect.LOST_AS_REFUSED) {
            o.mayHaveRun.remove(attempt);
        }
        if (!stays) {
            nodes.get(sender).connections = Math.max(0, nodes.get(sender).connections - 1);
        }
        tracker.onReply(told(), number, attempt, heard, stays, false);
    }

    /** A sender has it: it runs once, or not, within its budget; and the client may hear of its end. */
    private void take(long number, int attempt, long budgetMs) {
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
                    // Not run, and proved so: this copy is out of the account.
                    o.mayHaveRun.remove(attempt);
                }
                tracker.onFinalAnswer(told(), number, attempt, runs ? new End.Delivered()
                        : luck == 8 ? new End.Refused(random.nextInt(500), "")
                        : new End.Failed(true, "dead"));
            });
        }
    }

    @Override
    public void abandon(long number, int attempt) {
        Order o = orders.get(number);
        fault(o.out != attempt, number + " is abandoned, and is not out");
        o.out = 0;
        o.abandoned.add(attempt);
    }

    @Override
    public void connect(String sender, boolean probe) {
        in(1 + random.nextInt(20), () -> {
            Node node = nodes.get(sender);
            if (node.up && !(probe && node.silent)) {
                node.connections++;
                tracker.onConnected(told(), sender);
            } else {
                tracker.onConnectFailed(told(), sender);
            }
        });
    }

    @Override
    public void complete(long number, End end) {
        Order o = orders.get(number);
        fault(o.ended, number + " has a second end");
        o.ended = true;
        o.end = end;
        fault(now > o.deadline + rules.graceMs(), number + " ends late");
    }

    private void checkRuns(long number, Order o) {
        if (o.runs.isEmpty()) {
            fault(o.end instanceof End.Delivered, number + " did not run, and is told as delivered");
            return;
        }
        long first = o.runs.stream().mapToLong(Long::longValue).min().orElseThrow();
        long last = o.runs.stream().mapToLong(Long::longValue).max().orElseThrow();
        fault(o.effect == Effect.UNSAFE && o.runs.size() > 1, number + " ran twice");
        fault(o.effect == Effect.KEYED && last - first > WINDOW_MS, number + " ran again past its window");
        fault(o.end instanceof End.Refused || o.end instanceof End.Failed failed && !failed.mayHaveRun(),
                number + " ran, and is told as " + o.end);
    }

    private void fault(boolean is, String what) {
        if (is) {
            faults.add(now + " ms: " + what);
        }
    }
}
