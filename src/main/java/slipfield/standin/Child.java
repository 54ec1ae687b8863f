package slipfield.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import slipfield.core.Sender;

/** A command of this program as a process of its own: started, awaited by a line of its log, killed. */
final class Child implements AutoCloseable {
    /** On a machine with too much to do a start takes ten times as long and more. */
    private static final long START_MS = 120_000;
    private static final long END_S = 10;
    private static final long LOOK_MS = 10;

    /** What the name of the sender's event loop begins with. */
    private static final String EVENT_LOOP = Sender.THREAD_NAME + "-";

    /** All that this process has started: they end with it, also where it is told to end in the middle of a run. */
    private static final Set<Process> STARTED = ConcurrentHashMap.newKeySet();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly), "children"));
    }

    private final Process process;
    /** The event loop's folder in /proc; null until it was found. */
    private Path eventLoop;

    /**
     * Starts it, and waits until its log holds the line.
     *
     * @param wrapper what it is run by, such as {@code taskset -c 3}; may be empty
     * @param options the JVM's options
     * @param arguments the program's
     * @param ready what its log holds once it is ready
     */
    Child(Path log, List<String> wrapper, List<String> options, List<String> arguments,
            Map<String, String> environment, String ready) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(wrapper);
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(options);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "slipfield.Main"));
        command.addAll(arguments);
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().putAll(environment);
        process = builder.start();
        STARTED.add(process);
        for (long waited = 0; !Files.readString(log).contains(ready); waited += LOOK_MS) {
            if (!process.isAlive() || waited > START_MS) {
                process.destroyForcibly();
                throw new IOException(arguments.get(0) + " did not start; its log says: " + Files.readString(log).trim());
            }
            Thread.sleep(LOOK_MS);
        }
    }

    /** SIGKILL. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Sends a signal by its name, such as {@code STOP}. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).inheritIO().start().waitFor();
    }

    /** CPU that it has used, if the system tells. */
    Optional<Long> cpuMicros() {
        return process.info().totalCpuDuration().map(used -> used.toNanos() / 1000);
    }

    /**
     * For how long its event loop has waited for a core while it had something to do, over its life, if the system tells (the
     * second figure of schedstat).
     */
    Optional<Long> cpuDelayNanos() {
        try {
            if (eventLoop == null) {
                eventLoop = findEventLoop();
            }
            return eventLoop == null ? Optional.empty()
                    : Optional.of(Long.parseLong(Files.readString(eventLoop.resolve("schedstat")).split(" ")[1]));
        } catch (IOException e) {
            // The process is gone, or the system keeps no such account.
            return Optional.empty();
        }
    }

    private Path findEventLoop() throws IOException {
        try (Stream<Path> threads = Files.list(Path.of("/proc", Long.toString(process.pid()), "task"))) {
            for (Path thread : threads.toList()) {
                if (Files.readString(thread.resolve("comm")).startsWith(EVENT_LOOP)) {
                    return thread;
                }
            }
        }
        return null;
    }

    /** Its resident memory in kB, if the system tells. */
    Optional<Long> residentKb() throws IOException {
        return statusKb("VmRSS:");
    }

    /** The most resident memory that it has had, in kB, if the system tells. */
    Optional<Long> peakResidentKb() throws IOException {
        return statusKb("VmHWM:");
    }

    boolean isAlive() {
        return process.isAlive();
    }

    private Optional<Long> statusKb(String field) throws IOException {
        Path status = Path.of("/proc", Long.toString(process.pid()), "status");
        if (!Files.exists(status)) {
            return Optional.empty();
        }
        return Files.readAllLines(status).stream().filter(line -> line.startsWith(field))
                .map(line -> Long.parseLong(line.replaceAll("\\D", ""))).findFirst();
    }

    @Override
    public void close() {
        STARTED.remove(process);
        process.destroy();
        try {
            if (!process.waitFor(END_S, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
