package slipfield;

import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import slipfield.daemon.Daemon;
import slipfield.sim.Drill;

/**
 * The command line: {@code serve} runs a real sender, {@code simhost} speaks the simulator's wire on standard
 * input and output.
 */
public final class Main {
    private Main() {
    }

    /** Runs the command named by the first argument; usage goes to standard error, exit code 2. */
    public static void main(String[] args) {
        if (args.length != 1 || !List.of("simhost", "serve").contains(args[0])) {
            System.err.println("usage: java -jar slipfield.jar simhost | serve");
            System.err.println("  simhost speak the simulator's wire on standard input and output");
            System.err.println("  serve   run a sender on real sockets, as its environment configures it");
            System.exit(2);
        }
        if (args[0].equals("serve")) {
            System.exit(Daemon.serve(System.getenv()));
        }
        OutputStream out = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16);
        PrintStream replies = new PrintStream(out, false, StandardCharsets.UTF_8);
        System.exit(new Drill(System.in, replies, System.err).run());
    }
}
