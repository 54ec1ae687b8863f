package slipfield.directory.consul;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Promise;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import slipfield.config.BadInput;
import slipfield.membership.Instance;
import slipfield.socket.GuardedLoopGroup;

/**
 * Watches the services that the operator named, or that have a tag, in Consul: one blocking query per service, and one for
 * the catalogue if a tag is set. For a service that was not read yet the list holds the instances known to the previous
 * process, so that it is complete.
 */
public final class ConsulDirectory implements AutoCloseable {
    /** Receives updates, on the thread of this package's event loop. */
    public interface Listener {
        /** Called with the current whole list after a change. */
        void instancesChanged(List<Instance> whole);

        /** Called when all services were read and nothing has changed. */
        void confirmed();

        /** Called with the reason when a service or the catalogue can't be read. */
        void failed(String why);
    }

    /** A filter that no instance matches. */
    private static final String EMPTY_FILTER = "Service.ID == \"\"";
    /** Longest wait for the deregistration in {@link #close}; longer than the time-out of a request. */
    private static final long DEREGISTER_WAIT_MS = 1000;
    private static final ConsulSettings.Mapping UNMAPPED = new ConsulSettings.Mapping(Optional.empty(), "", "");

    private final EventLoopGroup group = new GuardedLoopGroup("consul");
    private final EventLoop loop = group.next();
    private final AgentAccess access;
    private final ConsulSettings settings;
    private Listener listener;
    private final Map<String, BlockingQuery> queries = new HashMap<>();
    private final Map<String, List<Instance>> lists = new TreeMap<>();
    /** What can't be read now, with the reason. */
    private final Map<String, String> failing = new TreeMap<>();
    /** Services that were read by this process. */
    private final Set<String> read = new TreeSet<>();
    private Registration registration;
    /** Completes after the deregistration; used by the thread that shuts the sender down. */
    private Promise<Void> deregistered;

    /** Loads certificates, if any; sends nothing yet. */
    public ConsulDirectory(ConsulSettings settings) throws BadInput {
        this.settings = settings;
        this.access = new AgentAccess(settings);
    }

    /** Begins to watch; {@code recalled} is the last list of the previous process. */
    public void start(Collection<Instance> recalled, Listener receiver) {
        loop.execute(() -> {
            listener = receiver;
            for (Instance instance : recalled) {
                lists.computeIfAbsent(instance.id().split("/", 2)[0], s -> new ArrayList<>()).add(instance);
            }
            settings.services().keySet().forEach(this::watch);
            if (!settings.tag().isEmpty()) {
                new BlockingQuery(loop, access, "/v1/catalog/services", '{', "", new Catalogue()).start();
            }
        });
    }

    private void watch(String service) {
        if (queries.containsKey(service)) {
            return;
        }
        BlockingQuery query = new BlockingQuery(loop, access, "/v1/health/service/" + encoded(service), '[', EMPTY_FILTER,
                new Health(service));
        queries.put(service, query);
        query.start();
    }

    private static String encoded(String segment) {
        return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
    }

    private void instancesChanged() {
        List<Instance> whole = new ArrayList<>();
        lists.values().forEach(whole::addAll);
        listener.instancesChanged(whole);
    }

    private void failed(String what, String why) {
        failing.put(what, why);
        listener.failed(what + ": " + why);
    }

    /** Clears a failure; returns true if nothing else fails and all watched services were read. */
    private boolean recovered(String what) {
        failing.remove(what);
        return failing.isEmpty() && read.containsAll(queries.keySet());
    }

    /** Handles the answers about one service's health. */
    private final class Health implements BlockingQuery.Listener {
        private final String service;

        Health(String service) {
            this.service = service;
        }

        @Override
        public void read(JsonNode answer) throws BadInput {
            List<Instance> now = HealthReader.instances(service, answer,
                    settings.services().getOrDefault(service, UNMAPPED));
            boolean first = read.add(service);
            boolean recovered = recovered(service);
            if (first || !now.equals(lists.get(service))) {
                lists.put(service, now);
                instancesChanged();
                // Other services may still fail: report them again.
                failing.forEach((what, why) -> listener.failed(what + ": " + why));
            } else if (recovered) {
                listener.confirmed();
            }
        }

        @Override
        public void same() {
            if (recovered(service)) {
                listener.confirmed();
            }
        }

        @Override
        public void failed(String why) {
            ConsulDirectory.this.failed(service, why);
        }
    }

    /** Handles the catalogue. A service that loses the tag stays watched: its own list reports when its instances go. */
    private final class Catalogue implements BlockingQuery.Listener {
        private static final String NAME = "the catalogue";

        @Override
        public void read(JsonNode answer) throws BadInput {
            TreeSet<String> tagged = HealthReader.tagged(answer, settings.tag())
                    .orElseThrow(() -> new BadInput("the catalogue's answer is not an object"));
            tagged.forEach(ConsulDirectory.this::watch);
            same();
        }

        @Override
        public void same() {
            if (recovered(NAME)) {
                listener.confirmed();
            }
        }

        @Override
        public void failed(String why) {
            ConsulDirectory.this.failed(NAME, why);
        }
    }

    /** Registers the sender, which listens at this address, if the settings say so. */
    public void register(InetSocketAddress address) {
        settings.register().ifPresent(as -> loop.execute(() -> {
            registration = new Registration(loop, access, as, address);
            registration.start();
        }));
    }

    /**
     * Deregisters the sender, so that frontends connect elsewhere. Waits for at most {@code mostMs}; an unanswered request
     * continues until {@link #close}.
     */
    public void deregister(long mostMs) {
        Promise<Void> ended = loop.newPromise();
        loop.execute(() -> {
            if (registration == null) {
                ended.setSuccess(null);
            } else {
                registration.end(() -> ended.setSuccess(null));
            }
        });
        deregistered = ended;
        ended.awaitUninterruptibly(mostMs);
    }

    /** Number of blocking queries for services, each with a connection. */
    public int queryCount() {
        return loop.submit(queries::size).syncUninterruptibly().getNow();
    }

    /** Waits for a pending deregistration or its time-out, then shuts down; nothing is reported afterwards. */
    @Override
    public void close() {
        if (deregistered != null) {
            deregistered.awaitUninterruptibly(DEREGISTER_WAIT_MS);
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
