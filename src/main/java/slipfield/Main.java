package slipfield;

import slipfield.cli.Cli;
import slipfield.daemon.Daemon;
import slipfield.sim.SimulatorAdapter;

/**
 * The program. {@code serve} and {@code simhost} by themselves go their way at once, lest a start load what only the
 * other commands need; all else is the command line's.
 */
public final class Main {
    private Main() {
    }

    /** Runs the command that the arguments name, and exits with its code. */
    public static void main(String[] args) {
        String alone = args.length == 1 ? args[0] : "";
        System.exit(switch (alone) {
            case "serve" -> Daemon.serve(System.getenv());
            case "simhost" -> SimulatorAdapter.serve();
            default -> commandLine(args);
        });
    }

    private static int commandLine(String[] args) {
        try {
            return Cli.run(args);
        } catch (NoClassDefFoundError e) {
            System.err.println("the jar alone knows 'serve' and 'simhost'; for all else run bin/slipfield");
            return 2;
        }
    }
}
