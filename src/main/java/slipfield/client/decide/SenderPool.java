package slipfield.client.decide;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/** The senders of a client: their connections, which of them gets the next hand-in, who is left alone, and until when. */
final class SenderPool {
    /** Opens a connection. */
    interface Connects {
        void connect(String sender, boolean trial);
    }

    private static final int MOST_DOUBLINGS = 10;
    /** Connections being made to one sender at once. */
    private static final int MOST_CONNECTING = 4;

    private final Rules rules;
    private final RandomGenerator random;
    private final Connects connects;
    private final Map<String, Sender> senders = new LinkedHashMap<>();
    private final RetryAfterTimes<String> waits = new RetryAfterTimes<>();

    SenderPool(Rules rules, RandomGenerator random, Connects connects) {
        this.rules = rules;
        this.random = random;
        this.connects = connects;
    }

    /** The whole list, which is not empty; one that left it gets nothing new. */
    void listed(long now, Collection<String> names) {
        Set<String> listed = new HashSet<>(names);
        senders.values().forEach(s -> s.listed = listed.contains(s.name));
        senders.values().removeIf(s -> !s.listed && s.connections() == 0);
        for (String name : listed) {
            // The first connection of a client's life waits for nothing.
            senders.computeIfAbsent(name, n -> new Sender(n, now));
        }
    }

    Optional<Sender> of(String name) {
        return Optional.ofNullable(senders.get(name));
    }

    /** A connection stands. */
    void connected(long now, Sender sender) {
        sender.connecting = Math.max(0, sender.connecting - 1);
        sender.idle++;
        sender.failures = 0;
        if (sender.state != Sender.State.UP) {
            sender.state = Sender.State.UP;
            sender.unanswered = 0;
            sender.backMs = now;
            sender.connectMs = now + refillMs(sender);
        }
    }

    /** One did not come up. */
    void connectFailed(long now, Sender sender) {
        sender.connecting = Math.max(0, sender.connecting - 1);
        sender.failures++;
        sender.connectMs = now + (rules.pauseMs() << Math.min(MOST_DOUBLINGS, sender.failures));
        lost(now, sender);
    }

    /** It closes connections in order: it gets nothing new for a while. */
    void drains(long now, Sender sender) {
        sender.drainingUntilMs = now + rules.drainMs();
    }

    /** It told to wait until then. */
    void toldToWait(long now, Sender sender, long untilMs) {
        waits.told(now, sender.name, untilMs);
    }

    private boolean open(long now, Sender s) {
        return s.serves(now) && waits.until(s.name) <= now;
    }

    /** When something changes here by itself; {@code wanted}: orders wait for a sender. */
    long nextMs(long now, boolean wanted) {
        long next = Long.MAX_VALUE;
        for (Sender s : senders.values()) {
            if (s.listed && s.state == Sender.State.AWAY) {
                next = Math.min(next, s.connectMs);
            }
            if (wanted) {
                next = Math.min(next, opensMs(now, s));
            }
        }
        return next;
    }

    /** When something changes at this sender for orders that are ready: a time after now. */
    private long opensMs(long now, Sender s) {
        long next = Long.MAX_VALUE;
        for (long at : new long[] {s.ejectedUntilMs, s.drainingUntilMs, waits.until(s.name),
                s.state == Sender.State.UP && s.connections() < rules.mostConnections() ? s.connectMs : 0}) {
            if (at > now) {
                next = Math.min(next, at);
            }
        }
        return next;
    }

    /** Makes the connections that are due. */
    void connect(long now) {
        for (Sender s : senders.values()) {
            if (s.listed && s.state == Sender.State.AWAY && s.connectMs <= now) {
                s.state = Sender.State.TRIAL;
                s.connecting++;
                connects.connect(s.name, true);
            }
        }
    }

