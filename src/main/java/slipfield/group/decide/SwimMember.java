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
 * One member's part in the group, and its view. Each period it pings one other, in a drawn order in which each has its turn once;
 * where no answer comes it asks a few others to ask; where none comes by the period's end it suspects, and after a time that
 * grows with the logarithm of the group it holds for dead who has not said otherwise. What it hears goes on with the notes that
 * it sends anyway, each word as often as the logarithm asks for. So the notes of a member are as many whatever the group's size.
 *
 * <p>Awareness of one's own slowness: a member that hears nobody while its question is out, that is told it is suspected, or that was
 * stopped, takes itself to be the slow one first, and gives others more time by that.
 *
 * <p>One thread; times are ms of any clock that does not go back. Numbers of members are from 0.
 */
public final class SwimMember {
    /** Longer than so many periods without being asked what is due: this process was stopped, and what is out is void. */
    private static final double STOPPED_PERIODS = 2;
    private static final double NACK_SHARE = 0.8;
    private static final long MASK = 0xFFFFFFFFL;

    /** What a member does about others. */
    public interface Actions {
        /** Sends a note. */
        void send(int to, GossipMessage note);

        /** A member's standing has changed here. */
        void changed(int member, MemberState state);
    }

    /** One of the group, as it is seen here. */
    private static final class Member {
        private MembershipRumor rumor;
        private boolean known;
        /** When it was heard by itself, and when anything newer was said of it. */
        private double heardAt = Double.NEGATIVE_INFINITY;
        private double toldAt = Double.NEGATIVE_INFINITY;
        private double suspectedAt;

        private Member(int number) {
            rumor = new MembershipRumor(number, MemberState.ALIVE, 0);
        }
    }

    /** A probe of one's own that is out. */
    private static final class Probe {
        private final int target;
        private final long round;
        private final double at;
        private boolean asked;
        private boolean answered;
        private int nacksDue;

        private Probe(int target, long round, double at) {
            this.target = target;
            this.round = round;
            this.at = at;
        }
    }

    /** A probe for another. */
    private record Errand(int asker, long askersRound, int target, double nackAt) {
    }

    /** A member as this one sees it: with the age of what it knows. */
    public record MemberView(int member, MemberState state, long incarnation, double lastHeardAgoMs) {
    }

    private final int self;
    private final SwimSettings pace;
    private final RandomGenerator random;
    private final Actions actions;
    private final List<Member> members = new ArrayList<>();
    private final List<Integer> order = new ArrayList<>();
    private final Map<Long, Errand> errands = new HashMap<>();
    /** How often each member's word has gone out since it was new. */
    private final Map<Integer, Integer> fresh = new TreeMap<>();
    private Probe probe;
    private long round;
    private int slowness;
    private double nextProbeAt;
    private double lastTickAt;
    private double lastHeardAt;

    /**
     * A member of a group of so many.
     *
     * @param incarnation later than in any earlier life, such as the seconds of the wall clock
     */
    public SwimMember(double now, int self, int size, long incarnation, SwimSettings pace, RandomGenerator random, Actions actions) {
        if (self < 0 || self >= size || size > GossipMessage.MAX_MEMBERS) {
            throw new IllegalArgumentException("member " + self + " of " + size);
        }
        this.self = self;
        this.pace = pace;
        this.random = random;
        this.actions = actions;
        for (int i = 0; i < size; i++) {
            members.add(new Member(i));
        }
        members.get(self).rumor = new MembershipRumor(self, MemberState.ALIVE, incarnation & MASK);
        members.get(self).known = true;
        lastTickAt = now;
        lastHeardAt = now;
        nextProbeAt = now + random.nextDouble() * pace.periodMs();
        fresh.put(self, 0);
    }

    /** When {@link #tick} is due next, at the latest. */
    public double dueAt() {
        double due = nextProbeAt;
        if (probe != null && !probe.answered && !probe.asked) {
            due = Math.min(due, probe.at + ackTimeoutMs());
        }
        for (Errand errand : errands.values()) {
            due = Math.min(due, errand.nackAt);
        }
        for (Member m : members) {
            if (m.rumor.state() == MemberState.SUSPECT) {
                due = Math.min(due, m.suspectedAt + suspicionMs());
            }
        }
        return due;
    }

