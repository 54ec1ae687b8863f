package slipfield;

import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import slipfield.cli.Cli;
import slipfield.daemon.Daemon;
import slipfield.sim.Drill;

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
            case "serve" -> serve();
            case "simhost" -> simhost();
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

    /** Runs a sender as its environment configures it; returns the exit code. */
    public static int serve() {
        return Daemon.serve(System.getenv());
    }

    /** Speaks the simulator's wire on standard input and output; returns the exit code. */
    public static int simhost() {
        OutputStream out = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16);
        PrintStream replies = new PrintStream(out, false, StandardCharsets.UTF_8);
        return new Drill(System.in, replies, System.err).run();
    }
}
