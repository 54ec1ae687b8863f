package slipfield.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * The merged view of several sources. Quick to stop and slow to resume: an endpoint is used only while every source that
 * names it lets it be used, and one that had stopped only once it was steady for a time that grows with its stops. A
 * floor lies under each pool: a view that would empty it, or take more than a share of it at once, is held against the
 * last good one, but for what was drained on purpose. A source that fails says nothing, and its last word stands.
 *
 * <p>Times are in ms on any clock that does not go back.
 */
public final class Membership {
    /** Fewer stops than this are none. */
    private static final double FORGOTTEN = 0.05;
    private static final int MOST_DOUBLINGS = 30;

    private final MembershipRules rules;
    /** In order of precedence: where several name an endpoint, the first one's attributes hold. */
    private final Map<String, Source> sources = new LinkedHashMap<>();
    private final Map<Long, Pool> pools = new TreeMap<>();
    /** Ids that endpoints bear. */
    private final Set<String> ids = new HashSet<>();

    /** What one source said last. */
    private static final class Source {
        private Map<String, Instance> instances = Map.of();
        private long heardMs;
        private boolean heard;
        private Optional<String> trouble = Optional.empty();
    }

    /**
     * How a source is.
     *
     * @param reported whether it has ever told a view, be it in an earlier life
     * @param ageMs how old its last word is
     * @param error why it can't be read now
     */
    public record SourceState(boolean reported, long ageMs, int endpoints, Optional<String> error) {
    }

    /** What has changed: members that are new or otherwise than before, and ids that are no members any more. */
    public record Change(List<Member> members, List<String> removed) {
        /** Whether it says nothing. */
        public boolean isEmpty() {
            return members.isEmpty() && removed.isEmpty();
        }
    }

    private static final class Endpoint {
        private final String key;
        private String id = "";
        private Instance told;
        private Map<String, Status> says = Map.of();
        /** Empty: no source names it. */
        private Optional<Status> status = Optional.empty();
        /** Since when it could be used without a break; or has not been. */
        private long turnedMs;
        private double stops;
        private long stopsAtMs;
        /** It could be used once, and then not. */
        private boolean stopped;
        private Member shown;

        Endpoint(String key) {
            this.key = key;
        }

        boolean usable() {
            return status.isPresent() && status.get().usable();
        }

        boolean draining() {
            return status.isPresent() && status.get() == Status.DRAINING;
        }
    }

    /** The endpoints of one destination. */
    private static final class Pool {
        private final Map<String, Endpoint> endpoints = new TreeMap<>();
        /** Keys of what was used in the last good view, and when that was taken. */
        private Set<String> good = Set.of();
        private long goodMs;
        /** Since when the floor holds; empty: it doesn't. */
        private Optional<Long> heldSince = Optional.empty();
        private boolean dirty;
        /** When it must be looked at again though nothing is told. */
        private long againMs = Long.MAX_VALUE;
    }

    /** Sources in order of precedence, the first one's attributes before the others'. */
    public Membership(MembershipRules rules, List<String> names) {
        this.rules = rules;
        names.forEach(name -> sources.put(name, new Source()));
    }

    /** The whole list of a source, as it is now. */
    public Change update(long nowMs, String name, Collection<Instance> whole) {
        return take(nowMs, name, whole, nowMs);
    }

    /** What a source had said before this life, so long ago; what it has said in this life is not touched. */
    public Change restore(long nowMs, String name, Collection<Instance> whole, long ageMs) {
        return sources.get(name).heard ? new Change(List.of(), List.of()) : take(nowMs, name, whole, nowMs - ageMs);
    }

    /** A source can't be read: its last word stands. */
    public void sourceFailed(String name, String why) {
        sources.get(name).trouble = Optional.of(why);
    }

    /** A source has answered that nothing is new. */
    public void sourceConfirmed(long nowMs, String name) {
        Source source = sources.get(name);
        source.heardMs = nowMs;
        source.trouble = Optional.empty();
    }

    /** Looks again at what was damped or held. */
    public Change tick(long nowMs) {
        for (Pool pool : pools.values()) {
            pool.dirty |= nowMs >= pool.againMs;
        }
        return decide(nowMs);
    }

    /** When {@link #tick} has something to do, if nothing is said before. */
    public long nextTickMs() {
        return pools.values().stream().mapToLong(p -> p.againMs).min().orElse(Long.MAX_VALUE);
    }

    /** The whole view, by destination and then address. */
    public List<Member> members() {
        List<Member> all = new ArrayList<>();
        for (Pool pool : pools.values()) {
            pool.endpoints.values().stream().filter(e -> e.shown != null).forEach(e -> all.add(e.shown));
        }
        return all;
    }

