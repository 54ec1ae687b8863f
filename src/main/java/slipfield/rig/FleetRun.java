package slipfield.rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import slipfield.rig.check.Bounds;
import slipfield.rig.check.Checkers;
import slipfield.rig.check.Event;
import slipfield.rig.check.Violation;
import slipfield.rig.plan.Fault;
import slipfield.rig.plan.Fault.Kind;
import slipfield.rig.plan.Schedule;
import slipfield.standin.Ledger;
import slipfield.standin.SenderProcess;
import slipfield.standin.TrialWorld;
import slipfield.standin.Venue;
import slipfield.standin.Witness.What;

/**
 * Plays a schedule once: real senders as processes, stand-ins, links; what goes wrong goes wrong when it says, and all that the
 * parties saw is checked afterwards. It always ends: a run lasts as long as its schedule and its last order.
 */
public final class FleetRun {
    /** What a run hands orders in by, and what its venues take. */
    private static final long GIVE_UP_MS = 12_000;
    private static final int SERVICE_MICROS = 20_000;
    private static final double LIMIT_PER_SECOND = 22;
    /** Longer than what may be under way when a wait is told. */
    private static final long TOLD_WAIT_MS = 600;
    private static final int MOST_OPEN = 400;
    private static final int SLOTS = 24;
    /** Each connection of a desk is used once in so many seconds: a sender keeps it for 2.5 s. */
    private static final double KEPT_OPEN_S = 2;
    private static final long TICK_MS = 10;
    /** After the last order's time: how much later an end may come, and how long one is waited for. */
    private static final long LATE_MS = 1000;
    private static final long ENDS_MS = 30_000;
    private static final long DRAIN_MS = 2050;
    private static final long GRACE_MS = 150;
    private static final double BURST = 3;
    private static final double SPAN_MS = 1000;

    private final Schedule schedule;
    private final Path folder;
    private final long seed;
    private final double rate;
    private final Sightings record = new Sightings();

    /**
     * What a run showed.
     *
     * @param account what became of each order
     * @param violations rules that did not hold
     * @param record all that was seen
     * @param notes datagrams between senders
     * @param notesTooLong of them, those that were longer than the platform carries
     * @param latestMs by how much the latest end came after its order's time; below 0: before
     */
    public record Result(Ledger.Account account, List<Violation> violations, List<Event> record, long notes,
            long notesTooLong, long latestMs) {
        /** Whether an end came later than the rules allow a sender that was never stopped or away. */
        public boolean endedLate() {
            return latestMs > LATE_MS;
        }

        /** Whether all rules held, and every order has its end. */
        public boolean holds() {
            return violations.isEmpty() && account.holds() && notesTooLong == 0;
        }
    }

    /**
     * A run in this folder.
     *
     * @param rate orders a second that the desks of all senders together hand in
     * @param seed what the links draw from
     */
    public FleetRun(Schedule schedule, Path folder, double rate, long seed) {
        this.schedule = schedule;
        this.folder = folder;
        this.rate = rate;
        this.seed = seed;
    }

    /** The rules' figures in a run. A limit for all senders together is checked where there are shares. */
    private static Bounds bounds(double slowestMs) {
        // What is under way on a slow link when a wait or a drain is told arrives later by that.
        return new Bounds(LATE_MS + slowestMs, TrialWorld.WINDOW_MS, DRAIN_MS + slowestMs, GRACE_MS + 2 * slowestMs, 0, 0, BURST,
                SPAN_MS, LIMIT_PER_SECOND, 0.2, 12_000, 2, 1500);
    }

