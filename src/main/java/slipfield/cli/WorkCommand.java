package slipfield.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** A sender's background work, as it last wrote it. */
@Command(name = "work", mixinStandardHelpOptions = true, description = "Shows a sender's background work: what waits of each "
        + "kind, what it took so far, and how late the loop was. Written once a second while there is any.",
        exitCodeListHeading = "%nExit codes:%n", exitCodeList = {"0:shown", "1:a kind is stopped",
            "2:nothing is there, or it can't be read"})
final class WorkCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;
    @Parameters(paramLabel = "FOLDER", description = "The sender's state folder (GW_STATE).")
    private Path folder;
    @Option(names = "--json", description = "As it is kept.")
    private boolean json;

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        Optional<JsonNode> read = Views.read(folder, "work.json", "kinds", "a sender writes it where something of it has work "
                + "that may wait (AMQP, membership), into its GW_STATE", spec.commandLine().getErr());
        if (read.isEmpty()) {
            return 2;
        }
        JsonNode view = read.get();
        if (json) {
            out.println(view.toPrettyString());
        } else {
            print(out, view);
        }
        out.flush();
        for (JsonNode k : view.path("kinds")) {
            if (!k.path("stopped").asText().isEmpty()) {
                return 1;
            }
        }
        return 0;
    }

    private static void print(PrintWriter out, JsonNode view) {
        out.printf(Locale.ROOT, "written %.1f s ago; the loop was %.1f ms late%n%n%-12s %-6s %6s %6s %8s %9s %6s %6s %10s %12s "
                + "%12s  %s%n", (System.currentTimeMillis() - view.path("writtenMs").asLong()) / 1000.0,
                view.path("latenessMs").asDouble(), "KIND", "GRADE", "DUE", "LATER", "RUNNING", "SLICES", "SHED", "THROWN",
                "CPU MS", "BYTES", "WAITED MS", "STOPPED");
        for (JsonNode k : view.path("kinds")) {
            out.printf(Locale.ROOT, "%-12s %-6s %6d %6d %8d %9d %6d %6d %10.1f %12d %12.1f  %s%n", k.path("kind").asText(),
                    k.path("grade").asText().toLowerCase(Locale.ROOT), k.path("due").asInt(), k.path("later").asInt(),
                    k.path("running").asInt(), k.path("slices").asLong(), k.path("shed").asLong(), k.path("thrown").asLong(),
                    k.path("cpuMs").asDouble(), k.path("bytes").asLong(), k.path("longestWaitMs").asDouble(),
                    k.path("stopped").asText());
        }
    }
}