    /** What a source said last, whatever became of it. It does not change when the source says something else. */
    public Collection<Instance> lastInstances(String name) {
        return Collections.unmodifiableCollection(sources.get(name).instances.values());
    }

    /** Each source's state. */
    public Map<String, SourceState> sourceStates(long nowMs) {
        Map<String, SourceState> states = new LinkedHashMap<>();
        sources.forEach((name, s) -> states.put(name, new SourceState(s.heard, s.heard ? nowMs - s.heardMs : 0,
                s.instances.size(), s.trouble)));
        return states;
    }

    /** Destinations whose floor holds, and since when. */
    public Map<Long, Long> heldPools() {
        Map<Long, Long> held = new TreeMap<>();
        pools.forEach((destination, pool) -> pool.heldSince.ifPresent(since -> held.put(destination, since)));
        return held;
    }

    private Change take(long nowMs, String name, Collection<Instance> whole, long heardMs) {
        Source source = sources.get(name);
        source.heard = true;
        source.heardMs = heardMs;
        source.trouble = Optional.empty();
        Map<String, Instance> now = new HashMap<>();
        // Named twice, the worse word holds: two registrations of one address are one endpoint.
        whole.forEach(i -> now.merge(i.key(), i, (a, b) -> a.status().compareTo(b.status()) >= 0 ? a : b));
        Map<String, Instance> before = source.instances;
        source.instances = now;
        now.forEach((key, instance) -> {
            if (!instance.equals(before.get(key))) {
                retold(nowMs, key, instance.destination());
            }
        });
        before.forEach((key, instance) -> {
            if (!now.containsKey(key)) {
                retold(nowMs, key, instance.destination());
            }
        });
        return decide(nowMs);
    }

    /** What the sources say of this endpoint has changed. */
    private void retold(long nowMs, String key, long destination) {
        Pool pool = pools.computeIfAbsent(destination, d -> new Pool());
        pool.dirty = true;
        Endpoint e = pool.endpoints.computeIfAbsent(key, Endpoint::new);
        boolean could = e.usable();
        Map<String, Status> says = new LinkedHashMap<>();
        Optional<Status> worst = Optional.empty();
        boolean named = false;
        for (Map.Entry<String, Source> s : sources.entrySet()) {
            Instance told = s.getValue().instances.get(key);
            if (told == null) {
                continue;
            }
            says.put(s.getKey(), told.status());
            if (!named) {
                named = true;
                e.told = told;
                if (e.id.isEmpty()) {
                    e.id = id(s.getKey(), told);
                }
            }
            if (worst.isEmpty() || told.status().compareTo(worst.get()) > 0) {
                worst = Optional.of(told.status());
            }
        }
        e.says = says;
        e.status = worst;
        if (could != e.usable()) {
            e.turnedMs = nowMs;
            if (could) {
                e.stopped = true;
                e.stops = stops(e, nowMs) + 1;
                e.stopsAtMs = nowMs;
            }
        }
    }

    /**
     * Kept for as long as the endpoint is known: the core's account of it hangs on its id. The first source's ids stand as
     * they are. Where the same id is at another address while the old one is still known, they are two endpoints: what
     * is out at the old one must not be put down to the new one.
     */
    private String id(String source, Instance told) {
        String id = sources.keySet().iterator().next().equals(source) ? told.id() : source + "/" + told.id();
        if (ids.contains(id)) {
            id += "@" + told.key();
        }
        ids.add(id);
        return id;
    }

    private double stops(Endpoint e, long nowMs) {
        return e.stops * Math.pow(0.5, Math.max(0, nowMs - e.stopsAtMs) / (double) rules.forgiveMs());
    }

    /** When an endpoint that could be used now is used: at once where it never stopped. */
    private long steadyAt(Endpoint e) {
        // As it was when it turned: what is forgiven meanwhile must not end the wait early.
        double stops = stops(e, e.turnedMs);
        if (!e.stopped) {
            return e.turnedMs;
        }
        int doublings = (int) Math.min(MOST_DOUBLINGS, Math.max(0, Math.ceil(stops) - 1));
        return e.turnedMs + Math.min(rules.mostSteadyMs(), rules.steadyMs() << doublings);
    }

    private Change decide(long nowMs) {
        List<Member> changed = new ArrayList<>();
        List<String> gone = new ArrayList<>();
        pools.values().forEach(pool -> {
            if (pool.dirty) {
                decide(nowMs, pool, changed, gone);
            }
        });
        return new Change(changed, gone);
    }

