package slipfield.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import slipfield.directory.merged.MergedDirectory;

/** The merged view of a sender's endpoints, as it last wrote it. */
@Command(name = "members", mixinStandardHelpOptions = true, sortOptions = false,
        description = "Shows the endpoints of a sender whose sources an operator's file names: what each source says, "
                + "since when, and why an endpoint is or isn't used. Reads what the sender keeps in its state folder; it "
                + "may be running or not.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:shown", "1:a pool is held to its last good view, or has no endpoint that is used",
            "2:there is no view in this folder, or it can't be read"})
final class MembersCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;
    @Parameters(paramLabel = "FOLDER", description = "The sender's state folder (GW_STATE).")
    private Path folder;
    @Option(names = "--json", description = "The view as it is kept.")
    private boolean json;

    @Override
    public Integer call() {
        Optional<JsonNode> read = Views.read(folder, MergedDirectory.VIEW_FILE, "members",
                "does the sender run with SLIPFIELD_MEMBERS set, "
                + "and this GW_STATE?", spec.commandLine().getErr());
        if (read.isEmpty()) {
            return 2;
        }
        JsonNode view = read.get();
        PrintWriter out = spec.commandLine().getOut();
        if (json) {
            out.println(view.toPrettyString());
        } else {
            print(out, view, System.currentTimeMillis());
        }
        out.flush();
        return good(view) ? 0 : 1;
    }

    private static boolean good(JsonNode view) {
        Set<Long> pools = new HashSet<>();
        Set<Long> used = new HashSet<>();
        view.path("members").forEach(m -> {
            pools.add(m.path("destination").asLong());
            if (m.path("used").asBoolean()) {
                used.add(m.path("destination").asLong());
            }
        });
        return view.path("held").isEmpty() && used.containsAll(pools);
    }

    private static void print(PrintWriter out, JsonNode view, long now) {
        out.println("written " + ago(now - view.path("written_ms").asLong()));
        for (Map.Entry<String, JsonNode> source : view.path("sources").properties()) {
            JsonNode s = source.getValue();
            String trouble = s.path("trouble").asText();
            out.printf("source %-9s %5d endpoints, %s%s%n", source.getKey(), s.path("instances").size(),
                    s.path("heard").asBoolean() ? "heard " + ago(now - s.path("heard_ms").asLong()) : "never heard",
                    trouble.isEmpty() ? "" : "; can't be read: " + trouble);
        }
        view.path("held").properties().forEach(pool -> out.println("destination " + pool.getKey()
                + " is held to its last good view, " + ago(now - pool.getValue().asLong())));
        out.printf("%n%-12s %-22s %-5s %-9s %-10s %-28s %s%n", "DESTINATION", "ADDRESS", "USED", "WHY", "SINCE", "SOURCES SAY",
                "ID");
        for (JsonNode m : view.path("members")) {
            List<String> says = new ArrayList<>();
            m.path("says").properties().forEach(e ->
                    says.add(e.getKey() + "=" + e.getValue().asText().toLowerCase(Locale.ROOT)));
            long again = m.path("again_ms").asLong();
            out.printf("%-12d %-22s %-5s %-9s %-10s %-28s %s%s%n", m.path("destination").asLong(), m.path("address").asText(),
                    m.path("used").asBoolean() ? "yes" : "no", m.path("why").asText().toLowerCase(Locale.ROOT),
                    span(now - m.path("since_ms").asLong()), says.isEmpty() ? "nothing" : String.join(" ", says),
                    m.path("id").asText(), again == 0 ? "" : ", again in " + span(again - now));
        }
    }

    private static String ago(long ms) {
        return span(ms) + " ago";
    }

    private static String span(long ms) {
        Duration d = Duration.ofMillis(Math.max(0, ms));
        return d.toHours() > 0 ? d.toHours() + "h" + d.toMinutesPart() + "m"
                : d.toMinutes() > 0 ? d.toMinutes() + "m" + d.toSecondsPart() + "s"
                : d.toSeconds() + "." + d.toMillisPart() / 100 + "s";
    }
}
