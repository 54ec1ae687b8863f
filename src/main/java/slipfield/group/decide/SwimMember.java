package slipfield.group.decide;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * One member of the group and its view of the others. In each period it pings one other member, in a random order in which each
 * member comes up once. If no acknowledgement arrives it asks a few helpers to ping the target; if none arrives by the end of
 * the period it suspects the target. A suspect that does not refute within a time that grows with the logarithm of the group's
 * size is assumed dead. Rumors travel on the messages that are sent anyway, each a number of times that is proportional to that
 * logarithm. The number of messages per member is therefore independent of the group's size.
 *
 * <p>Awareness of its own slowness: a member that hears nobody while its probe is out, that learns that it is suspected, or
 * that was stopped assumes first that it is slow itself, and then gives the others more time.
 *
 * <p>Not thread-safe. Times are ms on any clock that does not go back. Members are numbered from 0.
 */
public final class SwimMember {
    /** If {@link #tick} was not called for more periods than this, the process was stopped, and its open probes are void. */
    private static final double STOPPED_PERIODS = 2;
    private static final double NACK_SHARE = 0.8;
    private static final long MASK = 0xFFFFFFFFL;

    /** The output of a member. */
    public interface Actions {
        /** Sends a message to a member. */
        void send(int to, GossipMessage message);

        /** Reports that a member's state has changed in this member's view. */
        void changed(int member, MemberState state);
    }

    /** What this member knows about a member of the group. */
    private static final class Member {
        private MembershipRumor rumor;
        private boolean known;
        /** When a message of its own last arrived, and when a newer rumor about it last arrived. */
        private double heardAt = Double.NEGATIVE_INFINITY;
        private double rumorAt = Double.NEGATIVE_INFINITY;
        private double suspectedAt;

        private Member(int number) {
            rumor = new MembershipRumor(number, MemberState.ALIVE, 0);
        }
    }

    /** This member's current probe. */
    private static final class Probe {
        private final int target;
        private final long sequence;
        private final double at;
        private boolean helpersAsked;
        private boolean acknowledged;
        private int nacksDue;

        private Probe(int target, long sequence, double at) {
            this.target = target;
            this.sequence = sequence;
            this.at = at;
        }
    }

    /** A probe on behalf of another member. */
    private record IndirectProbe(int requester, long requesterSequence, int target, double nackAt) {
    }

    /** A member in this member's view; {@code lastHeardAgoMs}: since its last message, infinite if there was none. */
    public record MemberView(int member, MemberState state, long incarnation, double lastHeardAgoMs) {
    }

    private final int self;
    private final SwimSettings settings;
    private final RandomGenerator random;
    private final Actions actions;
    private final List<Member> members = new ArrayList<>();
    private final List<Integer> probeOrder = new ArrayList<>();
    private final Map<Long, IndirectProbe> indirectProbes = new HashMap<>();
    /** For each member whose rumor is still spread: how often the rumor has been sent since it was new. */
    private final Map<Integer, Integer> timesSent = new TreeMap<>();
    private Probe probe;
    private long sequence;
    private int slowness;
    private double nextProbeAt;
    private double lastTickAt;
    private double lastHeardAt;

    /**
     * Creates member {@code self} of a group of {@code size} members.
     *
     * @param incarnation higher than in any previous process of this member, such as the seconds of the wall clock
     */
    public SwimMember(double now, int self, int size, long incarnation, SwimSettings settings, RandomGenerator random,
            Actions actions) {
        if (self < 0 || self >= size || size > GossipMessage.MAX_MEMBERS) {
            throw new IllegalArgumentException("member number " + self + " in a group of " + size);
        }
        this.self = self;
        this.settings = settings;
        this.random = random;
        this.actions = actions;
        for (int i = 0; i < size; i++) {
            members.add(new Member(i));
        }
        members.get(self).rumor = new MembershipRumor(self, MemberState.ALIVE, incarnation & MASK);
        members.get(self).known = true;
        lastTickAt = now;
        lastHeardAt = now;
        nextProbeAt = now + random.nextDouble() * settings.periodMs();
        timesSent.put(self, 0);
    }

    /** Returns when {@link #tick} is due next, at the latest. */
    public double dueAt() {
        double due = nextProbeAt;
        if (probe != null && !probe.acknowledged && !probe.helpersAsked) {
            due = Math.min(due, probe.at + ackTimeoutMs());
        }
        for (IndirectProbe indirect : indirectProbes.values()) {
            due = Math.min(due, indirect.nackAt);
        }
        for (Member m : members) {
            if (m.rumor.state() == MemberState.SUSPECT) {
                due = Math.min(due, m.suspectedAt + suspicionMs());
            }
        }
        return due;
    }