    /** Plays it; the folder then holds the senders' logs and journals. */
    public Result play() throws IOException, InterruptedException {
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("schedule.yaml"), schedule.toYaml());
        boolean pinned = schedule.faults().stream().anyMatch(f -> f.kind() == Kind.STARVE);
        TrialWorld.Size size = new TrialWorld.Size(schedule.venues(), LIMIT_PER_SECOND, SERVICE_MICROS, GIVE_UP_MS, MOST_OPEN,
                SLOTS);
        // Closed last: senders whose clients are gone end at once.
        try (SenderFleet fleet = new SenderFleet(record);
                Network network = new Network(schedule.senders(), seed);
                TrialWorld world = new TrialWorld(folder, size, Optional.empty(), schedule.senders(), schedule.venues(), network,
                        record);
                ProcessFaults processes = new ProcessFaults(fleet, world, schedule.senders());
                Crowds crowds = new Crowds(world, schedule.senders())) {
            CallFaults calls = new CallFaults(schedule, world, folder);
            for (int i = 0; i < schedule.senders(); i++) {
                List<String> wrapper = new ArrayList<>(SenderProcess.pinned(pinned ? ProcessFaults.core(i) : null));
                wrapper.addAll(calls.wrapper(i));
                fleet.add(new SenderProcess(world.folder(i), wrapper, SenderProcess.SMALL));
            }
            fleet.awaitStarts();
            handIn(world);
            run(fleet, new Change(network, world, processes, crowds, calls));
            for (int i = 0; i < schedule.senders(); i++) {
                world.desks(i).stop();
            }
            fleet.awaitStarts();
            world.awaitEnds(GIVE_UP_MS + ENDS_MS);
            return result(network, world);
        }
    }

    private void handIn(TrialWorld world) {
        double each = rate / schedule.senders();
        for (int i = 0; i < schedule.senders(); i++) {
            world.desks(i).keepOpen((int) (KEPT_OPEN_S * each));
            world.desks(i).atRate(each);
        }
        world.venues().forEach(venue -> venue.leastWait(TOLD_WAIT_MS));
    }

    private Result result(Network network, TrialWorld world) throws IOException {
        double slowest = schedule.faults().stream().filter(f -> f.kind() == Kind.VENUE_SLOW).mapToDouble(f -> 2 * f.size()).sum();
        boolean starved = schedule.faults().stream().anyMatch(f -> f.kind() == Kind.STARVE);
        List<Violation> found = new ArrayList<>(Checkers.check(record.events(), bounds(slowest)));
        // A process that gets too little of a core ends what ran out of time meanwhile late, but once.
        found.removeIf(v -> starved && v.rule().equals("lost") && v.shownBy().contains(" after it was due"));
        Result result = new Result(world.ledger().account(), found, record.events(), network.notes().passed(),
                network.notes().tooLong(), world.ledger().latestMs());
        keep(result);
        return result;
    }

    /** What the run showed, beside logs and journals: whoever deletes the folder knows that nothing in it is needed. */
    private void keep(Result result) throws IOException {
        List<String> lines = new ArrayList<>();
        lines.add(result.account().toString());
        result.violations().forEach(violation -> lines.add(violation.toString()));
        lines.add("milliseconds are since " + record.since());
        result.record().forEach(event -> lines.add(event.toString()));
        Files.write(folder.resolve("seen.txt"), lines);
    }

    /** Faults as they come, by the time since the orders began. */
    private void run(SenderFleet fleet, Change change) throws IOException, InterruptedException {
        double begun = record.nowMs();
        while (record.nowMs() - begun < schedule.lengthMs()) {
            change.to(new HashSet<>(schedule.at((long) (record.nowMs() - begun))));
            fleet.seeCpuDelays();
            Thread.sleep(TICK_MS);
        }
        change.to(Set.of());
    }

    /** Carries out what changes as faults come and go. */
    private final class Change {
        private final Network network;
        private final TrialWorld world;
        private final ProcessFaults processes;
        private final Crowds crowds;
        private final CallFaults calls;
        private Set<Fault> holding = Set.of();

        Change(Network network, TrialWorld world, ProcessFaults processes, Crowds crowds, CallFaults calls) {
            this.network = network;
            this.world = world;
            this.processes = processes;
            this.crowds = crowds;
            this.calls = calls;
        }

        /** These faults hold from now on, and no others. */
        void to(Set<Fault> now) throws IOException, InterruptedException {
            if (now.equals(holding)) {
                return;
            }
            Set<Fault> before = holding;
            holding = now;
            if (!ofLinks(before).equals(ofLinks(now))) {
                network.set(now);
            }
            setVenues(now);
            setAgents(now);
            for (Fault f : before) {
                if (!now.contains(f) && f.kind().ofProcess()) {
                    processes.end(f);
                }
            }
            crowds.set(now);
            calls.set(now);
            for (Fault f : now) {
                if (!before.contains(f) && f.kind().ofProcess()) {
                    processes.begin(f);
                }
            }
        }

        /** The links of a large fleet are thousands: to set them all takes long enough to hold up calls. */
        private static Set<Fault> ofLinks(Set<Fault> faults) {
            return faults.stream().filter(f -> f.kind().ofLinks()).collect(Collectors.toSet());
        }

        private void setVenues(Set<Fault> now) {
            for (Venue venue : world.venues()) {
                Venue.Mood mood = now.stream().filter(f -> f.kind().isOutage()
                        && (f.others().isEmpty() || f.others().contains(venue.number()))).findFirst().map(f -> outage(f.kind())).orElse(Venue.Mood.UP);
                boolean wasDown = venue.mood() != Venue.Mood.UP;
                boolean down = mood != Venue.Mood.UP;
                if (down != wasDown) {
                    record.saw(down ? What.DOWN : What.UP, "", -1, venue.number(), -1);
                }
                venue.mood(mood);
            }
        }

        private static Venue.Mood outage(Kind kind) {
            return switch (kind) {
                case VENUE_FAILING -> Venue.Mood.FAILING;
                case VENUE_SHUT -> Venue.Mood.SHUT;
                default -> Venue.Mood.SILENT;
            };
        }

        private void setAgents(Set<Fault> now) {
            for (int i = 0; i < schedule.senders(); i++) {
                int sender = i;
                Set<Venue> draining = new HashSet<>(world.venues());
                draining.removeIf(v -> now.stream().noneMatch(f -> f.kind() == Kind.VENUE_DRAIN && f.strikes(sender, v.number())));
                world.platform(i).draining(draining);
                world.platform(i).silent(now.stream().anyMatch(f -> f.kind() == Kind.AGENT_SILENT && f.strikes(sender)));
            }
        }
    }
}
