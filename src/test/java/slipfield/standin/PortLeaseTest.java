package slipfield.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class PortLeaseTest {
    private static final int MANY = 1000;

    /** Leases the only port of a range, says so, and holds it until its input ends. */
    static final class Holder {
        private Holder() {
        }

        public static void main(String[] port) throws IOException {
            try (PortLease held = PortLease.take(Integer.parseInt(port[0]), Integer.parseInt(port[0]) + 1)) {
                System.out.println(held.address().getPort());
                System.in.read();
            }
        }
    }

    /** Guards against two senders of one machine that are given one port, of which the later one waits or fails. */
    @Test
    void noAddressIsGivenOutTwiceWhileNobodyListensThere() throws IOException {
        Set<InetSocketAddress> given = new HashSet<>();
        for (int i = 0; i < MANY; i++) {
            assertTrue(given.add(TrialWorld.freeAddress()), "given out before, after " + i);
        }
    }

    /** Guards against a sender of another process that listens in place of one that is away, and takes its orders. */
    @Test
    void aPortThatAnotherProcessHoldsIsNotGivenOut() throws Exception {
        int port;
        try (PortLease free = PortLease.take()) {
            port = free.address().getPort();
        }
        Process holder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
                System.getProperty("java.class.path"), Holder.class.getName(), Integer.toString(port)).start();
        try {
            assertEquals(Integer.toString(port), holder.inputReader().readLine());
            assertThrows(IOException.class, () -> PortLease.take(port, port + 1));
        } finally {
            holder.destroy();
            holder.waitFor();
        }
        try (PortLease after = PortLease.take(port, port + 1)) {
            assertEquals(port, after.address().getPort());
        }
    }
}
