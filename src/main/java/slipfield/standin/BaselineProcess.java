package slipfield.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A {@link Baseline} as a process of its own, to measure beside the sender. */
public final class BaselineProcess implements AutoCloseable {
    /** What its log says once desks can connect. */
    public static final String LISTENS = "a baseline listens at ";

    private final Child life;

    /**
     * Starts it.
     *
     * @param wrapper what it is run by, such as {@code taskset -c 3}; may be empty
     * @param options the JVM's options
     * @param listen where desks connect to
     */
    public BaselineProcess(Path folder, List<String> wrapper, List<String> options, InetSocketAddress listen,
            List<Venue> venues) throws IOException, InterruptedException {
        List<String> arguments = new ArrayList<>(List.of("stand-in", "baseline", "--listen",
                "127.0.0.1:" + listen.getPort()));
        venues.forEach(v -> arguments.addAll(List.of("--venue", "127.0.0.1:" + v.address().getPort())));
        life = new Child(folder.resolve("baseline.log"), wrapper, options, arguments, Map.of(), LISTENS);
    }

    /** CPU that it has used, if the system tells. */
    public Optional<Long> cpuMicros() {
        return life.cpuMicros();
    }

    @Override
    public void close() {
        life.close();
    }
}