    /** Does what is due. */
    public void tick(double now) {
        if (now - lastTickAt > STOPPED_PERIODS * pace.periodMs() * (1 + slowness)) {
            wokenLate(now);
        }
        lastTickAt = now;
        if (probe != null && !probe.answered && !probe.asked && now >= probe.at + ackTimeoutMs()) {
            askOthers();
        }
        for (Iterator<Errand> each = errands.values().iterator(); each.hasNext();) {
            Errand errand = each.next();
            if (now >= errand.nackAt) {
                each.remove();
                send(errand.asker, GossipMessage.Kind.NACK, errand.askersRound, errand.target);
            }
        }
        for (Member m : members) {
            if (m.rumor.state() == MemberState.SUSPECT && now >= m.suspectedAt + suspicionMs()) {
                take(now, new MembershipRumor(m.rumor.member(), MemberState.DEAD, m.rumor.incarnation()));
            }
        }
        if (now >= nextProbeAt) {
            endProbe(now);
            beginProbe(now);
        }
    }

    /** This process was stopped: what it took for silence was its own, and what others have said since it has not read yet. */
    private void wokenLate(double now) {
        slowness = pace.maxSlowdown() - 1;
        probe = null;
        errands.clear();
        nextProbeAt = now + ackTimeoutMs();
        for (Member m : members) {
            if (m.rumor.state() == MemberState.SUSPECT) {
                m.suspectedAt = now;
            }
        }
    }

    private void askOthers() {
        probe.asked = true;
        List<Integer> able = new ArrayList<>();
        for (Member m : members) {
            int number = m.rumor.member();
            if (number != self && number != probe.target && m.rumor.state() == MemberState.ALIVE) {
                able.add(number);
            }
        }
        for (int i = 0; i < pace.helpers() && !able.isEmpty(); i++) {
            int helper = able.remove(random.nextInt(able.size()));
            probe.nacksDue++;
            send(helper, GossipMessage.Kind.PING_REQUEST, probe.round, probe.target);
        }
    }

    private void endProbe(double now) {
        if (probe == null || probe.answered) {
            return;
        }
        // Where nobody at all was heard meanwhile it is this member that is cut off or slow, and not all the others.
        if (lastHeardAt < probe.at) {
            slower(1 + probe.nacksDue);
        }
        MembershipRumor rumor = members.get(probe.target).rumor;
        if (rumor.state() == MemberState.ALIVE) {
            take(now, new MembershipRumor(probe.target, MemberState.SUSPECT, rumor.incarnation()));
        }
    }

    private void beginProbe(double now) {
        nextProbeAt = now + pace.periodMs() * (1 + slowness);
        probe = null;
        if (order.isEmpty()) {
            for (int i = 0; i < members.size(); i++) {
                if (i != self) {
                    order.add(random.nextInt(order.size() + 1), i);
                }
            }
        }
        if (!order.isEmpty()) {
            // The dead have their turn too: one that was cut off for long must be able to hear that it is taken for dead.
            int target = order.remove(order.size() - 1);
            probe = new Probe(target, nextRound(), now);
            send(target, GossipMessage.Kind.PING, probe.round, target);
        }
    }

    private long nextRound() {
        round = round + 1 & MASK;
        return round;
    }

    private void slower(int by) {
        slowness = Math.min(pace.maxSlowdown() - 1, slowness + by);
    }

    private double ackTimeoutMs() {
        return pace.ackTimeoutMs() * (1 + slowness);
    }

    private double suspicionMs() {
        return pace.suspicionPeriods() * Math.max(1, log2(members.size())) * pace.periodMs() * (1 + slowness);
    }

    private static double log2(int size) {
        return Math.log(size) / Math.log(2);
    }

    /** A note has come from where the group knows this member to be; {@code from}: by that place, whatever the note says. */
    public void received(double now, int from, GossipMessage note) {
        if (from == self || note.from() != from) {
            return;
        }
        Member sender = members.get(from);
        sender.heardAt = now;
        lastHeardAt = now;
        for (MembershipRumor rumor : note.rumors()) {
            take(now, rumor);
        }
        if (sender.rumor.state() != MemberState.ALIVE
                || note.rumors().stream().anyMatch(w -> w.member() == from && sender.rumor.supersedes(w))) {
            // It is there, and must hear what is said of it, or of an earlier life, to say otherwise.
            fresh.put(from, 0);
        }
        switch (note.kind()) {
            case PING -> send(from, GossipMessage.Kind.ACK, note.round(), self);
            case PING_REQUEST -> {
                if (note.target() != self) {
                    long mine = nextRound();
                    errands.put(mine, new Errand(from, note.round(), note.target(), now + NACK_SHARE * ackTimeoutMs()));
                    send(note.target(), GossipMessage.Kind.PING, mine, note.target());
                } else {
                    send(from, GossipMessage.Kind.ACK, note.round(), self);
                }
            }
            case ACK -> acked(from, note);
            case NACK -> {
                if (probe != null && note.round() == probe.round) {
                    probe.nacksDue = Math.max(0, probe.nacksDue - 1);
                }
            }
            default -> throw new IllegalStateException();
        }
    }

