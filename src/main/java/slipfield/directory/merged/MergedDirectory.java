package slipfield.directory.merged;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import slipfield.config.BadInput;
import slipfield.config.Config;
import slipfield.core.Directory;
import slipfield.directory.consul.ConsulDirectory;
import slipfield.log.Log;
import slipfield.membership.Instance;
import slipfield.membership.Member;
import slipfield.membership.Membership;
import slipfield.membership.Status;
import slipfield.work.Worker;

/**
 * Merges the endpoint lists of the platform, Consul and the operator's file. {@link Membership} runs on the core's event loop,
 * so that the platform's list needs no hop between threads; Consul is read on a separate loop that passes its results on.
 */
public final class MergedDirectory implements Directory, AutoCloseable {
    /** Name of the file with the stored view, in the state folder. */
    public static final String VIEW_FILE = "members.json";
    /** Delay between a change and the write of the view; changes in between share one write. */
    private static final long WRITE_MS = 500;

    private final MembersConfig config;
    private final Membership membership;
    private final Optional<ConsulDirectory> consul;
    private final ViewFile file;
    /** The platform's whole list: the platform reports changes, but {@link Membership} takes whole lists. */
    private final Map<String, Instance> platformList = new HashMap<>();
    /** Consul's last list in the previous process. */
    private final ViewFile.Recalled recalled;
    /** Why Consul can't be read; empty if it can. */
    private String consulError = "";
    private EventLoop loop;
    private Optional<Directory> platform = Optional.empty();
    private EndpointListener listener;
    private boolean reported;
    private boolean consulReceived;
    private Future<?> tick;
    private Future<?> write;
    private Map<Long, Long> held = Map.of();

    private MergedDirectory(MembersConfig config, Path state) throws BadInput {
        this.config = config;
        this.membership = new Membership(config.rules(), config.precedence());
        this.consul = config.consul().isPresent() ? Optional.of(new ConsulDirectory(config.consul().get()))
                : Optional.empty();
        this.file = new ViewFile(state);
        // Read here, because start() runs on the core's loop, which must not wait for the disk.
        this.recalled = file.recall(MembersConfig.CONSUL);
    }

    /** Creates the directory from the operator's file at {@code path}; it stores its view in the folder {@code state}. */
    public static MergedDirectory read(Path path, Path state) throws IOException, BadInput {
        return new MergedDirectory(MembersConfig.read(path), state);
    }

    /** Sets the core's loop, the worker for writes, and the platform's list, which is used if the precedence names it. */
    public void attach(EventLoop core, Worker worker, Directory list) {
        loop = core;
        file.setWorker(worker);
        if (config.precedence().contains(MembersConfig.PLATFORM)) {
            platform = Optional.of(list);
        }
    }

    /** Whether this process has received a list from the platform or Consul; always true with the operator's file alone. */
    @Override
    public boolean fresh() {
        return consulReceived || platform.map(Directory::fresh).orElse(consul.isEmpty());
    }

    @Override
    public void start(EndpointListener receiver) {
        listener = receiver;
        if (config.precedence().contains(MembersConfig.FILE)) {
            report(membership.update(nowMs(), MembersConfig.FILE, config.file()));
        }
        consul.ifPresent(this::watch);
        platform.ifPresent(p -> p.start(this::platformChanged));
    }

    private void watch(ConsulDirectory from) {
        if (!recalled.instances().isEmpty()) {
            long ageMs = Math.max(0, System.currentTimeMillis() - recalled.heardMs());
            Log.info("members.recalled", "age_ms", ageMs, "endpoints", recalled.instances().size());
            report(membership.restore(nowMs(), MembersConfig.CONSUL, recalled.instances(), ageMs));
        }
        from.start(recalled.instances(), new ConsulDirectory.Listener() {
            @Override
            public void instancesChanged(List<Instance> whole) {
                loop.execute(() -> {
                    consulReceived = true;
                    recovered();
                    report(membership.update(nowMs(), MembersConfig.CONSUL, whole));
                });
            }

            @Override
            public void confirmed() {
                loop.execute(() -> {
                    recovered();
                    membership.sourceConfirmed(nowMs(), MembersConfig.CONSUL);
                });
            }

            @Override
            public void failed(String why) {
                loop.execute(() -> MergedDirectory.this.failed(why));
            }
        });
    }

    private void failed(String why) {
        membership.sourceFailed(MembersConfig.CONSUL, why);
        if (consulError.isEmpty()) {
            Log.warn("consul.away", "cause", why);
        }
        if (!why.equals(consulError)) {
            consulError = why;
            writeSoon();
        }
    }

    private void recovered() {
        if (!consulError.isEmpty()) {
            consulError = "";
            Log.info("consul.back");
            writeSoon();
        }
    }

    private void platformChanged(boolean whole, List<Entry> entries) {
        if (whole) {
            platformList.clear();
        }
        for (Entry e : entries) {
            if (e.gone()) {
                platformList.remove(e.id());
            } else {
                platformList.put(e.id(), new Instance(e.id(), Config.hostPort((InetSocketAddress) e.address()), e.destination(),
                        e.kind(), e.zone(), e.weight(), e.serving() ? Status.PASSING : Status.DRAINING));
            }
        }
        report(membership.update(nowMs(), MembersConfig.PLATFORM, platformList.values()));
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private void report(Membership.Change change) {
        List<Entry> entries = new ArrayList<>();
        // Removed endpoints come first: their ids may have been given to another address.
        for (String id : change.removed()) {
            entries.add(new Entry(id, new InetSocketAddress(0), "", "", 0, false, 0, true));
        }
        for (Member m : change.members()) {
            Instance e = m.endpoint();
            try {
                entries.add(new Entry(m.id(), Config.address(e.address()), e.zone(), e.kind(), e.destination(),
                        m.used(), e.weight(), false));
            } catch (BadInput bad) {
                Log.warn("members.endpoint_left_out", "endpoint", m.id(), "cause", bad.getMessage());
            }
        }
        if (!entries.isEmpty() || !reported) {
            listener.endpointsChanged(!reported, entries);
            reported = true;
        }
        logHeldPools();
        if (!change.isEmpty()) {
            writeSoon();
        }
        if (tick != null) {
            tick.cancel(false);
        }
        long next = membership.nextTickMs();
        if (next != Long.MAX_VALUE) {
            tick = loop.schedule(() -> report(membership.tick(nowMs())), Math.max(1, next - nowMs()),
                    TimeUnit.MILLISECONDS);
        }
    }

    private void logHeldPools() {
        Map<Long, Long> now = membership.heldPools();
        if (!now.keySet().equals(held.keySet())) {
            now.keySet().stream().filter(d -> !held.containsKey(d)).forEach(d -> Log.warn("members.held", "destination",
                    d));
            held.keySet().stream().filter(d -> !now.containsKey(d)).forEach(d -> Log.info("members.released",
                    "destination", d));
            held = now;
        }
    }

    private void writeSoon() {
        if (write == null) {
            write = loop.schedule(() -> {
                write = null;
                file.write(membership, nowMs(), System.currentTimeMillis());
            }, WRITE_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Registers the sender, which listens at this address, in Consul if so configured. */
    public void register(InetSocketAddress address) {
        consul.ifPresent(c -> c.register(address));
    }

    /** Deregisters the sender before it shuts down, so that frontends connect to others; waits for at most {@code mostMs}. */
    public void deregister(long mostMs) {
        consul.ifPresent(c -> c.deregister(mostMs));
    }

    @Override
    public void close() {
        consul.ifPresent(ConsulDirectory::close);
        file.close();
    }
}
