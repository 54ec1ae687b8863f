package slipfield.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.Console;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import slipfield.amqp.Secret;

/** AMQP for operators: who is connected, and secrets for the file. */
@Command(name = "amqp", mixinStandardHelpOptions = true, subcommands = {AmqpCommand.Show.class, AmqpCommand.Hash.class},
        description = "AMQP 0-9-1: connections, channels and what is unsettled; secrets for users.")
final class AmqpCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        throw new ParameterException(spec.commandLine(), "Say what to do:");
    }

    /** What stands. */
    @Command(name = "show", mixinStandardHelpOptions = true, description = "Shows connections and channels with what is "
            + "unsettled on them, as the sender last wrote it: once a second while it runs.",
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {"0:shown", "1:a connection is paused, or reads nothing", "2:nothing is there, or it can't be read"})
    static final class Show implements Callable<Integer> {
        @Spec
        private CommandSpec spec;
        @Parameters(paramLabel = "FOLDER", description = "The sender's state folder (GW_STATE).")
        private Path folder;
        @Option(names = "--json", description = "As it is kept.")
        private boolean json;

        @Override
        public Integer call() {
            PrintWriter out = spec.commandLine().getOut();
            Optional<JsonNode> read = Views.read(folder, "amqp.json", "connections", "does the sender run with SLIPFIELD_AMQP "
                    + "set, and this GW_STATE?", spec.commandLine().getErr());
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
            for (JsonNode c : view.path("connections")) {
                if (c.path("paused").asBoolean() || c.path("readsNothing").asBoolean()) {
                    return 1;
                }
            }
            return 0;
        }

        private static void print(PrintWriter out, JsonNode view) {
            out.printf("written %.1f s ago, %d connections%n%n%-22s %-12s %-11s %-14s %8s %12s %10s %6s%n",
                    (System.currentTimeMillis() - view.path("writtenMs").asLong()) / 1000.0, view.path("connections").size(),
                    "PEER", "USER", "STATE", "", "CHANNELS", "UNCONFIRMED", "CONSUMERS", "OUT");
            for (JsonNode c : view.path("connections")) {
                out.printf("%-22s %-12s %-11s %-14s %8d %12d %10d %6d%n", c.path("peer").asText(), c.path("user").asText(),
                        c.path("state").asText(), c.path("readsNothing").asBoolean() ? "reads nothing"
                                : c.path("paused").asBoolean() ? "paused" : "", c.path("channels").size(),
                        sum(c, "unconfirmed"), sum(c, "consumers"), sum(c, "out"));
            }
        }

        private static long sum(JsonNode connection, String field) {
            long sum = 0;
            for (JsonNode channel : connection.path("channels")) {
                sum += channel.path(field).asLong();
            }
            return sum;
        }
    }

    /** A secret for the file. */
    @Command(name = "secret", mixinStandardHelpOptions = true, description = "Reads a password from the terminal, or a line "
            + "from standard input, and prints what stands for it as `secret` in the operator's file.")
    static final class Hash implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            Console console = System.console();
            String password = console != null ? new String(console.readPassword("password: "))
                    : new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)).readLine();
            if (password == null || password.isEmpty()) {
                throw new ParameterException(spec.commandLine(), "an empty password is none");
            }
            spec.commandLine().getOut().println(Secret.of(password));
            spec.commandLine().getOut().flush();
            return 0;
        }
    }
}