    private void acked(int from, GossipMessage note) {
        Errand errand = errands.get(note.round());
        if (errand != null && errand.target == from) {
            errands.remove(note.round());
            send(errand.asker, GossipMessage.Kind.ACK, errand.askersRound, errand.target);
        }
        if (probe != null && !probe.answered && note.round() == probe.round && note.target() == probe.target) {
            probe.answered = true;
            slowness = Math.max(0, slowness - 1);
        }
    }

    /** Takes a word that goes before what is known; one that says this member is not there is answered by a later incarnation. */
    private void take(double now, MembershipRumor rumor) {
        Member m = members.get(rumor.member());
        boolean first = !m.known;
        if (!first && !rumor.supersedes(m.rumor)) {
            return;
        }
        if (rumor.member() == self) {
            if (rumor.state() != MemberState.ALIVE || rumor.incarnation() > m.rumor.incarnation()) {
                // Of this life, or of an earlier one whose clock was ahead.
                slower(1);
                m.rumor = new MembershipRumor(self, MemberState.ALIVE, rumor.incarnation() + 1 & MASK);
                fresh.put(self, 0);
            }
            return;
        }
        MemberState before = m.rumor.state();
        m.known = true;
        m.rumor = rumor;
        m.toldAt = now;
        fresh.put(rumor.member(), 0);
        if (rumor.state() == MemberState.SUSPECT) {
            m.suspectedAt = now;
        }
        if (first || before != rumor.state()) {
            actions.changed(rumor.member(), rumor.state());
        }
    }

    /** Says that it goes, to as many as one note each reaches in a moment. */
    public void leave() {
        MembershipRumor own = members.get(self).rumor;
        members.get(self).rumor = new MembershipRumor(self, MemberState.LEFT, own.incarnation());
        fresh.put(self, 0);
        List<Integer> others = new ArrayList<>();
        for (Member m : members) {
            if (m.rumor.member() != self && m.rumor.state() == MemberState.ALIVE) {
                others.add(m.rumor.member());
            }
        }
        for (int i = 0; i < 1 + pace.helpers() && !others.isEmpty(); i++) {
            int to = others.remove(random.nextInt(others.size()));
            send(to, GossipMessage.Kind.PING, nextRound(), to);
        }
    }

    private void send(int to, GossipMessage.Kind kind, long noteRound, int target) {
        actions.send(to, new GossipMessage(kind, self, noteRound, target, words(to)));
    }

    /** One's own rumor, what the receiver is said to be, and those that have gone out least often. */
    private List<MembershipRumor> words(int to) {
        List<MembershipRumor> words = new ArrayList<>();
        words.add(members.get(self).rumor);
        if (members.get(to).rumor.state() != MemberState.ALIVE || fresh.getOrDefault(to, 1) == 0) {
            words.add(members.get(to).rumor);
        }
        int most = (int) Math.ceil(3 * Math.max(1, log2(members.size())));
        List<Map.Entry<Integer, Integer>> least = new ArrayList<>(fresh.entrySet());
        least.sort(Comparator.comparingInt(Map.Entry::getValue));
        for (Map.Entry<Integer, Integer> each : least) {
            if (words.size() >= pace.rumorsPerMessage()) {
                break;
            }
            MembershipRumor rumor = members.get(each.getKey()).rumor;
            if (!words.contains(rumor)) {
                words.add(rumor);
            }
            if (each.getValue() + 1 >= most) {
                fresh.remove(each.getKey());
            } else {
                fresh.put(each.getKey(), each.getValue() + 1);
            }
        }
        return words;
    }

    /** What a member is held to be. */
    public MemberState state(int member) {
        return members.get(member).rumor.state();
    }

    /** Members that are held to be alive or are only suspected, this one among them. */
    public int presentMembers() {
        return (int) members.stream().filter(m -> m.rumor.state() == MemberState.ALIVE || m.rumor.state() == MemberState.SUSPECT)
                .count();
    }

    /** How slow this member takes itself to be: 0 not at all. */
    public int slowness() {
        return slowness;
    }

    /** The whole view, with ages. */
    public List<MemberView> view(double now) {
        return members.stream().map(m -> new MemberView(m.rumor.member(), m.rumor.state(), m.rumor.incarnation(),
                m.rumor.member() == self ? 0 : now - m.heardAt)).toList();
    }
}