    private void decide(long nowMs, Pool pool, List<Member> changed, List<String> gone) {
        pool.dirty = false;
        pool.againMs = Long.MAX_VALUE;
        Map<String, Member.Reason> sorted = new HashMap<>();
        Set<String> used = new HashSet<>();
        Set<String> damped = new HashSet<>();
        for (Endpoint e : pool.endpoints.values()) {
            Member.Reason why = why(nowMs, e);
            sorted.put(e.key, why);
            if (why == Member.Reason.STEADY) {
                used.add(e.key);
            } else if (why == Member.Reason.DAMPED) {
                damped.add(e.key);
                pool.againMs = Math.min(pool.againMs, steadyAt(e));
            }
        }
        held(nowMs, pool, used, damped).forEach(key -> sorted.put(key, Member.Reason.HELD));
        List<Endpoint> forgotten = new ArrayList<>();
        for (Endpoint e : pool.endpoints.values()) {
            Member.Reason why = sorted.get(e.key);
            if (why != Member.Reason.GONE) {
                show(nowMs, e, why, changed);
                continue;
            }
            if (e.shown != null) {
                gone.add(e.id);
                e.shown = null;
            }
            if (!e.stopped || stops(e, nowMs) < FORGOTTEN) {
                forgotten.add(e);
            } else {
                // Its stops are remembered for a while, should it come back.
                pool.againMs = Math.min(pool.againMs, nowMs + rules.forgiveMs());
            }
        }
        forgotten.forEach(e -> {
            pool.endpoints.remove(e.key);
            ids.remove(e.id);
        });
    }

    private Member.Reason why(long nowMs, Endpoint e) {
        if (e.status.isEmpty()) {
            return Member.Reason.GONE;
        }
        return switch (e.status.get()) {
            case DRAINING -> Member.Reason.DRAINING;
            case CRITICAL -> Member.Reason.CRITICAL;
            case PASSING, WARNING -> nowMs < steadyAt(e) ? Member.Reason.DAMPED : Member.Reason.STEADY;
        };
    }

    private void show(long nowMs, Endpoint e, Member.Reason why, List<Member> changed) {
        Member was = e.shown;
        long since = was != null && was.reason() == why ? was.sinceMs() : nowMs;
        long again = why == Member.Reason.DAMPED ? steadyAt(e) : 0;
        Member now = new Member(e.id, e.told, e.says, why.used(), why, since, again);
        if (!now.equals(was)) {
            e.shown = now;
            changed.add(now);
        }
    }

    /** What is used all the same, since the pool would lose too much at once without it. */
    private Set<String> held(long nowMs, Pool pool, Set<String> used, Set<String> damped) {
        Set<String> reference = new HashSet<>(pool.good);
        // What came since the last good view was taken is part of what there is to lose.
        pool.endpoints.values().stream().filter(e -> e.shown != null && e.shown.used()).forEach(e -> reference.add(e.key));
        reference.removeIf(key -> pool.endpoints.get(key) == null || pool.endpoints.get(key).draining());
        boolean empty = used.isEmpty() && !(reference.isEmpty() && damped.isEmpty());
        boolean shrunk = used.size() < (1 - rules.mostShrink()) * reference.size();
        boolean accepted = !empty && pool.heldSince.isPresent()
                && nowMs - pool.heldSince.get() >= rules.acceptMs();
        if (!empty && (!shrunk || accepted)) {
            boolean windowOver = nowMs - pool.goodMs >= rules.windowMs();
            if (windowOver || accepted || pool.heldSince.isPresent() || used.size() >= reference.size()) {
                pool.good = Set.copyOf(used);
                pool.goodMs = nowMs;
            } else {
                pool.againMs = Math.min(pool.againMs, pool.goodMs + rules.windowMs());
            }
            pool.heldSince = Optional.empty();
            return Set.of();
        }
        long since = pool.heldSince.orElse(nowMs);
        pool.heldSince = Optional.of(since);
        if (!empty) {
            pool.againMs = Math.min(pool.againMs, since + rules.acceptMs());
        }
        Set<String> held = new HashSet<>();
        // What is back and only not steady goes before what has failed.
        damped.stream().filter(key -> empty || reference.contains(key)).forEach(held::add);
        int enough = (int) Math.ceil((1 - rules.mostShrink()) * reference.size());
        if (used.size() + held.size() < Math.max(1, enough)) {
            reference.stream().filter(key -> !used.contains(key)).forEach(held::add);
        }
        return held;
    }
}
