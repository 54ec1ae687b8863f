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

/** The senders of a client: opens their connections, selects the sender of the next submission, and ejects failing ones. */
final class SenderPool {
    /** Opens connections. */
    interface Connector {
        /** Opens a connection; {@code probe}: and asks on it whether the sender is ready. */
        void connect(String sender, boolean probe);
    }

    private static final int MAX_DOUBLINGS = 10;
    /** Connections to one sender that may be opening at the same time. */
    private static final int MAX_CONNECTING = 4;

    private final Rules rules;
    private final RandomGenerator random;
    private final Connector connector;
    private final Map<String, Sender> senders = new LinkedHashMap<>();
    private final RetryAfterTimes<String> requestedDelays = new RetryAfterTimes<>();

    SenderPool(Rules rules, RandomGenerator random, Connector connector) {
        this.rules = rules;
        this.random = random;
        this.connector = connector;
    }

    /** Takes over the complete sender list, which is not empty. A sender that is missing from it gets no new orders. */
    void updateList(long now, Collection<String> names) {
        Set<String> listed = new HashSet<>(names);
        senders.values().forEach(s -> s.listed = listed.contains(s.name));
        senders.values().removeIf(s -> !s.listed && s.connections() == 0);
        for (String name : listed) {
            // The first connection to a new sender is opened without a delay.
            senders.computeIfAbsent(name, n -> new Sender(n, now));
        }
    }

    Optional<Sender> find(String name) {
        return Optional.ofNullable(senders.get(name));
    }

    /** A connection to the sender was opened. */
    void onConnected(long now, Sender sender) {
        sender.connecting = Math.max(0, sender.connecting - 1);
        sender.idle++;
        sender.failures = 0;
        if (sender.state != Sender.State.UP) {
            sender.state = Sender.State.UP;
            sender.unanswered = 0;
            sender.slowStartMs = now;
            sender.connectMs = now + refillIntervalMs(sender);
        }
    }

    /** A connection to the sender could not be opened, or the sender was not ready. */
    void onConnectFailed(long now, Sender sender) {
        sender.connecting = Math.max(0, sender.connecting - 1);
        sender.failures++;
        sender.connectMs = now + (rules.pauseMs() << Math.min(MAX_DOUBLINGS, sender.failures));
        onConnectionLost(now, sender);
    }

    /** The sender announced that it closes a connection: it gets no new orders for {@link Rules#drainMs}. */
    void onDrain(long now, Sender sender) {
        sender.drainingUntilMs = now + rules.drainMs();
    }

    /** The sender requested that nothing is submitted to it before {@code untilMs}. */
    void onRequestedDelay(long now, Sender sender, long untilMs) {
        requestedDelays.record(now, sender.name, untilMs);
    }

    private boolean acceptsOrders(long now, Sender s) {
        return s.isAvailable(now) && requestedDelays.untilMs(s.name) <= now;
    }

    /** When this pool next has something to do without a further event. {@code waiting}: whether orders wait for a sender. */
    long nextTickMs(long now, boolean waiting) {
        long next = Long.MAX_VALUE;
        for (Sender s : senders.values()) {
            if (s.listed && s.state == Sender.State.DISCONNECTED) {
                next = Math.min(next, s.connectMs);
            }
            if (waiting) {
                next = Math.min(next, nextChangeMs(now, s));
            }
        }
        return next;
    }

    /** The next time after now at which this sender may become usable for waiting orders; {@link Long#MAX_VALUE}: none. */
    private long nextChangeMs(long now, Sender s) {
        long next = Long.MAX_VALUE;
        for (long at : new long[] {s.ejectedUntilMs, s.drainingUntilMs, requestedDelays.untilMs(s.name),
                s.state == Sender.State.UP && s.connections() < rules.mostConnections() ? s.connectMs : 0}) {
            if (at > now) {
                next = Math.min(next, at);
            }
        }
        return next;
    }

    /** Opens the probe connections that are due. */
    void openDueConnections(long now) {
        for (Sender s : senders.values()) {
            if (s.listed && s.state == Sender.State.DISCONNECTED && s.connectMs <= now) {
                s.state = Sender.State.PROBING;
                s.connecting++;
                connector.connect(s.name, true);
            }
        }
    }

