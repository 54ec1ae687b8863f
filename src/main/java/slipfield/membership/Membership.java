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
 * Merges the endpoint lists of several sources into one view. Endpoints are taken out of use at once and brought back slowly:
 * an endpoint is used only while every source that lists it reports it as usable, and one that was unusable is used again
 * only after a time that grows with the number of its stops. Each pool has a floor: a view that would empty the pool, or
 * remove more than a share of it at once, is not applied, and the endpoints of the last good view stay in use, except those
 * that were drained. A source that fails reports nothing, and its last list stays valid.
 *
 * <p>Times are in ms on any clock that does not go back.
 */
public final class Membership {
    /** A decayed number of stops below this counts as none. */
    private static final double MIN_STOPS = 0.05;
    private static final int MAX_DOUBLINGS = 30;

    private final MembershipRules rules;
    /** In order of precedence: if several sources list an endpoint, the attributes of the first one are used. */
    private final Map<String, Source> sources = new LinkedHashMap<>();
    private final Map<Long, Pool> pools = new TreeMap<>();
    /** Ids that are assigned to endpoints. */
    private final Set<String> ids = new HashSet<>();

    /** The last list of one source. */
    private static final class Source {
        private Map<String, Instance> instances = Map.of();
        private long reportedMs;
        private boolean reported;
        private Optional<String> error = Optional.empty();
    }

    /**
     * The state of a source.
     *
     * @param reported whether a list of it is known, from this process or restored from a previous one
     * @param ageMs how old its last report is
     * @param error why it can't be read now
     */
    public record SourceState(boolean reported, long ageMs, int endpoints, Optional<String> error) {
    }

    /** A change of the view: members that are new or have changed, and ids that are no longer members. */
    public record Change(List<Member> members, List<String> removed) {
        /** Returns whether nothing has changed. */
        public boolean isEmpty() {
            return members.isEmpty() && removed.isEmpty();
        }
    }

    private static final class Endpoint {
        private final String key;
        private String id = "";
        private Instance attributes;
        private Map<String, Status> statusBySource = Map.of();
        /** The worst of the reported ones; empty if no source lists the endpoint. */
        private Optional<Status> status = Optional.empty();
        /** When it last became usable or unusable. */
        private long usabilityChangedMs;
        /** Stops so far, decayed as of {@code lastStopMs}. */
        private double stops;
        private long lastStopMs;
        /** It was usable once, and then became unusable. */
        private boolean stopped;
        /** As it is in the view; null if it is not. */
        private Member published;

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
        /** Keys of the endpoints that were used in the last good view, and when that was taken. */
        private Set<String> lastGood = Set.of();
        private long lastGoodMs;
        /** Since when the floor has kept endpoints in use; empty if it does not. */
        private Optional<Long> heldSince = Optional.empty();
        private boolean dirty;
        /** When the pool must be evaluated again even if no source reports anything. */
        private long nextEvaluationMs = Long.MAX_VALUE;
    }

    /** Takes the sources' names in order of precedence: the attributes of an earlier source are preferred. */
    public Membership(MembershipRules rules, List<String> names) {
        this.rules = rules;
        names.forEach(name -> sources.put(name, new Source()));
    }

    /** Applies the current complete list of a source. */
    public Change update(long nowMs, String name, Collection<Instance> whole) {
        return apply(nowMs, name, whole, nowMs);
    }

    /** Applies a source's list from a previous process, {@code ageMs} old. Ignored if a list of it is known. */
    public Change restore(long nowMs, String name, Collection<Instance> whole, long ageMs) {
        return sources.get(name).reported ? new Change(List.of(), List.of()) : apply(nowMs, name, whole, nowMs - ageMs);
    }

    /** Records that a source can't be read. Its last list stays valid. */
    public void sourceFailed(String name, String error) {
        sources.get(name).error = Optional.of(error);
    }

    /** Records that a source has answered that nothing has changed. */
    public void sourceConfirmed(long nowMs, String name) {
        Source source = sources.get(name);
        source.reportedMs = nowMs;
        source.error = Optional.empty();
    }

    /** Evaluates again the pools with damped or held endpoints whose time has come. */
    public Change tick(long nowMs) {
        for (Pool pool : pools.values()) {
            pool.dirty |= nowMs >= pool.nextEvaluationMs;
        }
        return evaluate(nowMs);
    }

    /** Returns when {@link #tick} has to be called next, unless a source reports earlier; {@link Long#MAX_VALUE} for never. */
    public long nextTickMs() {
        return pools.values().stream().mapToLong(p -> p.nextEvaluationMs).min().orElse(Long.MAX_VALUE);
    }

    /** Returns the whole view, ordered by destination and then address. */
    public List<Member> members() {
        List<Member> all = new ArrayList<>();
        for (Pool pool : pools.values()) {
            pool.endpoints.values().stream().filter(e -> e.published != null).forEach(e -> all.add(e.published));
        }
        return all;
    }

