package slipfield.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** What a whole fleet did, from the logs of its senders. */
@Command(name = "fleet", mixinStandardHelpOptions = true, description = "Counts over all senders, by destination and span of "
        + "time, from their logs: what was asked for, sent, delivered and refused against the limit that was told, how long "
        + "messages waited, what was held, and calls for the list. Senders write the steps it needs with -Dsender.flow=true.",
        exitCodeListHeading = "%nExit codes:%n", exitCodeList = {"0:counted", "2:no log with steps in it, or it can't be read"})
final class FleetCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;
    @Parameters(paramLabel = "FOLDER", description = "One log for each sender, named *.log.")
    private Path folder;
    @Option(names = "--span", paramLabel = "MS", defaultValue = "1000", description = "Length of a span (${DEFAULT-VALUE}).")
    private long spanMs;
    @Option(names = "--destination", paramLabel = "NUMBER", description = "Only this one.")
    private String only;

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        FlowCount count = new FlowCount(Math.max(1, spanMs));
        try (Stream<Path> files = Files.list(folder)) {
            for (Path log : files.filter(f -> f.toString().endsWith(".log")).sorted().toList()) {
                try (Stream<String> lines = Files.lines(log, StandardCharsets.ISO_8859_1)) {
                    count.add(log.getFileName().toString(), lines::iterator);
                }
            }
        } catch (IOException | UncheckedIOException e) {
            err.println(folder + ": can't be read: " + e.getMessage());
            return 2;
        }
        if (count.spans() == 0) {
            err.println(folder + ": no steps in any *.log there; senders write them when started with -Dsender.flow=true");
            return 2;
        }
        out.printf(Locale.ROOT, "%d senders, %d spans of %d ms%n", count.senders(), count.spans(), Math.max(1, spanMs));
        print(out, count);
        out.flush();
        return 0;
    }

    private void print(PrintWriter out, FlowCount count) {
        row(out, "list calls", count, i -> count.lists(i)[0]);
        row(out, "list failed", count, i -> count.lists(i)[1]);
        for (String destination : count.destinations()) {
            if (only != null && !only.equals(destination)) {
                continue;
            }
            List<FlowCount.Cell> cells =
                    Stream.iterate(0, i -> i + 1).limit(count.spans()).map(i -> count.cell(destination, i)).toList();
            out.printf("%ndestination %s%n", destination);
            for (FlowCount.Count c : FlowCount.Count.values()) {
                if (count.total(destination, c) > 0) {
                    row(out, c.name().toLowerCase(Locale.ROOT).replace('_', ' '), count, i -> cells.get(i).get(c));
                }
            }
            int[] held = new int[1];
            row(out, "held", count, i -> held[0] += cells.get(i).held());
            row(out, "limit told", count, i -> cells.get(i).rate() * Math.max(1, spanMs) / 1000);
            row(out, "left told %", count, i -> 100 * cells.get(i).left());
            row(out, "wait 90 % ms", count, i -> cells.get(i).wait90());
        }
    }

    private static void row(PrintWriter out, String name, FlowCount count, ToDoubleFunction<Integer> figure) {
        StringBuilder line = new StringBuilder(String.format("  %-13s", name));
        for (int i = 0; i < count.spans(); i++) {
            double value = figure.applyAsDouble(i);
            line.append(Double.isNaN(value) ? "     -" : String.format(Locale.ROOT, " %5.0f", value));
        }
        out.println(line);
    }
}
