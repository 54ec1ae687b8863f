package slipfield.daemon;

import io.netty.channel.EventLoop;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.Slf4JLoggerFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import slipfield.agent.AgentClient;
import slipfield.amqp.server.ConnectionReport;
import slipfield.config.BadInput;
import slipfield.config.Config;
import slipfield.config.MemoryLimit;
import slipfield.core.AnswerChannel;
import slipfield.core.Directory;
import slipfield.core.Frontend;
import slipfield.core.MessageIntake;
import slipfield.core.Sender;
import slipfield.core.SenderComponents;
import slipfield.core.Transport;
import slipfield.directory.Discovery;
import slipfield.directory.merged.MergedDirectory;
import slipfield.fleet.DiscoveryBackoff;
import slipfield.front.http.HttpFrontend;
import slipfield.journal.AnswerRecipient;
import slipfield.journal.ProcessClock;
import slipfield.journal.PendingAnswer;
import slipfield.log.FatalErrors;
import slipfield.log.Log;
import slipfield.memory.MemoryGuard;
import slipfield.outcome.ends.ClientAnswers;
import slipfield.outcome.ends.ClientsConfig;
import slipfield.outcome.PlatformNotices;
import slipfield.trace.Trace;
import slipfield.transport.http.HttpTransport;

/** A sender with the components that its configuration names, and its signal handlers. */
public final class Daemon implements SenderComponents {
    /** File descriptors for other uses than clients and calls: the JVM's own (30 were observed), the journal, the agents. */
    private static final int OTHER_SOCKETS = 48;
    /** Clients' share of the remaining descriptors; a third of all may be in use for requests. The others are for calls. */
    private static final double CLIENT_SHARE = 0.6;
    /** How long after SIGTERM new connections are accepted at most, in ms. */
    static final long ACCEPTING_MS = 450;
    /** How long after SIGTERM calls in flight may last, in ms; SIGKILL may follow after 3.7 s. */
    static final long CLOSING_MS = 3300;
    /** How long after SIGTERM the removal of the sender's own registration, as in Consul, may take, in ms. */
    private static final long DEREGISTER_MS = 200;

    private final Config config;
    private final Sender sender;
    private final int maxClients;
    private final int maxIdle;
    private InetSocketAddress agentAddress;
    private HttpTransport endpoints;
    private PlatformNotices notices;
    private static final long MB = 1 << 20;

    /** Limits what peers make the sender hold, over all protocols together. */
    private final MemoryGuard memory = MemoryGuard.ofHeap();
    private Discovery discovery;
    private HttpFrontend intake;
    /** Null unless the operator has set a file of endpoint sources; without it none of their classes are loaded. */
    private MergedDirectory members;
    /** Null unless the operator has set a file of settings for clients. */
    private ClientsConfig clients;
    private ClientAnswers clientAnswers;
    /** Null unless the operator has set a file for AMQP; without it none of its classes are loaded. */
    private AmqpComponents amqp;
    /** Null unless a component has background work. */
    private BackgroundWork background;
    private List<InetSocketAddress> addresses = List.of();

    /** A sender with the usual shutdown times and the system's clock. */
    public Daemon(Config config) {
        this(config, ACCEPTING_MS, CLOSING_MS, ProcessClock.system());
    }

    Daemon(Config config, long acceptingMs, long closingMs, ProcessClock clock) {
        this.config = config;
        this.agentAddress = config.discovery();
        int sockets = Math.max(config.sockets() - OTHER_SOCKETS, 64);
        this.maxClients = (int) (sockets * CLIENT_SHARE);
        this.maxIdle = Math.max(1, sockets - maxClients - config.settings().slots());
        this.sender = new Sender(config, this, acceptingMs, closingMs, clock);
    }