    /**
     * Selects a sender with an idle connection: the less loaded of two random ones (Mitzenmacher 2001, "The power of two
     * choices"). Returns null if there is none; a connection may then be opening.
     *
     * @param waiting number of orders that wait for a sender
     */
    Sender select(long now, int waiting) {
        List<Sender> usable = new ArrayList<>();
        List<Sender> ejected = new ArrayList<>();
        for (Sender s : senders.values()) {
            if (acceptsOrders(now, s)) {
                (s.ejected(now) ? ejected : usable).add(s);
            }
        }
        if (usable.isEmpty() && !ejected.isEmpty()) {
            // If all are ejected, the one whose ejection ends first is used rather than none.
            usable.add(ejected.stream().min(Comparator.comparingLong(s -> s.ejectedUntilMs)).orElseThrow());
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

    /**
     * Opens a further connection to a sender without an idle one. After the sender came back, connections are opened one at
     * a time, spread over the reconnect window; later up to {@link #MAX_CONNECTING} at a time.
     */
    private void grow(long now, Sender s, int waiting) {
        boolean refilling = now - s.slowStartMs < windowMs(s);
        int maxConnecting = refilling ? 1 : MAX_CONNECTING;
        if (s.idle == 0 && s.connections() < rules.mostConnections() && s.connecting < maxConnecting && now >= s.connectMs
                && s.connecting < waiting) {
            s.connecting++;
            s.connectMs = refilling ? now + refillIntervalMs(s) : now;
            connector.connect(s.name, false);
        }
    }

    private long windowMs(Sender s) {
        return s.reportedWindowMs >= 0 ? s.reportedWindowMs : rules.spreadMs();
    }

    private long refillIntervalMs(Sender s) {
        return windowMs(s) / rules.mostConnections();
    }

    /** A connection to the sender is gone. If it was the last one, a new one is scheduled, or an unlisted sender removed. */
    void onConnectionLost(long now, Sender sender) {
        if (sender.connections() > 0) {
            return;
        }
        if (!sender.listed) {
            senders.remove(sender.name);
            return;
        }
        sender.state = Sender.State.DISCONNECTED;
        sender.connectMs = Math.max(sender.drainingUntilMs, now)
                + ReconnectBackoff.delayMs(rules, windowMs(sender), sender.failures, random);
    }

    /** Whether another listed sender, connected or not, has no requested delay. */
    boolean hasOther(long now, Sender sender) {
        for (Sender s : senders.values()) {
            if (s != sender && s.listed && requestedDelays.untilMs(s.name) <= now) {
                return true;
            }
        }
        return false;
    }

    /** The sender answered a submission. */
    static void onAnswer(Sender sender) {
        sender.unanswered = 0;
        sender.ejections = 0;
    }

    /** A submission to the sender got no answer. After {@link Rules#ejectAfter} in a row the sender is ejected. */
    void onUnanswered(long now, Sender sender) {
        if (++sender.unanswered >= rules.ejectAfter()) {
            sender.unanswered = 0;
            long ms = Math.min(rules.mostEjectMs(), rules.ejectMs() << Math.min(MAX_DOUBLINGS, sender.ejections));
            sender.ejections++;
            sender.ejectedUntilMs = now + ms;
            sender.slowStartMs = sender.ejectedUntilMs;
        }
    }

    /** If every listed sender requested a delay that is not over: when the first of these delays ends; otherwise empty. */
    Optional<Long> allDelayedUntilMs(long now) {
        long earliest = Long.MAX_VALUE;
        for (Sender s : senders.values()) {
            if (!s.listed) {
                continue;
            }
            if (!s.isAvailable(now) || requestedDelays.untilMs(s.name) <= now) {
                // It has no requested delay, or it is away or draining and it is not known when it accepts orders again.
                return Optional.empty();
            }
            earliest = Math.min(earliest, requestedDelays.untilMs(s.name));
        }
        return earliest == Long.MAX_VALUE ? Optional.empty() : Optional.of(earliest);
    }
}