    /** Returns the last list of a source, unfiltered. The returned collection stays the same when the source reports again. */
    public Collection<Instance> lastInstances(String name) {
        return Collections.unmodifiableCollection(sources.get(name).instances.values());
    }

    /** Returns the state of each source. */
    public Map<String, SourceState> sourceStates(long nowMs) {
        Map<String, SourceState> states = new LinkedHashMap<>();
        sources.forEach((name, s) -> states.put(name, new SourceState(s.reported, s.reported ? nowMs - s.reportedMs : 0,
                s.instances.size(), s.error)));
        return states;
    }

    /** Returns the destinations whose floor keeps endpoints in use, and since when. */
    public Map<Long, Long> heldPools() {
        Map<Long, Long> held = new TreeMap<>();
        pools.forEach((destination, pool) -> pool.heldSince.ifPresent(since -> held.put(destination, since)));
        return held;
    }

    private Change apply(long nowMs, String name, Collection<Instance> whole, long reportedMs) {
        Source source = sources.get(name);
        source.reported = true;
        source.reportedMs = reportedMs;
        source.error = Optional.empty();
        Map<String, Instance> now = new HashMap<>();
        // Two registrations of one address are one endpoint, and the worse status counts.
        whole.forEach(i -> now.merge(i.key(), i, (a, b) -> a.status().compareTo(b.status()) >= 0 ? a : b));
        Map<String, Instance> before = source.instances;
        source.instances = now;
        now.forEach((key, instance) -> {
            if (!instance.equals(before.get(key))) {
                mergeReports(nowMs, key, instance.destination());
            }
        });
        before.forEach((key, instance) -> {
            if (!now.containsKey(key)) {
                mergeReports(nowMs, key, instance.destination());
            }
        });
        return evaluate(nowMs);
    }

    /** Merges what the sources report about this endpoint, after one of the reports has changed. */
    private void mergeReports(long nowMs, String key, long destination) {
        Pool pool = pools.computeIfAbsent(destination, d -> new Pool());
        pool.dirty = true;
        Endpoint e = pool.endpoints.computeIfAbsent(key, Endpoint::new);
        boolean wasUsable = e.usable();
        Map<String, Status> statusBySource = new LinkedHashMap<>();
        Optional<Status> worst = Optional.empty();
        boolean listed = false;
        for (Map.Entry<String, Source> s : sources.entrySet()) {
            Instance report = s.getValue().instances.get(key);
            if (report == null) {
                continue;
            }
            statusBySource.put(s.getKey(), report.status());
            if (!listed) {
                listed = true;
                e.attributes = report;
                if (e.id.isEmpty()) {
                    e.id = assignId(s.getKey(), report);
                }
            }
            if (worst.isEmpty() || report.status().compareTo(worst.get()) > 0) {
                worst = Optional.of(report.status());
            }
        }
        e.statusBySource = statusBySource;
        e.status = worst;
        if (wasUsable != e.usable()) {
            e.usabilityChangedMs = nowMs;
            if (wasUsable) {
                e.stopped = true;
                e.stops = decayedStops(e, nowMs) + 1;
                e.lastStopMs = nowMs;
            }
        }
    }

    /**
     * Assigns an endpoint's id, which it keeps while it is known, because the core accounts for its calls under that id. The
     * ids of the first source are used unchanged. If the same id appears at another address while the old one is still known,
     * these are two endpoints: calls that are out at the old address must not be attributed to the new one.
     */
    private String assignId(String source, Instance report) {
        String id = sources.keySet().iterator().next().equals(source) ? report.id() : source + "/" + report.id();
        if (ids.contains(id)) {
            id += "@" + report.key();
        }
        ids.add(id);
        return id;
    }

    private double decayedStops(Endpoint e, long nowMs) {
        return e.stops * Math.pow(0.5, Math.max(0, nowMs - e.lastStopMs) / (double) rules.forgiveMs());
    }

    /** Returns when an endpoint that is usable now may be used: at once if it never stopped. */
    private long usableAt(Endpoint e) {
        // Decayed as of the moment when it became usable: stops that are forgotten meanwhile must not shorten the wait.
        double stops = decayedStops(e, e.usabilityChangedMs);
        if (!e.stopped) {
            return e.usabilityChangedMs;
        }
        int doublings = (int) Math.min(MAX_DOUBLINGS, Math.max(0, Math.ceil(stops) - 1));
        return e.usabilityChangedMs + Math.min(rules.mostSteadyMs(), rules.steadyMs() << doublings);
    }

    private Change evaluate(long nowMs) {
        List<Member> changed = new ArrayList<>();
        List<String> removed = new ArrayList<>();
        pools.values().forEach(pool -> {
            if (pool.dirty) {
                evaluate(nowMs, pool, changed, removed);
            }
        });
        return new Change(changed, removed);
    }

