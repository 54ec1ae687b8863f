package slipfield.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The sender itself, as a process of its own: started, killed and started again over the same journal. */
public final class SenderProcess implements AutoCloseable {
    /** The JVM's options of a sender with as much heap as the desk's has. */
    public static final List<String> SMALL = List.of("-Xmx48m", "-XX:+UseSerialGC");

    private static final String LISTENS = " sender.listening ";

    private final Path folder;
    private final List<String> wrapper;
    private final List<String> options;
    private final Map<String, String> environment = new HashMap<>();
    private volatile Child life;
    private int lives;

    /**
     * Runs in this folder, which holds {@code config.json}, and the operator's files {@code members.yaml} and {@code
     * clients.yaml} where these are to be used.
     *
     * @param wrapper what the command is run by, such as {@code taskset -c 3}; may be empty
     * @param options the JVM's options
     */
    public SenderProcess(Path folder, List<String> wrapper, List<String> options) {
        this.folder = folder;
        this.wrapper = wrapper;
        this.options = options;
    }

    /** What pins a process to this core; {@code null}: nothing does. */
    public static List<String> pinned(Integer cpu) {
        return cpu == null ? List.of() : List.of("taskset", "-c", cpu.toString());
    }

    /** Starts it, and waits until clients can connect. */
    public void start() throws IOException, InterruptedException {
        Files.createDirectories(folder.resolve("state"));
        environment.put("GW_CONFIG", folder.resolve("config.json").toString());
        environment.put("GW_STATE", folder.resolve("state").toString());
        Path members = folder.resolve(TrialWorld.MEMBERS);
        if (Files.exists(members)) {
            environment.put("SLIPFIELD_MEMBERS", members.toString());
        }
        Path clients = folder.resolve("clients.yaml");
        if (Files.exists(clients)) {
            environment.put("SLIPFIELD_CLIENTS", clients.toString());
        }
        Path amqp = folder.resolve("amqp.yaml");
        if (Files.exists(amqp)) {
            environment.put("SLIPFIELD_AMQP", amqp.toString());
        }
        life = new Child(folder.resolve("sender-" + lives++ + ".log"), wrapper, options, List.of("serve"), environment,
                LISTENS);
    }

    /** SIGKILL. */
    public void kill() throws InterruptedException {
        life.kill();
    }

    /** SIGTERM: it ends in its own time. */
    public void terminate() throws IOException, InterruptedException {
        life.signal("TERM");
    }

    /** SIGHUP: it reads its configuration again. */
    public void hangUp() throws IOException, InterruptedException {
        life.signal("HUP");
    }

    /** SIGSTOP: it does nothing until {@link #go}. */
    public void stop() throws IOException, InterruptedException {
        life.signal("STOP");
    }

    /** SIGCONT. */
    public void go() throws IOException, InterruptedException {
        life.signal("CONT");
    }

    /** What this life has written to its log so far. */
    public String log() throws IOException {
        return Files.readString(folder.resolve("sender-" + (lives - 1) + ".log"));
    }

    /** CPU that the process of this life has used, if the system tells. */
    public Optional<Long> cpuMicros() {
        return life.cpuMicros();
    }

    /** For how long the event loop of this life has waited for a core while it had something to do, if the system tells. */
    public Optional<Long> cpuDelayNanos() {
        return life == null ? Optional.empty() : life.cpuDelayNanos();
    }

    /** Resident memory of the process of this life in kB, if the system tells. */
    public Optional<Long> residentKb() throws IOException {
        return life.residentKb();
    }

    /** The most resident memory that the process of this life has had, in kB, if the system tells. */
    public Optional<Long> peakResidentKb() throws IOException {
        return life.peakResidentKb();
    }

    /** Whether the process of this life runs. */
    public boolean isAlive() {
        return life.isAlive();
    }

    @Override
    public void close() {
        if (life != null) {
            life.close();
        }
    }
}
