package slipfield.directory.consul;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
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

/**
 * What Consul knows of the services that an operator named, or that bear a tag: one blocking query for each, and one for
 * the catalogue where a tag is given. A service that was not read yet stands as an earlier life knew it, so that the
 * list is whole.
 */
public final class ConsulDirectory implements AutoCloseable {
    /** Is told, on the thread of this package's own loop. */
    public interface Listener {
        /** The whole list as Consul has it now. */
        void instancesChanged(List<Instance> whole);

        /** Nothing has changed. */
        void confirmed();

        /** It can't be read, and why. */
        void failed(String why);
    }

    /** A filter that no instance passes. */
    private static final String NOTHING = "Service.ID == \"\"";
    /** More than a request may take. */
    private static final long LEAVING_MS = 1000;
    private static final ConsulSettings.Mapping UNMAPPED = new ConsulSettings.Mapping(Optional.empty(), "", "");

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final AgentAccess access;
    private final ConsulSettings settings;
    private Listener listener;
    private final Map<String, BlockingQuery> watches = new HashMap<>();
    private final Map<String, List<Instance>> lists = new TreeMap<>();
    /** Services that can't be read now. */
    private final Map<String, String> failing = new TreeMap<>();
    /** Services that were read in this life. */
    private final Set<String> read = new TreeSet<>();
    private Registration registration;
    /** The end of the registration, on the thread that ends the sender. */
    private Promise<Void> leaving;

    /** Reads certificates, if any; asks nothing yet. */
    public ConsulDirectory(ConsulSettings settings) throws BadInput {
        this.settings = settings;
        this.access = new AgentAccess(settings);
    }

    /** Begins to watch; {@code recalled} is what an earlier life heard last. */
    public void start(Collection<Instance> recalled, Listener told) {
        loop.execute(() -> {
            listener = told;
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
        if (watches.containsKey(service)) {
            return;
        }
        BlockingQuery watch = new BlockingQuery(loop, access, "/v1/health/service/" + encoded(service), '[', NOTHING,
                new Health(service));
        watches.put(service, watch);
        watch.start();
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

    /** Its trouble is over; the whole is confirmed only when nothing fails and all was read. */
    private boolean recovered(String what) {
        failing.remove(what);
        return failing.isEmpty() && read.containsAll(watches.keySet());
    }

    /** One service's health. */
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
                // One part of it was read; that others are not is still to be told.
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

    /** Which services bear the tag. One that does no longer stays watched: its instances end by their own list. */
    private final class Catalogue implements BlockingQuery.Listener {
        private static final String NAME = "the catalogue";

        @Override
        public void read(JsonNode answer) throws BadInput {
            TreeSet<String> tagged = HealthReader.tagged(answer, settings.tag())
                    .orElseThrow(() -> new BadInput("the catalogue's answer is no object"));
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

    /** The sender can be connected to at this address: it is registered, if the operator said so. */
    public void register(InetSocketAddress address) {
        settings.register().ifPresent(as -> loop.execute(() -> {
            registration = new Registration(loop, access, as, address);
            registration.start();
        }));
    }

    /**
     * Takes the sender's own registration back, so that fronts turn elsewhere; waits for it a moment at most. What is not
     * answered by then goes on until {@link #close}.
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
        leaving = ended;
        ended.awaitUninterruptibly(mostMs);
    }

    /** Watches that are on, each with a connection. */
    public int queryCount() {
        return loop.submit(watches::size).syncUninterruptibly().getNow();
    }

    /** Ends once the registration is taken back, if that is under way, or will not be; nothing is told any more. */
    @Override
    public void close() {
        if (leaving != null) {
            leaving.awaitUninterruptibly(LEAVING_MS);
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
