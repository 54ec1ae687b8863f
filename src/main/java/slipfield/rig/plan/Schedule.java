package slipfield.rig.plan;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import slipfield.rig.plan.Fault.Kind;

/**
 * A run of the rig: how many senders and venues, for how long, with what faults. Drawn from a seed, or read from a file.
 *
 * @param senders how many processes
 * @param venues how many stand-in venues
 * @param lengthMs how long orders are handed in
 * @param faults in the order of their beginnings
 */
public record Schedule(int senders, int venues, long lengthMs, List<Fault> faults) {
    /** Bounds of a run: it always ends, and this machine carries it. */
    public static final int MOST_SENDERS = 48;
    public static final int MOST_VENUES = 20;
    public static final long MOST_MS = 600_000;
    public static final int MOST_FAULTS = 100;
    private static final long LEAST_MS = 1000;
    /** Faults are drawn one in so many ms, and never last into the last quarter of a run. */
    private static final long DRAWN_EACH_MS = 2500;
    private static final double QUIET_END = 0.75;
    private static final long SHORTEST_MS = 300;
    private static final long LONGEST_MS = 6000;
    /** SIGKILL comes no sooner after SIGTERM, by the protocol. */
    private static final long TERM_MS = 3700;
    private static final double CLOCK_HOUR_MS = 3_600_000;
    /** What is drawn where calls of senders may fail too. */
    private static final List<Kind> WITH_CALLS = List.of(Kind.SOCKETS_FAIL, Kind.READS_INTERRUPTED, Kind.READS_SHORT,
            Kind.DISK_FAIL, Kind.DISK_FAIL, Kind.CLOCK_AHEAD, Kind.CLOCK_BEHIND, Kind.KILL, Kind.KILL, Kind.TERM, Kind.VENUE_DOWN,
            Kind.VENUE_REFUSE, Kind.VENUE_RESET, Kind.VENUE_DRAIN, Kind.AGENT_SILENT, Kind.TERM, Kind.CROWD);
    private static final List<Kind> OUTAGES = List.of(Kind.VENUE_DOWN, Kind.VENUE_FAILING, Kind.VENUE_SHUT);
    /** What other draws leave out. */
    private static final List<Kind> NOT_DRAWN_AT_RANDOM = List.of(Kind.TERM, Kind.CROWD, Kind.HOSTILE_CROWD, Kind.VENUE_FAILING,
            Kind.VENUE_SHUT);
    private static final long KILLED_FOR_MS = 650;
    /** More than the connections that a sender of the rig has for clients: 0.6 of 2048 less 48. */
    private static final int CROWD = 1300;

    /** Checks its bounds, and that each fault names what there is. */
    public Schedule {
        if (senders < 1 || senders > MOST_SENDERS || venues < 1 || venues > MOST_VENUES || lengthMs < LEAST_MS
                || lengthMs > MOST_MS || faults.size() > MOST_FAULTS) {
            throw new IllegalArgumentException("1 to " + MOST_SENDERS + " senders, 1 to " + MOST_VENUES + " venues, "
                    + LEAST_MS + " to " + MOST_MS + " ms, " + MOST_FAULTS + " faults at most");
        }
        faults = faults.stream().sorted(Comparator.comparingLong(Fault::atMs)).toList();
        for (Fault f : faults) {
            int others = f.kind().betweenSenders() ? senders : venues;
            if (f.endMs() > lengthMs || f.senders().stream().anyMatch(s -> s < 0 || s >= senders)
                    || f.others().stream().anyMatch(o -> o < 0 || o >= others)) {
                throw new IllegalArgumentException(f.kind().word() + " at " + f.atMs() + " ms names what is not there, or "
                        + "lasts past the end");
            }
        }
    }

    /** Faults that hold at this time. */
    public List<Fault> at(long ms) {
        return faults.stream().filter(f -> f.atMs() <= ms && ms < f.endMs()).toList();
    }

    /** A run of this size with faults drawn from a generator. A process that is down is not struck again meanwhile. */
    public static Schedule drawn(RandomGenerator random, int senders, int venues, long lengthMs) {
        return drawn(random, senders, venues, lengthMs,
                Arrays.stream(Kind.values()).filter(kind -> !kind.ofCalls() && !NOT_DRAWN_AT_RANDOM.contains(kind)).toList());
    }

    /**
     * Outages of each kind at venues, the longer the later, with senders that are killed or told to end in them: what a recovering
     * venue is sent then is what such a run is for. A third of the run is left for each return.
     */
    public static Schedule drawnOutages(RandomGenerator random, int senders, int venues, long lengthMs) {
        List<Fault> faults = new ArrayList<>();
        long each = lengthMs / 3;
        for (int venue = 0; venue < venues; venue++) {
            Kind kind = OUTAGES.get(random.nextInt(OUTAGES.size()));
            long at = lengthMs / 10 + random.nextLong(each / 2);
            long length = Math.max(SHORTEST_MS, each / 2 + random.nextLong(each / 2));
            faults.add(new Fault(kind, at, length, List.of(), List.of(venue), 0));
        }
        long killedAt = lengthMs / 10 + each / 2 + random.nextLong(each / 2);
        List<Integer> killed = some(random, senders);
        faults.add(new Fault(Kind.KILL, killedAt, KILLED_FOR_MS, killed, List.of(), 0));
        List<Integer> told = some(random, senders).stream().filter(sender -> !killed.contains(sender)).toList();
        if (!told.isEmpty() && killedAt + TERM_MS <= lengthMs) {
            faults.add(new Fault(Kind.TERM, killedAt, TERM_MS, told, List.of(), 0));
        }
        return new Schedule(senders, venues, lengthMs, faults);
    }