    /** Does everything that is due: time-outs, the end of a suspicion, the next probe. */
    public void tick(double now) {
        if (now - lastTickAt > STOPPED_PERIODS * settings.periodMs() * (1 + slowness)) {
            resumeAfterStop(now);
        }
        lastTickAt = now;
        if (probe != null && !probe.acknowledged && !probe.helpersAsked && now >= probe.at + ackTimeoutMs()) {
            askHelpers();
        }
        for (Iterator<IndirectProbe> each = indirectProbes.values().iterator(); each.hasNext();) {
            IndirectProbe indirect = each.next();
            if (now >= indirect.nackAt) {
                each.remove();
                send(indirect.requester, GossipMessage.Kind.NACK, indirect.requesterSequence, indirect.target);
            }
        }
        for (Member m : members) {
            if (m.rumor.state() == MemberState.SUSPECT && now >= m.suspectedAt + suspicionMs()) {
                apply(now, new MembershipRumor(m.rumor.member(), MemberState.DEAD, m.rumor.incarnation()));
            }
        }
        if (now >= nextProbeAt) {
            endProbe(now);
            beginProbe(now);
        }
    }

    /**
     * Handles that this process was stopped. The silence that it observed was caused by itself, and it has not yet read what the
     * others sent meanwhile.
     */
    private void resumeAfterStop(double now) {
        slowness = settings.maxSlowdown() - 1;
        probe = null;
        indirectProbes.clear();
        nextProbeAt = now + ackTimeoutMs();
        for (Member m : members) {
            if (m.rumor.state() == MemberState.SUSPECT) {
                m.suspectedAt = now;
            }
        }
    }

    private void askHelpers() {
        probe.helpersAsked = true;
        List<Integer> candidates = new ArrayList<>();
        for (Member m : members) {
            int number = m.rumor.member();
            if (number != self && number != probe.target && m.rumor.state() == MemberState.ALIVE) {
                candidates.add(number);
            }
        }
        for (int i = 0; i < settings.helpers() && !candidates.isEmpty(); i++) {
            int helper = candidates.remove(random.nextInt(candidates.size()));
            probe.nacksDue++;
            send(helper, GossipMessage.Kind.PING_REQUEST, probe.sequence, probe.target);
        }
    }

    private void endProbe(double now) {
        if (probe == null || probe.acknowledged) {
            return;
        }
        // If no member at all was heard meanwhile, this member is cut off or slow, and not all the others.
        if (lastHeardAt < probe.at) {
            increaseSlowness(1 + probe.nacksDue);
        }
        MembershipRumor rumor = members.get(probe.target).rumor;
        if (rumor.state() == MemberState.ALIVE) {
            apply(now, new MembershipRumor(probe.target, MemberState.SUSPECT, rumor.incarnation()));
        }
    }

    private void beginProbe(double now) {
        nextProbeAt = now + settings.periodMs() * (1 + slowness);
        probe = null;
        if (probeOrder.isEmpty()) {
            for (int i = 0; i < members.size(); i++) {
                if (i != self) {
                    probeOrder.add(random.nextInt(probeOrder.size() + 1), i);
                }
            }
        }
        if (!probeOrder.isEmpty()) {
            // Dead members are probed too: one that was cut off for long must be able to hear that it is assumed dead.
            int target = probeOrder.remove(probeOrder.size() - 1);
            probe = new Probe(target, nextSequence(), now);
            send(target, GossipMessage.Kind.PING, probe.sequence, target);
        }
    }

    private long nextSequence() {
        sequence = sequence + 1 & MASK;
        return sequence;
    }

    private void increaseSlowness(int by) {
        slowness = Math.min(settings.maxSlowdown() - 1, slowness + by);
    }

    private double ackTimeoutMs() {
        return settings.ackTimeoutMs() * (1 + slowness);
    }

    private double suspicionMs() {
        return settings.suspicionPeriods() * Math.max(1, log2(members.size())) * settings.periodMs() * (1 + slowness);
    }

    private static double log2(int size) {
        return Math.log(size) / Math.log(2);
    }

    /**
     * Handles a message.
     *
     * @param from the member at the address that it came from; ignored if the message names another sender
     */
    public void received(double now, int from, GossipMessage message) {
        if (from == self || message.from() != from) {
            return;
        }
        Member sender = members.get(from);
        sender.heardAt = now;
        lastHeardAt = now;
        for (MembershipRumor rumor : message.rumors()) {
            apply(now, rumor);
        }
        if (sender.rumor.state() != MemberState.ALIVE
                || message.rumors().stream().anyMatch(r -> r.member() == from && sender.rumor.supersedes(r))) {
            // The sender is there. It must learn what is reported about it, or about an earlier incarnation, to refute it.
            timesSent.put(from, 0);
        }
        switch (message.kind()) {
            case PING -> send(from, GossipMessage.Kind.ACK, message.sequence(), self);
            case PING_REQUEST -> {
                if (message.target() != self) {
                    long own = nextSequence();
                    indirectProbes.put(own, new IndirectProbe(from, message.sequence(), message.target(),
                            now + NACK_SHARE * ackTimeoutMs()));
                    send(message.target(), GossipMessage.Kind.PING, own, message.target());
                } else {
                    send(from, GossipMessage.Kind.ACK, message.sequence(), self);
                }
            }
            case ACK -> acknowledged(from, message);
            case NACK -> {
                if (probe != null && message.sequence() == probe.sequence) {
                    probe.nacksDue = Math.max(0, probe.nacksDue - 1);
                }
            }
            default -> throw new IllegalStateException();
        }
    }

