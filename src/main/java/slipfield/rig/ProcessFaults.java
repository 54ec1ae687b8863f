package slipfield.rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import slipfield.rig.plan.Fault;
import slipfield.standin.TrialWorld;

/** Faults that strike processes: they are killed, told to end, stopped, or starved of their core. */
final class ProcessFaults implements AutoCloseable {
    /** Signals to end come in series, as from a supervisor that is in a hurry. */
    private static final int SIGNALS = 2;

    private final SenderFleet fleet;
    private final TrialWorld world;
    private final int senders;
    /** Processes that want the cores of starved senders. */
    private final Map<Fault, List<Process>> competitors = new HashMap<>();

    ProcessFaults(SenderFleet fleet, TrialWorld world, int senders) {
        this.fleet = fleet;
        this.world = world;
        this.senders = senders;
    }

    /** The fault begins to hold. */
    void begin(Fault fault) throws IOException, InterruptedException {
        for (int sender : struck(fault)) {
            switch (fault.kind()) {
                case KILL -> fleet.kill(sender);
                case LOSE -> lose(sender);
                case STOP -> fleet.pause(sender);
                case TERM -> {
                    world.desks(sender).senderEnds(fault.forMs());
                    fleet.terminate(sender, SIGNALS);
                }
                default -> starve(fault, sender);
            }
        }
    }

    /** The fault holds no more. */
    void end(Fault fault) throws IOException, InterruptedException {
        for (int sender : struck(fault)) {
            switch (fault.kind()) {
                case KILL, LOSE -> fleet.start(sender);
                case TERM -> {
                    fleet.kill(sender);
                    fleet.start(sender);
                }
                case STOP -> fleet.resume(sender);
                default -> competitors.getOrDefault(fault, List.of()).forEach(Process::destroy);
            }
        }
    }

    private List<Integer> struck(Fault fault) {
        return IntStream.range(0, senders).filter(fault::strikes).boxed().toList();
    }

    /** What is lost along with the machine is owed by others, of which there are none yet. */
    private void lose(int sender) throws IOException, InterruptedException {
        fleet.kill(sender);
        world.desks(sender).lost();
        try (Stream<Path> files = Files.walk(world.folder(sender).resolve("state"))) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                Files.delete(file);
            }
        }
    }

    private void starve(Fault fault, int sender) throws IOException {
        List<Process> wanting = competitors.computeIfAbsent(fault, all -> new ArrayList<>());
        String seconds = Long.toString(fault.forMs() / 1000 + 1);
        for (int i = 0; i < (int) fault.size(); i++) {
            wanting.add(new ProcessBuilder("timeout", seconds, "taskset", "-c", Integer.toString(core(sender)), "sh", "-c",
                    "while :; do :; done").start());
        }
    }

    /** The core that a sender is pinned to where cores are fought over. */
    static int core(int sender) {
        return sender % Runtime.getRuntime().availableProcessors();
    }

    @Override
    public void close() {
        competitors.values().forEach(all -> all.forEach(Process::destroy));
    }
}