    /** Runs a sender until it is terminated. Returns the exit code: 0, or 1 if it could not start or was interrupted. */
    public static int serve(Map<String, String> env) {
        InternalLoggerFactory.setDefaultFactory(Slf4JLoggerFactory.INSTANCE);
        try {
            Daemon daemon = new Daemon(Config.read(env));
            SighupHandler.handle(() -> daemon.reload(env));
            FatalErrors.endProcess();
            daemon.start();
            Runtime.getRuntime().addShutdownHook(new Thread(daemon::drain, "drain"));
            daemon.sender.await();
            return 0;
        } catch (BadInput | IOException e) {
            Log.error("sender.start_failed", "cause", e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            return 1;
        }
    }

    /** Logs the limits on memory, and whether the heap is too large for them. */
    private void logMemoryLimits() {
        long heapBytes = Runtime.getRuntime().maxMemory();
        Log.info("memory.limits", "memory_mb", config.memory().map(limit -> Long.toString(limit.megabytes())).orElse("none"),
                "heap_mb", heapBytes / MB, "peers_mb", memory.budget().limitBytes() / MB);
        if (config.memory().isPresent() && !config.memory().get().allowsHeap(heapBytes)) {
            Log.warn("memory.limit_too_small", "memory_mb", config.memory().get().megabytes(), "heap_mb", heapBytes / MB,
                    "needed_mb", heapBytes / MB + MemoryLimit.OTHER_MB,
                    "set", "-Xmx" + config.memory().get().heapMb() + "m, or a higher limits.memory_mb");
        }
    }

    /** Starts the sender and returns the address that its HTTP clients connect to. */
    public InetSocketAddress start() throws IOException, BadInput {
        logMemoryLimits();
        if (config.members().isPresent()) {
            members = MergedDirectory.read(config.members().get(), config.state());
        }
        if (config.clients().isPresent()) {
            clients = ClientsConfig.read(config.clients().get());
        }
        if (config.amqp().isPresent()) {
            amqp = AmqpComponents.read(config.amqp().get(), config, memory);
        }
        addresses = sender.start();
        InetSocketAddress address = addresses.get(0);
        if (members != null) {
            members.register(address);
        }
        return address;
    }

    /** The address of each frontend, that of HTTP first. */
    List<InetSocketAddress> addresses() {
        return addresses;
    }

    /** The addresses of the AMQP listeners, the one without TLS first; empty if AMQP is off. */
    List<InetSocketAddress> amqpAddresses() {
        return amqp == null ? List.of() : amqp.addresses();
    }

    /** The state of the AMQP connections; empty if AMQP is off. */
    List<ConnectionReport> amqpConnections() {
        return amqp == null ? List.of() : sender.loop().submit(amqp::report).syncUninterruptibly().getNow();
    }

    /** Shuts down gracefully, within the time before SIGKILL. */
    public void drain() {
        if (members != null) {
            members.deregister(DEREGISTER_MS);
        }
        sender.drain();
        closeBackground();
        if (members != null) {
            members.close();
        }
    }

    /** Releases all resources at once, as the end of the process would. */
    public void kill() {
        sender.kill();
        closeBackground();
        if (members != null) {
            members.close();
        }
    }

    EventLoop loop() {
        return sender.loop();
    }

    int recoveryBatches() {
        return sender.recoveryBatches();
    }

    /**
     * Reads the configuration again, on the caller's thread because reading a file may be slow. Only the address of discovery
     * is applied; everything else needs a restart. If the file can't be read or contains no address, the address stays as
     * it is.
     */
    void reload(Map<String, String> env) {
        try {
            InetSocketAddress address = Config.read(env).discovery();
            sender.loop().execute(() -> switchAgent(address));
        } catch (BadInput | IOException e) {
            Log.error("config.reload_failed", "cause", e.getMessage());
        }
    }

    private void switchAgent(InetSocketAddress address) {
        Log.info("config.reloaded", "discovery", Config.hostPort(address));
        if (!address.equals(agentAddress)) {
            agentAddress = address;
            discovery.switchAgent(new AgentClient(sender.loop(), address));
            notices.switchAgent(() -> new AgentClient(sender.loop(), address));
        }
    }

    /** Creates the background work when it is first needed. */
    private BackgroundWork background(EventLoop loop) {
        if (background == null) {
            background = new BackgroundWork(loop, config.state());
        }
        return background;
    }

    private void closeBackground() {
        if (background != null) {
            background.close();
        }
    }

    @Override
    public int rememberedIds() {
        return amqp == null ? SenderComponents.super.rememberedIds() : amqp.rememberedIds();
    }

    @Override
    public Transport transport(EventLoop loop, Transport.AttemptListener listener) {
        endpoints = new HttpTransport(loop, config.connectTimeoutMs(), config.settings().keepAliveMs(), maxIdle, listener);
        return amqp == null ? endpoints : amqp.transport(endpoints, loop, background(loop).worker(), listener);
    }

    @Override
    public Map<String, AnswerChannel> answerChannels(EventLoop loop, Consumer<PendingAnswer> acknowledged) {
        notices = new PlatformNotices(loop, () -> new AgentClient(loop, agentAddress), acknowledged);
        Map<String, AnswerChannel> channels = new LinkedHashMap<>();
        channels.put(AnswerRecipient.PLATFORM.channel(), notices);
        if (clients != null && clients.ends().isPresent()) {
            clientAnswers = new ClientAnswers(loop, clients.ends().get(), Long.toHexString(System.currentTimeMillis()),
                    acknowledged);
            channels.put(ClientAnswers.NAME, clientAnswers);
        }
        if (amqp != null) {
            channels.put(AmqpComponents.NAME, amqp.answerChannel(acknowledged));
        }
        return channels;
    }

    @Override
    public Map<String, Directory> directories(EventLoop loop) {
        discovery = new Discovery(loop, new AgentClient(loop, agentAddress), config.knownEndpoints(),
                new DiscoveryBackoff(config.settings().senders(), new SplittableRandom(config.seed())));
        Map<String, Directory> directories = new LinkedHashMap<>();
        if (members == null) {
            directories.put("platform", discovery);
        } else {
            members.attach(loop, background(loop).worker(), discovery);
            directories.put("members", members);
        }
        if (amqp != null) {
            directories.put(AmqpComponents.NAME, amqp.directory());
        }
        return directories;
    }

    @Override
    public List<Frontend> frontends(EventLoop loop, MessageIntake messageIntake) throws IOException {
        intake = new HttpFrontend(loop, config.listen(), maxClients, messageIntake, clients == null ? HttpFrontend.Extensions.NONE
                : new HttpFrontend.Extensions(clients.reconnectMs(), clients.waitScope(), Optional.ofNullable(clientAnswers)),
                memory);
        return amqp == null ? List.of(intake) : List.of(intake, amqp.frontend(messageIntake));
    }

    @Override
    public void enableTrace(Trace trace) {
        endpoints.setTrace(trace);
        intake.setTrace(trace);
    }

    @Override
    public void warmUp(EventLoop loop, long maxMs, Runnable then) {
        new WarmUp(loop, config, maxMs, then).runSlice();
    }
}