    /** The same with system calls that fail, clocks that are set, and signals in series. */
    public static Schedule drawnWithCalls(RandomGenerator random, int senders, int venues, long lengthMs) {
        Schedule drawn = drawn(random, senders, venues, lengthMs, WITH_CALLS);
        return new Schedule(senders, venues, lengthMs,
                drawn.faults.stream().map(fault -> random.nextBoolean() ? hostile(fault) : fault).toList());
    }

    private static Fault hostile(Fault fault) {
        return fault.kind() != Kind.CROWD ? fault : new Fault(Kind.HOSTILE_CROWD, fault.atMs(), fault.forMs(), fault.senders(),
                fault.others(), fault.size());
    }

    private static Schedule drawn(RandomGenerator random, int senders, int venues, long lengthMs, List<Kind> kinds) {
        List<Fault> faults = new ArrayList<>();
        Map<Integer, Long> downUntil = new HashMap<>();
        long last = (long) (lengthMs * QUIET_END);
        for (long at = DRAWN_EACH_MS / 2; at < last; at += DRAWN_EACH_MS / 2 + random.nextLong(DRAWN_EACH_MS)) {
            Kind kind = kinds.get(random.nextInt(kinds.size()));
            long most = Math.min(LONGEST_MS, last - at);
            if (most < SHORTEST_MS || kind.betweenSenders() && senders < 2) {
                continue;
            }
            long begin = at;
            List<Integer> struck = some(random, senders);
            if (kind.ofProcess()) {
                struck = struck.stream().filter(s -> downUntil.getOrDefault(s, 0L) < begin).toList();
                if (struck.isEmpty()) {
                    continue;
                }
            }
            long drawn = SHORTEST_MS + random.nextLong(most - SHORTEST_MS + 1);
            long length = kind == Kind.TERM ? TERM_MS : drawn;
            if (length > most) {
                continue;
            }
            if (kind.ofProcess()) {
                // Its start takes a while too.
                struck.forEach(s -> downUntil.put(s, begin + length + LONGEST_MS));
            }
            List<Integer> others = kind.namesOthers() ? some(random, kind.betweenSenders() ? senders : venues) : List.of();
            faults.add(new Fault(kind, at, length, kind.namesSenders() ? struck : List.of(), others, size(random, kind)));
        }
        return new Schedule(senders, venues, lengthMs, faults);
    }

    /** One, or a few, or most of so many. */
    private static List<Integer> some(RandomGenerator random, int many) {
        double share = random.nextInt(3) == 0 ? 0.7 : random.nextDouble() * 0.4;
        List<Integer> some = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            if (random.nextDouble() < share) {
                some.add(i);
            }
        }
        return some.isEmpty() ? List.of(random.nextInt(many)) : some;
    }

    private static double size(RandomGenerator random, Kind kind) {
        return switch (kind) {
            case VENUE_SLOW, NOTES_SLOW -> 20 + random.nextInt(480);
            case VENUE_NARROW -> 2000 + random.nextInt(30_000);
            case NOTES_LOST, NOTES_DOUBLED -> (1 + random.nextInt(9)) / 10.0;
            case CROWD, HOSTILE_CROWD -> CROWD;
            case STARVE -> 2 + random.nextInt(5);
            case SOCKETS_FAIL, READS_INTERRUPTED, READS_SHORT, DISK_FAIL -> (2 + random.nextInt(9)) / 10.0;
            case CLOCK_AHEAD, CLOCK_BEHIND -> random.nextBoolean() ? 1000 + random.nextInt(9000) : CLOCK_HOUR_MS;
            default -> 0;
        };
    }

    /** The shortest that still fails, found by leaving out faults, most at once first (Zeller's delta debugging). */
    public Schedule shrunk(Predicate<Schedule> fails) {
        List<Fault> left = new ArrayList<>(faults);
        int parts = 2;
        while (!left.isEmpty()) {
            int each = Math.max(1, (left.size() + parts - 1) / parts);
            boolean smaller = false;
            for (int from = 0; from < left.size() && !smaller; from += each) {
                List<Fault> fewer = new ArrayList<>(left.subList(0, from));
                fewer.addAll(left.subList(Math.min(left.size(), from + each), left.size()));
                if (fails.test(new Schedule(senders, venues, lengthMs, fewer))) {
                    left = fewer;
                    smaller = true;
                }
            }
            if (!smaller && each == 1) {
                break;
            }
            parts = smaller ? Math.max(2, parts - 1) : Math.min(left.size(), 2 * parts);
        }
        return new Schedule(senders, venues, lengthMs, left);
    }

    /** As a file has it. */
    public String toYaml() {
        StringBuilder yaml = new StringBuilder(String.format(Locale.ROOT, "senders: %d%nvenues: %d%nlength: %d ms%n", senders,
                venues, lengthMs));
        yaml.append(faults.isEmpty() ? "" : "faults:\n");
        for (Fault f : faults) {
            yaml.append(String.format(Locale.ROOT, "  - {kind: %s, at: %d ms, for: %d ms", f.kind().word(), f.atMs(), f.forMs()));
            yaml.append(list("senders", f.senders())).append(list("others", f.others()));
            yaml.append(f.size() == 0 ? "" : ", size: " + f.size()).append("}\n");
        }
        return yaml.toString();
    }

    private static String list(String key, List<Integer> numbers) {
        return numbers.isEmpty() ? "" : ", " + key + ": " + numbers.stream().map(n -> Integer.toString(n))
                .collect(Collectors.joining(", ", "[", "]"));
    }
}
