package slipfield.rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import java.util.stream.Stream;
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
    private static final int STARTS_AT_ONCE = 4;
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
    private final List<SenderProcess> senders = new ArrayList<>();
    private final Map<Fault, List<Process>> others = new HashMap<>();
    private final Map<Fault, List<ClientCrowd>> crowds = new HashMap<>();
    private final Sightings record = new Sightings();
    /** What each sender asks of its system; none where the schedule strikes nothing of it. */
    private final List<FailingCalls> calls = new ArrayList<>();
    private final ExecutorService starts = Executors.newFixedThreadPool(STARTS_AT_ONCE);
    /** Starts that may not be over, by sender. */
    private final Map<Integer, Future<?>> starting = new HashMap<>();

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
        try (Network network = new Network(schedule.senders(), seed);
                TrialWorld world = new TrialWorld(folder, size, Optional.empty(), schedule.senders(), schedule.venues(), network,
                        record)) {
            preload(world);
            for (int i = 0; i < schedule.senders(); i++) {
                List<String> wrapper = new ArrayList<>(SenderProcess.pinned(
                        pinned ? i % Runtime.getRuntime().availableProcessors() : null));
                wrapper.addAll(calls.isEmpty() ? List.of() : calls.get(i).wrapper());
                senders.add(new SenderProcess(world.folder(i), wrapper, SenderProcess.SMALL));
                start(i);
            }
            awaitStarts();
            for (int i = 0; i < schedule.senders(); i++) {
                world.desks(i).keepOpen((int) (KEPT_OPEN_S * rate / schedule.senders()));
                world.desks(i).atRate(rate / schedule.senders());
            }
            world.venues().forEach(venue -> venue.leastWait(TOLD_WAIT_MS));
            run(network, world);
            for (int i = 0; i < schedule.senders(); i++) {
                world.desks(i).stop();
            }
            awaitStarts();
            world.awaitEnds(GIVE_UP_MS + ENDS_MS);
            return result(network, world);
        } finally {
            others.values().forEach(all -> all.forEach(Process::destroy));
            crowds.values().forEach(all -> all.forEach(ClientCrowd::close));
            senders.forEach(SenderProcess::close);
            starts.shutdownNow();
        }
    }

    private void preload(TrialWorld world) throws IOException, InterruptedException {
        if (schedule.faults().stream().noneMatch(f -> f.kind().ofCalls())) {
            return;
        }
        Path library = FailingCalls.compile(folder);
        for (int i = 0; i < schedule.senders(); i++) {
            calls.add(new FailingCalls(library, folder.resolve("calls-" + i), world.folder(i).resolve("state")));
        }
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
    private void run(Network network, TrialWorld world) throws IOException, InterruptedException {
        double begun = record.nowMs();
        Set<Fault> holding = new HashSet<>();
        while (record.nowMs() - begun < schedule.lengthMs()) {
            Set<Fault> now = new HashSet<>(schedule.at((long) (record.nowMs() - begun)));
            if (!now.equals(holding)) {
                change(network, world, holding, now);
                holding = now;
            }
            seeCpuDelays();
            Thread.sleep(TICK_MS);
        }
        change(network, world, holding, Set.of());
    }

    private void seeCpuDelays() {
        for (int i = 0; i < senders.size(); i++) {
            int sender = i;
            senders.get(i).cpuDelayNanos().ifPresent(nanos -> record.saw(What.CPU_DELAYED, "", sender, -1, nanos / 1e6));
        }
    }

    private void change(Network network, TrialWorld world, Set<Fault> before, Set<Fault> now)
            throws IOException, InterruptedException {
        network.set(now);
        for (Venue venue : world.venues()) {
            boolean down = any(now, Kind.VENUE_DOWN, venue.number());
            if (down != (venue.mood() == Venue.Mood.SILENT)) {
                record.saw(down ? What.DOWN : What.UP, "", -1, venue.number(), -1);
                venue.mood(down ? Venue.Mood.SILENT : Venue.Mood.UP);
            }
        }
        for (int i = 0; i < schedule.senders(); i++) {
            int sender = i;
            Set<Venue> draining = new HashSet<>(world.venues());
            draining.removeIf(v -> now.stream().noneMatch(f -> f.kind() == Kind.VENUE_DRAIN && f.strikes(sender, v.number())));
            world.platform(i).draining(draining);
            world.platform(i).silent(now.stream().anyMatch(f -> f.kind() == Kind.AGENT_SILENT && f.strikes(sender)));
        }
        for (Fault f : before) {
            if (!now.contains(f) && f.kind().ofProcess()) {
                ends(f);
            }
        }
        setCrowds(now, world);
        setCalls(now);
        for (Fault f : now) {
            if (!before.contains(f) && f.kind().ofProcess()) {
                begins(f, world);
            }
        }
    }

    private void setCrowds(Set<Fault> now, TrialWorld world) {
        for (Fault f : now) {
            if (f.kind() == Kind.CROWD) {
                crowds.computeIfAbsent(f, fresh -> IntStream.range(0, schedule.senders()).filter(f::strikes)
                        .mapToObj(i -> new ClientCrowd(world.sender(i), (int) f.size())).toList());
            }
        }
        crowds.keySet().removeIf(f -> {
            boolean over = !now.contains(f);
            if (over) {
                crowds.get(f).forEach(ClientCrowd::close);
            }
            return over;
        });
    }

    /** What each sender's system does from now on; a clock that was set stays so only while its fault holds. */
    private void setCalls(Set<Fault> now) {
        for (int i = 0; i < calls.size(); i++) {
            FailingCalls of = calls.get(i);
            int sender = i;
            List<Fault> struck = now.stream().filter(f -> f.kind().ofCalls() && f.strikes(sender)).toList();
            of.heal();
            of.stepWallClock(0);
            struck.forEach(f -> strike(of, f));
        }
    }

    private static void strike(FailingCalls calls, Fault f) {
        switch (f.kind()) {
            case SOCKETS_FAIL -> {
                calls.fail(FailingCalls.Call.SOCKET, FailingCalls.Errno.ENFILE, f.size());
                calls.fail(FailingCalls.Call.CONNECT, FailingCalls.Errno.ENETUNREACH, f.size());
                calls.fail(FailingCalls.Call.ACCEPT, FailingCalls.Errno.ENOBUFS, f.size());
            }
            case READS_INTERRUPTED -> {
                calls.fail(FailingCalls.Call.SOCKET_READ, FailingCalls.Errno.EINTR, f.size() / 2);
                calls.fail(FailingCalls.Call.SOCKET_WRITE, FailingCalls.Errno.EINTR, f.size() / 2);
            }
            case READS_SHORT -> {
                calls.shorten(FailingCalls.Call.SOCKET_READ, f.size());
                calls.shorten(FailingCalls.Call.SOCKET_WRITE, f.size());
                calls.shorten(FailingCalls.Call.FILE_WRITE, f.size());
            }
            case DISK_FAIL -> {
                calls.fail(FailingCalls.Call.FILE_WRITE, FailingCalls.Errno.ENOSPC, f.size());
                calls.fail(FailingCalls.Call.FILE_TRUNCATE, FailingCalls.Errno.EIO, f.size());
                calls.fail(FailingCalls.Call.FILE_RENAME, FailingCalls.Errno.EIO, f.size());
                calls.fail(FailingCalls.Call.FILE_CLOSE, FailingCalls.Errno.EIO, f.size());
                calls.fail(FailingCalls.Call.FILE_SYNC, FailingCalls.Errno.EIO, f.size());
            }
            case CLOCK_AHEAD -> calls.stepWallClock((long) f.size());
            default -> calls.stepWallClock((long) -f.size());
        }
    }

    private static boolean any(Set<Fault> now, Kind kind, int venue) {
        return now.stream().anyMatch(f -> f.kind() == kind && (f.others().isEmpty() || f.others().contains(venue)));
    }

    private void begins(Fault f, TrialWorld world) throws IOException, InterruptedException {
        for (int i = 0; i < schedule.senders(); i++) {
            if (!f.strikes(i)) {
                continue;
            }
            switch (f.kind()) {
                case KILL, LOSE -> {
                    awaitStart(i);
                    senders.get(i).kill();
                    record.saw(What.ENDED, "", i, -1, -1);
                    if (f.kind() == Kind.LOSE) {
                        // What is lost along with the machine is owed by others, of which there are none yet.
                        world.desks(i).lost();
                        empty(world.folder(i).resolve("state"));
                    }
                }
                case STOP -> {
                    record.saw(What.PAUSED, "", i, -1, -1);
                    senders.get(i).stop();
                }
                case TERM -> {
                    awaitStart(i);
                    record.saw(What.TERMINATED, "", i, -1, -1);
                    world.desks(i).senderEnds(f.forMs());
                    for (int signals = 0; signals < 2; signals++) {
                        senders.get(i).hangUp();
                        senders.get(i).terminate();
                    }
                }
                default -> {
                    List<Process> wanting = others.computeIfAbsent(f, all -> new ArrayList<>());
                    for (int k = 0; k < (int) f.size(); k++) {
                        String core = Integer.toString(i % Runtime.getRuntime().availableProcessors());
                        wanting.add(new ProcessBuilder("timeout", Long.toString(f.forMs() / 1000 + 1), "taskset", "-c", core,
                                "sh", "-c", "while :; do :; done").start());
                    }
                }
            }
        }
    }

    private void ends(Fault f) throws IOException, InterruptedException {
        for (int i = 0; i < schedule.senders(); i++) {
            if (!f.strikes(i)) {
                continue;
            }
            switch (f.kind()) {
                case KILL, LOSE -> start(i);
                case TERM -> {
                    senders.get(i).kill();
                    record.saw(What.ENDED, "", i, -1, -1);
                    start(i);
                }
                case STOP -> {
                    senders.get(i).go();
                    record.saw(What.CONTINUED, "", i, -1, -1);
                }
                default -> others.getOrDefault(f, List.of()).forEach(Process::destroy);
            }
        }
    }

    private static void empty(Path state) throws IOException {
        try (Stream<Path> files = Files.walk(state)) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                Files.delete(file);
            }
        }
    }

    private void start(int sender) {
        Callable<Void> step = () -> {
            senders.get(sender).start();
            record.saw(What.BACK, "", sender, -1, -1);
            return null;
        };
        starting.put(sender, starts.submit(step));
    }

    private void awaitStarts() throws IOException, InterruptedException {
        for (int i = 0; i < schedule.senders(); i++) {
            awaitStart(i);
        }
    }

    private void awaitStart(int sender) throws IOException, InterruptedException {
        try {
            Future<?> last = starting.remove(sender);
            if (last != null) {
                last.get();
            }
        } catch (ExecutionException e) {
            throw new IOException("sender " + sender + " did not start", e.getCause());
        }
    }
}