    /**
     * The less loaded of two (Mitzenmacher 2001, "The power of two choices"), of those with an idle connection; null where
     * there is none, though one may be on its way. {@code waiting}: orders that want one.
     */
    Sender pick(long now, int waiting) {
        List<Sender> usable = new ArrayList<>();
        List<Sender> leftAlone = new ArrayList<>();
        for (Sender s : senders.values()) {
            if (open(now, s)) {
                (s.ejected(now) ? leftAlone : usable).add(s);
            }
        }
        if (usable.isEmpty() && !leftAlone.isEmpty()) {
            // Left alone is better than none: the one whose time is over first.
            usable.add(leftAlone.stream().min(Comparator.comparingLong(s -> s.ejectedUntilMs)).orElseThrow());
        }
        for (Sender s : usable) {
            grow(now, s, waiting);
        }
        usable.removeIf(s -> s.idle == 0);
        if (usable.size() <= 1) {
            return usable.isEmpty() ? null : usable.get(0);
        }
        int first = random.nextInt(usable.size());
        int second = random.nextInt(usable.size() - 1);
        Sender a = usable.get(first);
        Sender b = usable.get(second >= first ? second + 1 : second);
        return a.load(now, rules.returnMs()) <= b.load(now, rules.returnMs()) ? a : b;
    }

    /** Opens a further connection where all are busy: after a return one by one over the window, then as needed. */
    private void grow(long now, Sender s, int waiting) {
        boolean refilling = now - s.backMs < window(s);
        int atOnce = refilling ? 1 : MOST_CONNECTING;
        if (s.idle == 0 && s.connections() < rules.mostConnections() && s.connecting < atOnce && now >= s.connectMs
                && s.connecting < waiting) {
            s.connecting++;
            s.connectMs = refilling ? now + refillMs(s) : now;
            connects.connect(s.name, false);
        }
    }

    private long window(Sender s) {
        return s.toldWindowMs >= 0 ? s.toldWindowMs : rules.spreadMs();
    }

    private long refillMs(Sender s) {
        return window(s) / rules.mostConnections();
    }

    /** A connection is gone: where it was the last, the next one is planned. */
    void lost(long now, Sender sender) {
        if (sender.connections() > 0) {
            return;
        }
        if (!sender.listed) {
            senders.remove(sender.name);
            return;
        }
        sender.state = Sender.State.AWAY;
        sender.connectMs = Math.max(sender.drainingUntilMs, now)
                + ReconnectBackoff.delay(rules, window(sender), sender.failures, random);
    }

    /** Whether another one may be asked, now or once it is up: one that told no wait. */
    boolean otherThan(long now, Sender sender) {
        for (Sender s : senders.values()) {
            if (s != sender && s.listed && waits.until(s.name) <= now) {
                return true;
            }
        }
        return false;
    }

    /** It answered. */
    static void answered(Sender sender) {
        sender.unanswered = 0;
        sender.ejections = 0;
    }

    /** It did not. */
    void unanswered(long now, Sender sender) {
        if (++sender.unanswered >= rules.ejectAfter()) {
            sender.unanswered = 0;
            long ms = Math.min(rules.mostEjectMs(), rules.ejectMs() << Math.min(MOST_DOUBLINGS, sender.ejections));
            sender.ejections++;
            sender.ejectedUntilMs = now + ms;
            sender.backMs = sender.ejectedUntilMs;
        }
    }

    /** Where every sender has told to wait, when the first of them is open; never where one has not. */
    Optional<Long> opensMs(long now) {
        long opens = Long.MAX_VALUE;
        for (Sender s : senders.values()) {
            if (!s.listed) {
                continue;
            }
            if (!s.serves(now) || waits.until(s.name) <= now) {
                // Away, or about to drain: when it serves again nobody told.
                return Optional.empty();
            }
            opens = Math.min(opens, waits.until(s.name));
        }
        return opens == Long.MAX_VALUE ? Optional.empty() : Optional.of(opens);
    }
}
