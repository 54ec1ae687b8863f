package slipfield.cli;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import slipfield.config.BadInput;
import slipfield.config.Config;
import slipfield.standin.Baseline;
import slipfield.standin.BaselineProcess;
import slipfield.standin.ConsulAgent;
import slipfield.standin.ConsulCluster;
import slipfield.standin.ConsulScript;

/** Stand-ins of other systems, for whoever wants to try a sender, or a client of theirs, against one. */
@Command(name = "stand-in", mixinStandardHelpOptions = true, subcommands = {StandInCommand.Consul.class,
        StandInCommand.Relay.class},
        description = "Runs a stand-in of another system on this machine.")
final class StandInCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        throw new ParameterException(spec.commandLine(), "Say which one:");
    }

    /** Consul's agent. */
    @Command(name = "consul", mixinStandardHelpOptions = true, sortOptions = false,
            description = "Answers as an agent of Consul does: catalogue, health, blocking queries, registration, checks "
                    + "with a time to live, maintenance, tokens. Until it is ended.",
            footer = {"", "A script has a line for each step: milliseconds since the start, then one of",
                "  register NAME ID HOST:PORT [TAG|KEY=VALUE ...]    deregister ID    clear",
                "  check ID passing|warning|critical                 maintenance ID|node on|off",
                "  fault none|hang|error|truncated|huge|lags|lags_unaware|no_leader|empty|redirect|shape|closes",
                "  restore INDEX                                     token TOKEN|none"})
    static final class Consul implements Callable<Integer> {
        @Spec
        private CommandSpec spec;
        @Option(names = "--listen", paramLabel = "HOST:PORT", defaultValue = "127.0.0.1:8500",
                description = "Where; port 0: a free one. Default: ${DEFAULT-VALUE}")
        private String listen;
        @Option(names = "--script", paramLabel = "FILE", description = "What happens, when.")
        private Path script;
        @Option(names = "--once", description = "Ends when the script has.")
        private boolean once;

        @Override
        public Integer call() throws InterruptedException {
            PrintWriter out = spec.commandLine().getOut();
            EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
            ConsulCluster cluster = new ConsulCluster();
            try (ConsulAgent agent = new ConsulAgent(group, cluster, address())) {
                ConsulScript steps = script == null ? null : ConsulScript.read(script, cluster, agent);
                out.println("a stand-in Consul listens at " + Config.hostPort(agent.address()));
                out.flush();
                if (steps != null) {
                    steps.play();
                }
                if (!once) {
                    new CountDownLatch(1).await();
                }
                return 0;
            } catch (IOException e) {
                spec.commandLine().getErr().println(e.getMessage());
                return 2;
            } finally {
                group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            }
        }

        private InetSocketAddress address() {
            return StandInCommand.address(spec, "--listen", listen);
        }
    }

    private static InetSocketAddress address(CommandSpec spec, String option, String text) {
        try {
            return Config.address(text);
        } catch (BadInput bad) {
            throw new ParameterException(spec.commandLine(), option + ": " + bad.getMessage());
        }
    }

    /** A relay that owes nothing. */
    @Command(name = "baseline", mixinStandardHelpOptions = true, sortOptions = false,
            description = "Passes orders on to venues in turn, with three tries, and answers when a venue has: keeps nothing and "
                    + "decides nothing. What `bench --baseline` measures the sender beside. Until it is ended.")
    static final class Relay implements Callable<Integer> {
        @Spec
        private CommandSpec spec;
        @Option(names = "--listen", paramLabel = "HOST:PORT", required = true, description = "Where; port 0: a free one.")
        private String listen;
        @Option(names = "--venue", paramLabel = "HOST:PORT", required = true, description = "A venue; may be given again.")
        private List<String> venues;

        @Override
        public Integer call() throws InterruptedException {
            EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
            List<InetSocketAddress> to = venues.stream().map(v -> address(spec, "--venue", v)).toList();
            try (Baseline baseline = new Baseline(group.next(), address(spec, "--listen", listen), to)) {
                spec.commandLine().getOut().println(BaselineProcess.LISTENS + Config.hostPort(baseline.address()));
                spec.commandLine().getOut().flush();
                new CountDownLatch(1).await();
                return 0;
            } finally {
                group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            }
        }
    }
}