    private void evaluate(long nowMs, Pool pool, List<Member> changed, List<String> removed) {
        pool.dirty = false;
        pool.nextEvaluationMs = Long.MAX_VALUE;
        Map<String, Member.Reason> reasons = new HashMap<>();
        Set<String> used = new HashSet<>();
        Set<String> damped = new HashSet<>();
        for (Endpoint e : pool.endpoints.values()) {
            Member.Reason reason = reason(nowMs, e);
            reasons.put(e.key, reason);
            if (reason == Member.Reason.STEADY) {
                used.add(e.key);
            } else if (reason == Member.Reason.DAMPED) {
                damped.add(e.key);
                pool.nextEvaluationMs = Math.min(pool.nextEvaluationMs, usableAt(e));
            }
        }
        held(nowMs, pool, used, damped).forEach(key -> reasons.put(key, Member.Reason.HELD));
        List<Endpoint> forgotten = new ArrayList<>();
        for (Endpoint e : pool.endpoints.values()) {
            Member.Reason reason = reasons.get(e.key);
            if (reason != Member.Reason.GONE) {
                publish(nowMs, e, reason, changed);
                continue;
            }
            if (e.published != null) {
                removed.add(e.id);
                e.published = null;
            }
            if (!e.stopped || decayedStops(e, nowMs) < MIN_STOPS) {
                forgotten.add(e);
            } else {
                // Its stops are remembered for a while, in case it comes back.
                pool.nextEvaluationMs = Math.min(pool.nextEvaluationMs, nowMs + rules.forgiveMs());
            }
        }
        forgotten.forEach(e -> {
            pool.endpoints.remove(e.key);
            ids.remove(e.id);
        });
    }

    private Member.Reason reason(long nowMs, Endpoint e) {
        if (e.status.isEmpty()) {
            return Member.Reason.GONE;
        }
        return switch (e.status.get()) {
            case DRAINING -> Member.Reason.DRAINING;
            case CRITICAL -> Member.Reason.CRITICAL;
            case PASSING, WARNING -> nowMs < usableAt(e) ? Member.Reason.DAMPED : Member.Reason.STEADY;
        };
    }

    private void publish(long nowMs, Endpoint e, Member.Reason reason, List<Member> changed) {
        Member before = e.published;
        long since = before != null && before.reason() == reason ? before.sinceMs() : nowMs;
        long usableAgain = reason == Member.Reason.DAMPED ? usableAt(e) : 0;
        Member now = new Member(e.id, e.attributes, e.statusBySource, reason.used(), reason, since, usableAgain);
        if (!now.equals(before)) {
            e.published = now;
            changed.add(now);
        }
    }

    /**
     * Returns the keys of the endpoints that stay in use although they should not, because the pool would lose too many
     * endpoints at once without them. Updates the last good view.
     */
    private Set<String> held(long nowMs, Pool pool, Set<String> used, Set<String> damped) {
        Set<String> reference = new HashSet<>(pool.lastGood);
        // Endpoints that came into use after the last good view was taken count as well.
        pool.endpoints.values().stream().filter(e -> e.published != null && e.published.used())
                .forEach(e -> reference.add(e.key));
        reference.removeIf(key -> pool.endpoints.get(key) == null || pool.endpoints.get(key).draining());
        boolean empty = used.isEmpty() && !(reference.isEmpty() && damped.isEmpty());
        boolean shrunk = used.size() < (1 - rules.mostShrink()) * reference.size();
        boolean accepted = !empty && pool.heldSince.isPresent()
                && nowMs - pool.heldSince.get() >= rules.acceptMs();
        if (!empty && (!shrunk || accepted)) {
            boolean windowOver = nowMs - pool.lastGoodMs >= rules.windowMs();
            if (windowOver || accepted || pool.heldSince.isPresent() || used.size() >= reference.size()) {
                pool.lastGood = Set.copyOf(used);
                pool.lastGoodMs = nowMs;
            } else {
                pool.nextEvaluationMs = Math.min(pool.nextEvaluationMs, pool.lastGoodMs + rules.windowMs());
            }
            pool.heldSince = Optional.empty();
            return Set.of();
        }
        long since = pool.heldSince.orElse(nowMs);
        pool.heldSince = Optional.of(since);
        if (!empty) {
            pool.nextEvaluationMs = Math.min(pool.nextEvaluationMs, since + rules.acceptMs());
        }
        Set<String> held = new HashSet<>();
        // Damped endpoints, which are usable again, are preferred over those that have failed.
        damped.stream().filter(key -> empty || reference.contains(key)).forEach(held::add);
        int enough = (int) Math.ceil((1 - rules.mostShrink()) * reference.size());
        if (used.size() + held.size() < Math.max(1, enough)) {
            reference.stream().filter(key -> !used.contains(key)).forEach(held::add);
        }
        return held;
    }
}
