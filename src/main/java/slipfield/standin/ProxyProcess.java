package slipfield.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A plain proxy with retries over the same venues, to measure beside the sender: HAProxy on one thread. It keeps
 * nothing, decides by round robin, and answers a desk when a venue has.
 */
public final class ProxyProcess implements AutoCloseable {
    private static final long START_MS = 5000;
    private static final long LOOK_MS = 10;

    private final Process process;

    /**
     * Starts it, and waits until desks can connect.
     *
     * @param program HAProxy's program
     * @param wrapper what it is run by, such as {@code taskset -c 3}; may be empty
     * @param listen where desks connect to
     */
    public ProxyProcess(Path folder, String program, List<String> wrapper, InetSocketAddress listen,
            List<Venue> venues) throws IOException, InterruptedException {
        StringBuilder config = new StringBuilder("""
                global
                  maxconn 2000
                  nbthread 1
                defaults
                  mode http
                  timeout connect 1s
                  timeout client 30s
                  timeout server 8s
                  retries 3
                  option redispatch
                  retry-on conn-failure empty-response response-timeout 503
                  http-reuse always
                """);
        config.append("frontend desks\n  bind ").append(listen.getHostString()).append(':').append(listen.getPort())
                .append("\n  default_backend venues\nbackend venues\n  balance roundrobin\n");
        for (Venue venue : venues) {
            config.append("  server ").append(venue.id()).append(" 127.0.0.1:").append(venue.address().getPort())
                    .append('\n');
        }
        Path file = folder.resolve("haproxy.cfg");
        Files.writeString(file, config);
        List<String> command = new ArrayList<>(wrapper);
        command.addAll(List.of(program, "-db", "-f", file.toString()));
        process = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(folder.resolve("haproxy.log").toFile()).start();
        for (long waited = 0; !connects(listen); waited += LOOK_MS) {
            if (!process.isAlive() || waited > START_MS) {
                process.destroyForcibly();
                throw new IOException("the proxy did not start; its log says: "
                        + Files.readString(folder.resolve("haproxy.log")).trim());
            }
            Thread.sleep(LOOK_MS);
        }
    }

    private static boolean connects(InetSocketAddress address) {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            return socket.isConnected();
        } catch (IOException notYet) {
            return false;
        }
    }

    /** CPU that it has used, if the system tells. */
    public Optional<Long> cpuMicros() {
        return process.info().totalCpuDuration().map(used -> used.toNanos() / 1000);
    }

    @Override
    public void close() {
        process.destroy();
    }
}