    private void acknowledged(int from, GossipMessage message) {
        IndirectProbe indirect = indirectProbes.get(message.sequence());
        if (indirect != null && indirect.target == from) {
            indirectProbes.remove(message.sequence());
            send(indirect.requester, GossipMessage.Kind.ACK, indirect.requesterSequence, indirect.target);
        }
        if (probe != null && !probe.acknowledged && message.sequence() == probe.sequence && message.target() == probe.target) {
            probe.acknowledged = true;
            slowness = Math.max(0, slowness - 1);
        }
    }

    /**
     * Applies a rumor that supersedes what is known. A rumor that this member itself is not alive, or is at a later incarnation,
     * is refuted with an incarnation after that.
     */
    private void apply(double now, MembershipRumor rumor) {
        Member m = members.get(rumor.member());
        boolean first = !m.known;
        if (!first && !rumor.supersedes(m.rumor)) {
            return;
        }
        if (rumor.member() == self) {
            if (rumor.state() != MemberState.ALIVE || rumor.incarnation() > m.rumor.incarnation()) {
                // About this process, or about a previous one whose clock was ahead.
                increaseSlowness(1);
                m.rumor = new MembershipRumor(self, MemberState.ALIVE, rumor.incarnation() + 1 & MASK);
                timesSent.put(self, 0);
            }
            return;
        }
        MemberState before = m.rumor.state();
        m.known = true;
        m.rumor = rumor;
        m.rumorAt = now;
        timesSent.put(rumor.member(), 0);
        if (rumor.state() == MemberState.SUSPECT) {
            m.suspectedAt = now;
        }
        if (first || before != rumor.state()) {
            actions.changed(rumor.member(), rumor.state());
        }
    }

    /** Announces that this member leaves, to at most {@code helpers} + 1 members that are alive. */
    public void leave() {
        MembershipRumor own = members.get(self).rumor;
        members.get(self).rumor = new MembershipRumor(self, MemberState.LEFT, own.incarnation());
        timesSent.put(self, 0);
        List<Integer> others = new ArrayList<>();
        for (Member m : members) {
            if (m.rumor.member() != self && m.rumor.state() == MemberState.ALIVE) {
                others.add(m.rumor.member());
            }
        }
        for (int i = 0; i < 1 + settings.helpers() && !others.isEmpty(); i++) {
            int to = others.remove(random.nextInt(others.size()));
            send(to, GossipMessage.Kind.PING, nextSequence(), to);
        }
    }

    private void send(int to, GossipMessage.Kind kind, long messageSequence, int target) {
        actions.send(to, new GossipMessage(kind, self, messageSequence, target, selectRumors(to)));
    }

    /**
     * Selects the rumors of a message: this member's own, the one about the receiver if that needs to know it, and those that
     * were sent least often. A rumor that was sent often enough is not spread any more.
     */
    private List<MembershipRumor> selectRumors(int to) {
        List<MembershipRumor> rumors = new ArrayList<>();
        rumors.add(members.get(self).rumor);
        if (members.get(to).rumor.state() != MemberState.ALIVE || timesSent.getOrDefault(to, 1) == 0) {
            rumors.add(members.get(to).rumor);
        }
        int maxTimes = (int) Math.ceil(3 * Math.max(1, log2(members.size())));
        List<Map.Entry<Integer, Integer>> leastSent = new ArrayList<>(timesSent.entrySet());
        leastSent.sort(Comparator.comparingInt(Map.Entry::getValue));
        for (Map.Entry<Integer, Integer> each : leastSent) {
            if (rumors.size() >= settings.rumorsPerMessage()) {
                break;
            }
            MembershipRumor rumor = members.get(each.getKey()).rumor;
            if (!rumors.contains(rumor)) {
                rumors.add(rumor);
            }
            if (each.getValue() + 1 >= maxTimes) {
                timesSent.remove(each.getKey());
            } else {
                timesSent.put(each.getKey(), each.getValue() + 1);
            }
        }
        return rumors;
    }

    /** Returns the assumed state of a member. */
    public MemberState state(int member) {
        return members.get(member).rumor.state();
    }

    /** Returns the number of members that are assumed alive or only suspected, including this one. */
    public int presentMembers() {
        return (int) members.stream().filter(m -> m.rumor.state() == MemberState.ALIVE || m.rumor.state() == MemberState.SUSPECT)
                .count();
    }

    /** Returns how slow this member assumes itself to be: 0 for not slow. All time-outs are stretched by 1 + slowness. */
    public int slowness() {
        return slowness;
    }

    /** Returns the whole view. */
    public List<MemberView> view(double now) {
        return members.stream().map(m -> new MemberView(m.rumor.member(), m.rumor.state(), m.rumor.incarnation(),
                m.rumor.member() == self ? 0 : now - m.heardAt)).toList();
    }
}
