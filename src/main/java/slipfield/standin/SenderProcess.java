package slipfield.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** The sender itself, as a process of its own: started, killed and started again over the same journal. */
public final class SenderProcess implements AutoCloseable {
    /** The JVM's options of a sender with as much heap as the desk's has. */
    public static final List<String> SMALL = List.of("-Xmx48m", "-XX:+UseSerialGC");

    private static final long START_MS = 30_000;
    private static final long LOOK_MS = 10;
    private static final String LISTENS = " listens at ";

    private final Path folder;
    private final List<String> command;
    private Process process;
    private int lives;

    /**
     * Runs in this folder, which holds {@code config.json}.
     *
     * @param wrapper what the command is run by, such as {@code taskset -c 3}; may be empty
     * @param options the JVM's options
     */
    public SenderProcess(Path folder, List<String> wrapper, List<String> options) {
        this.folder = folder;
        this.command = new ArrayList<>(wrapper);
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(options);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "slipfield.Main", "serve"));
    }

    /** What pins a process to this core; {@code null}: nothing does. */
    public static List<String> pinned(Integer cpu) {
        return cpu == null ? List.of() : List.of("taskset", "-c", cpu.toString());
    }

    /** Starts it, and waits until clients can connect. */
    public void start() throws IOException, InterruptedException {
        Path log = log(lives++);
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile());
        Files.createDirectories(folder.resolve("state"));
        builder.environment().putAll(Map.of("GW_CONFIG", folder.resolve("config.json").toString(), "GW_STATE",
                folder.resolve("state").toString()));
        Path members = folder.resolve(TrialWorld.MEMBERS);
        if (Files.exists(members)) {
            builder.environment().put("SLIPFIELD_MEMBERS", members.toString());
        }
        process = builder.start();
        for (long waited = 0; !Files.readString(log).contains(LISTENS); waited += LOOK_MS) {
            if (!process.isAlive() || waited > START_MS) {
                throw new IOException("the sender did not start; its log says: " + Files.readString(log).trim());
            }
            Thread.sleep(LOOK_MS);
        }
    }

    private Path log(int life) {
        return folder.resolve("sender-" + life + ".log");
    }

    /** SIGKILL. */
    public void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** CPU that the process of this life has used, if the system tells. */
    public Optional<Long> cpuMicros() {
        return process.info().totalCpuDuration().map(used -> used.toNanos() / 1000);
    }

    /** Resident memory of the process of this life in kB, if the system tells. */
    public Optional<Long> residentKb() throws IOException {
        Path status = Path.of("/proc", Long.toString(process.pid()), "status");
        if (!Files.exists(status)) {
            return Optional.empty();
        }
        return Files.readAllLines(status).stream().filter(line -> line.startsWith("VmRSS:"))
                .map(line -> Long.parseLong(line.replaceAll("\\D", ""))).findFirst();
    }

    @Override
    public void close() {
        if (process == null) {
            return;
        }
        process.destroy();
        try {
            if (!process.waitFor(10, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
