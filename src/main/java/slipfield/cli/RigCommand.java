package slipfield.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import slipfield.config.BadInput;
import slipfield.rig.FleetRun;
import slipfield.rig.ScheduleFile;
import slipfield.rig.check.Untried;
import slipfield.rig.plan.Schedule;

/** Many real senders on this machine, with faults between them. */
@Command(name = "rig", mixinStandardHelpOptions = true, description = "Starts senders as processes beside stand-in venues, agents "
        + "and desks, with a link between every two that can be cut and slowed; plays faults drawn from a seed, or those of a "
        + "file; and checks the rules from what the others saw.",
        exitCodeListHeading = "%nExit codes:%n", exitCodeList = {"0:all rules held in all runs", "1:a rule did not hold",
            "2:a schedule can't be read, or an option can't be meant"})
final class RigCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;
    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "The first schedule's seed (${DEFAULT-VALUE}).")
    private long seed;
    @Option(names = "--runs", paramLabel = "N", defaultValue = "1", description = "So many schedules, each of the next seed, 1 to 1000.")
    private int runs;
    @Option(names = "--senders", paramLabel = "N", defaultValue = "5", description = "Processes, 1 to 48 (${DEFAULT-VALUE}).")
    private int senders;
    @Option(names = "--venues", paramLabel = "N", defaultValue = "4", description = "Venues, 1 to 20 (${DEFAULT-VALUE}).")
    private int venues;
    @Option(names = "--seconds", paramLabel = "S", defaultValue = "20", description = "Orders are handed in for so long, 1 to 600.")
    private int seconds;
    @Option(names = "--rate", paramLabel = "N", defaultValue = "60", description = "Orders a second by all desks, 1 to 2000.")
    private double rate;
    @Option(names = "--schedule", paramLabel = "FILE", description = "Plays this file in place of drawn faults.")
    private Path file;
    @Option(names = "--calls", description = "Draws system calls that fail, clocks that are set and signals in series too. Needs a C "
            + "compiler.")
    private boolean withCalls;
    @Option(names = "--outages", description = "Draws outages of venues of each kind alone, with senders killed and told to end in "
            + "them.")
    private boolean outages;
    @Option(names = "--show", description = "Prints the schedule, and plays nothing.")
    private boolean show;
    @Option(names = "--shrink", description = "Where a rule did not hold, leaves out faults as long as it still does not, and "
            + "prints what is left.")
    private boolean shrink;
    @Option(names = "--folder", paramLabel = "FOLDER", description = "Where schedules, journals and logs go. Default: a new "
            + "folder; a run in which all rules held and every end was in time is deleted there.")
    private Path folder;

    @Override
    public Integer call() throws IOException, InterruptedException {
        check(runs >= 1 && runs <= 1000, "--runs is 1 to 1000");
        check(rate >= 1 && rate <= 2000, "--rate is 1 to 2000");
        check(senders >= 1 && senders <= Schedule.MOST_SENDERS, "--senders is 1 to " + Schedule.MOST_SENDERS);
        check(venues >= 1 && venues <= Schedule.MOST_VENUES, "--venues is 1 to " + Schedule.MOST_VENUES);
        check(seconds >= 1 && seconds <= Schedule.MOST_MS / 1000, "--seconds is 1 to " + Schedule.MOST_MS / 1000);
        PrintWriter out = spec.commandLine().getOut();
        Schedule read = null;
        try {
            read = file == null ? null : ScheduleFile.read(file);
        } catch (BadInput e) {
            spec.commandLine().getErr().println(e.getMessage());
            return 2;
        } catch (IOException e) {
            spec.commandLine().getErr().println(file + ": can't be read: " + e.getMessage());
            return 2;
        }
        Path at = folder == null ? Files.createTempDirectory("slipfield-rig") : folder;
        int bad = 0;
        for (int i = 0; i < runs; i++) {
            Schedule schedule = read != null ? read : draw(seed + i);
            if (show) {
                out.print(schedule.toYaml());
            } else if (!holds(schedule, at.resolve("seed-" + (seed + i)), seed + i, out)) {
                bad++;
            }
            out.flush();
        }
        if (folder == null && Folders.isEmpty(at)) {
            Folders.delete(at);
        }
        return bad == 0 ? 0 : 1;
    }

    private Schedule draw(long from) {
        SplittableRandom random = new SplittableRandom(from);
        if (outages) {
            return Schedule.drawnOutages(random, senders, venues, 1000L * seconds);
        }
        return withCalls ? Schedule.drawnWithCalls(random, senders, venues, 1000L * seconds)
                : Schedule.drawn(random, senders, venues, 1000L * seconds);
    }

    private void check(boolean holds, String rule) {
        if (!holds) {
            throw new ParameterException(spec.commandLine(), rule);
        }
    }

    private boolean holds(Schedule schedule, Path at, long drawnFrom, PrintWriter out) throws IOException, InterruptedException {
        FleetRun.Result result = new FleetRun(schedule, at, rate, drawnFrom).play();
        out.printf(Locale.ROOT, "seed %d: %d faults, %d orders taken, %d delivered, %d refused, %d failed, %d lost, %d doubled; "
                + "latest end %d ms %s its time; %d notes: %s%n", drawnFrom, schedule.faults().size(), result.account().taken(),
                result.account().delivered(), result.account().refused(), result.account().failed(), result.account().lost(),
                result.account().doubled(), Math.abs(result.latestMs()), result.latestMs() > 0 ? "after" : "before",
                result.notes(), result.holds() ? "all rules held" : "NOT all rules held");
        List<Untried> restarts = Untried.count(result.record());
        out.printf(Locale.ROOT, "  %d restarts found %d orders untried: %d were called since, %d given up with no call%n", restarts.size(),
                restarts.stream().mapToInt(Untried::found).sum(), restarts.stream().mapToInt(Untried::called).sum(),
                restarts.stream().mapToInt(Untried::givenUp).sum());
        if (result.holds() && !result.endedLate()) {
            Folders.delete(at);
            return true;
        }
        result.violations().stream().limit(10).forEach(v -> out.printf(Locale.ROOT, "  %s at %.0f ms: %s%n", v.rule(), v.atMs(),
                v.shownBy()));
        out.println("  schedule, journals, logs and what was seen are in " + at);
        out.flush();
        if (result.holds()) {
            return true;
        }
        if (shrink) {
            int[] tried = {0};
            Schedule least = schedule.shrunk(fewer -> fails(fewer, at.resolve("shrunk-" + tried[0]++), drawnFrom));
            out.println("  still fails with:\n" + least.toYaml().indent(4));
        }
        return false;
    }

    private boolean fails(Schedule schedule, Path at, long drawnFrom) {
        try {
            return !new FleetRun(schedule, at, rate, drawnFrom).play().holds();
        } catch (IOException e) {
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
