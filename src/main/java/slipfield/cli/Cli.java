package slipfield.cli;

import java.net.InetSocketAddress;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import slipfield.config.Config;
import slipfield.daemon.Daemon;
import slipfield.sim.SimulatorAdapter;

/** All commands, with their help. */
@Command(name = "slipfield", mixinStandardHelpOptions = true, version = "slipfield 0.1",
        description = "Delivers messages to endpoints, and owes each that it has taken exactly one end.",
        footer = {"", "New here? 'slipfield try' runs the whole of it on this machine, with stand-ins."},
        subcommands = {Cli.Serve.class, Cli.Simhost.class, TryCommand.class, BenchCommand.class,
            JournalCommand.class, MembersCommand.class, FlipsCommand.class, StandInCommand.class,
            ConvertCommand.class, SendCommand.class, ReconnectsCommand.class, OutageCommand.class,
            AmqpCommand.class, WorkCommand.class, FleetCommand.class, RigCommand.class})
public final class Cli implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    /** Runs the command that these arguments name; returns the exit code: 2 where they can't be read. */
    public static int run(String... args) {
        return commandLine().execute(args);
    }

    static CommandLine commandLine() {
        return new CommandLine(new Cli()).setCaseInsensitiveEnumValuesAllowed(true)
                .registerConverter(InetSocketAddress.class, Config::address);
    }

    @Override
    public Integer call() {
        throw new ParameterException(spec.commandLine(), "Say what to do:");
    }

    /** The sender itself. */
    @Command(name = "serve", mixinStandardHelpOptions = true,
            description = "Runs a sender until SIGTERM. SIGHUP reads its configuration again.",
            footer = {"", "Environment:",
                "  GW_CONFIG     its JSON configuration (needed)",
                "  GW_STATE      the folder that holds its journal (needed)",
                "  GW_NAME, GW_LISTEN, GW_DISCOVERY   in place of what the configuration says"})
    static final class Serve implements Callable<Integer> {
        @Override
        public Integer call() {
            return Daemon.serve(System.getenv());
        }
    }

    /** The adapter. */
    @Command(name = "simhost", mixinStandardHelpOptions = true,
            description = "Speaks the simulator's wire on standard input and output.")
    static final class Simhost implements Callable<Integer> {
        @Override
        public Integer call() {
            return SimulatorAdapter.serve();
        }
    }
}
