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
 * The merged directory. The membership module is asked on the core's loop, so that the platform's word takes no longer
 * way than without it; Consul is read on a loop of its own and hands over what it has read.
 */
public final class MergedDirectory implements Directory, AutoCloseable {
    /** The file of the kept view, in the state folder. */
    public static final String VIEW_FILE = "members.json";
    /** The view is written at most so often. */
    private static final long WRITE_MS = 500;

    private final MembersConfig config;
    private final Membership membership;
    private final Optional<ConsulDirectory> consul;
    private final ViewFile file;
    /** The platform tells changes; the module is told whole lists. */
    private final Map<String, Instance> platformList = new HashMap<>();
    /** What Consul had said in an earlier life. */
    private final ViewFile.Recalled kept;
    /** Why Consul can't be read; empty: it can. */
    private String trouble = "";
    private EventLoop loop;
    private Optional<Directory> platform = Optional.empty();
    private EndpointListener lists;
    private boolean told;
    private boolean consulHeard;
    private Future<?> tick;
    private Future<?> write;
    private Map<Long, Long> held = Map.of();

    private MergedDirectory(MembersConfig config, Path state) throws BadInput {
        this.config = config;
        this.membership = new Membership(config.rules(), config.precedence());
        this.consul = config.consul().isPresent() ? Optional.of(new ConsulDirectory(config.consul().get()))
                : Optional.empty();
        this.file = new ViewFile(state);
        // Here, and not when it is wanted: that is on the core's loop, which must wait for no disk.
        this.kept = file.recall(MembersConfig.CONSUL);
    }

    /** Reads the operator's file, and makes the directory of it that keeps its view in this folder. */
    public static MergedDirectory read(Path path, Path state) throws IOException, BadInput {
        return new MergedDirectory(MembersConfig.read(path), state);
    }

    /** On this loop, with this worker for what nobody waits for, with the platform's list where the configuration's precedence names it. */
    public void attach(EventLoop core, Worker worker, Directory list) {
        loop = core;
        file.by(worker);
        if (config.precedence().contains(MembersConfig.PLATFORM)) {
            platform = Optional.of(list);
        }
    }

    /** From a source in this life: the platform, Consul, or the operator's file alone. */
    @Override
    public boolean fresh() {
        return consulHeard || platform.map(Directory::fresh).orElse(consul.isEmpty());
    }

    @Override
    public void start(EndpointListener to) {
        lists = to;
        if (config.precedence().contains(MembersConfig.FILE)) {
            tell(membership.update(nowMs(), MembersConfig.FILE, config.file()));
        }
        consul.ifPresent(this::watch);
        platform.ifPresent(p -> p.start(this::listed));
    }

    private void watch(ConsulDirectory from) {
        if (!kept.instances().isEmpty()) {
            long ageMs = Math.max(0, System.currentTimeMillis() - kept.heardMs());
            Log.info("members.recalled", "age_ms", ageMs, "endpoints", kept.instances().size());
            tell(membership.restore(nowMs(), MembersConfig.CONSUL, kept.instances(), ageMs));
        }
        from.start(kept.instances(), new ConsulDirectory.Listener() {
            @Override
            public void instancesChanged(List<Instance> whole) {
                loop.execute(() -> {
                    consulHeard = true;
                    recovered();
                    tell(membership.update(nowMs(), MembersConfig.CONSUL, whole));
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
        if (trouble.isEmpty()) {
            Log.warn("consul.away", "cause", why);
        }
        if (!why.equals(trouble)) {
            trouble = why;
            writeSoon();
        }
    }

    private void recovered() {
        if (!trouble.isEmpty()) {
            trouble = "";
            Log.info("consul.back");
            writeSoon();
        }
    }

    private void listed(boolean whole, List<Entry> entries) {
        if (whole) {
            platformList.clear();
        }
        for (Entry e : entries) {
            if (e.gone()) {
                platformList.remove(e.id());
            } else {
                platformList.put(e.id(), new Instance(e.id(), Config.hostPort((InetSocketAddress) e.address()), e.destination(), e.kind(),
                        e.zone(), e.weight(), e.serving() ? Status.PASSING : Status.DRAINING));
            }
        }
        tell(membership.update(nowMs(), MembersConfig.PLATFORM, platformList.values()));
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private void tell(Membership.Change change) {
        List<Entry> entries = new ArrayList<>();
        // What is gone first: its id may have been given to another address.
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
        if (!entries.isEmpty() || !told) {
            lists.endpointsChanged(!told, entries);
            told = true;
        }
        report();
        if (!change.isEmpty()) {
            writeSoon();
        }
        if (tick != null) {
            tick.cancel(false);
        }
        long next = membership.nextTickMs();
        if (next != Long.MAX_VALUE) {
            tick = loop.schedule(() -> tell(membership.tick(nowMs())), Math.max(1, next - nowMs()),
                    TimeUnit.MILLISECONDS);
        }
    }

    private void report() {
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

    /** The sender listens at this address now. */
    public void register(InetSocketAddress address) {
        consul.ifPresent(c -> c.register(address));
    }

    /** The sender is about to end: fronts are to find others. */
    public void deregister(long mostMs) {
        consul.ifPresent(c -> c.deregister(mostMs));
    }

    @Override
    public void close() {
        consul.ifPresent(ConsulDirectory::close);
        file.close();
    }
}
