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
import slipfield.agent.Agent;
import slipfield.amqp.server.ConnectionReport;
import slipfield.config.BadInput;
import slipfield.config.Config;
import slipfield.core.AnswerChannel;
import slipfield.core.Directory;
import slipfield.core.Frontend;
import slipfield.core.MessageIntake;
import slipfield.core.Sender;
import slipfield.core.SenderComponents;
import slipfield.core.Transport;
import slipfield.directory.Discovery;
import slipfield.directory.merged.Members;
import slipfield.fleet.Asking;
import slipfield.front.http.Intake;
import slipfield.journal.AnswerRecipient;
import slipfield.journal.ProcessClock;
import slipfield.journal.PendingAnswer;
import slipfield.log.Log;
import slipfield.outcome.ends.ClientAnswers;
import slipfield.outcome.ends.ClientsConfig;
import slipfield.outcome.PlatformNotices;
import slipfield.trace.Trace;
import slipfield.transport.http.Endpoints;

/** A sender with the parts that its configuration names, and the signals that it heeds. */
public final class Daemon implements SenderComponents {
    /** Descriptors that are neither clients nor calls: the machine's own (30 are seen), the journal, agents. */
    private static final int OTHER_SOCKETS = 48;
    /** Share of the rest for clients, who may hold a third of all for requests; the others are for calls. */
    private static final double CLIENT_SHARE = 0.6;
    /** From SIGTERM: new connections come for so long at most, in ms. */
    static final long ACCEPTING_MS = 450;
    /** From SIGTERM: calls out may last till here; SIGKILL may come at 3.7 s. */
    static final long CLOSING_MS = 3300;
    /** From SIGTERM: so long its own registration elsewhere may take to be taken back. */
    private static final long DEREGISTER_MS = 200;

    private final Config config;
    private final Sender sender;
    private final int mostClients;
    private final int mostIdle;
    private InetSocketAddress agentAddress;
    private Endpoints endpoints;
    private PlatformNotices notices;
    private Discovery discovery;
    private Intake intake;
    /** Absent unless the operator has named a file of sources: no class of them is loaded without. */
    private Members members;
    /** Absent unless the operator's file of clients is set. */
    private ClientsConfig clients;
    private ClientAnswers ends;
    /** Absent unless the operator's file of AMQP is set: no class of it is loaded without. */
    private AmqpComponents amqp;
    /** Absent unless a part has work that may wait. */
    private BackgroundWork background;
    private List<InetSocketAddress> addresses = List.of();

    /** As the program runs it. */
    public Daemon(Config config) {
        this(config, ACCEPTING_MS, CLOSING_MS, ProcessClock.system());
    }

    Daemon(Config config, long acceptingMs, long closingMs, ProcessClock life) {
        this.config = config;
        this.agentAddress = config.discovery();
        int sockets = Math.max(config.sockets() - OTHER_SOCKETS, 64);
        this.mostClients = (int) (sockets * CLIENT_SHARE);
        this.mostIdle = Math.max(1, sockets - mostClients - config.settings().slots());
        this.sender = new Sender(config, this, acceptingMs, closingMs, life);
    }

    /** Runs a sender until it is told to end; returns the exit code. */
    public static int serve(Map<String, String> env) {
        InternalLoggerFactory.setDefaultFactory(Slf4JLoggerFactory.INSTANCE);
        try {
            Daemon daemon = new Daemon(Config.read(env));
            SighupHandler.handle(() -> daemon.reload(env));
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

    /** Starts it; returns the address that its clients connect to. */
    public InetSocketAddress start() throws IOException, BadInput {
        if (config.members().isPresent()) {
            members = Members.read(config.members().get(), config.state());
        }
        if (config.clients().isPresent()) {
            clients = ClientsConfig.read(config.clients().get());
        }
        if (config.amqp().isPresent()) {
            amqp = AmqpComponents.read(config.amqp().get(), config);
        }
        addresses = sender.start();
        InetSocketAddress address = addresses.get(0);
        if (members != null) {
            members.listening(address);
        }
        return address;
    }

    /** Where each front listens, HTTP's first. */
    List<InetSocketAddress> addresses() {
        return addresses;
    }

    /** Where AMQP listens, without TLS first; nowhere while it is off. */
    List<InetSocketAddress> amqpAddresses() {
        return amqp == null ? List.of() : amqp.addresses();
    }

    /** What stands at AMQP; nothing where it is off. */
    List<ConnectionReport> amqpConnections() {
        return amqp == null ? List.of() : sender.loop().submit(amqp::report).syncUninterruptibly().getNow();
    }

    /** Ends in order, within the time before SIGKILL. */
    public void drain() {
        if (members != null) {
            members.leaving(DEREGISTER_MS);
        }
        sender.drain();
        endBackground();
        if (members != null) {
            members.close();
        }
    }

    /** Lets go of everything at once, as the end of the process would. */
    public void kill() {
        sender.kill();
        endBackground();
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
     * Reads the configuration again, on the caller's thread, since a file may be slow. Only discovery's
     * address is taken over: all else holds for the life of a process. A file that can't be read, or names no
     * address, leaves the old one standing.
     */
    void reload(Map<String, String> env) {
        try {
            InetSocketAddress address = Config.read(env).discovery();
            sender.loop().execute(() -> moveTo(address));
        } catch (BadInput | IOException e) {
            Log.error("config.reload_failed", "cause", e.getMessage());
        }
    }

    private void moveTo(InetSocketAddress address) {
        Log.info("config.reloaded", "discovery", Config.hostPort(address));
        if (!address.equals(agentAddress)) {
            agentAddress = address;
            discovery.moveTo(new Agent(sender.loop(), address));
            notices.switchAgent(() -> new Agent(sender.loop(), address));
        }
    }

    /** Made with the first part that needs it. */
    private BackgroundWork background(EventLoop loop) {
        if (background == null) {
            background = new BackgroundWork(loop, config.state());
        }
        return background;
    }

    private void endBackground() {
        if (background != null) {
            background.end();
        }
    }

    @Override
    public int rememberedIds() {
        return amqp == null ? SenderComponents.super.rememberedIds() : amqp.rememberedIds();
    }

    @Override
    public Transport transport(EventLoop loop, Transport.AttemptListener ends) {
        endpoints = new Endpoints(loop, config.connectTimeoutMs(), config.settings().keepAliveMs(), mostIdle, ends);
        return amqp == null ? endpoints : amqp.transport(endpoints, loop, background(loop).worker(), ends);
    }

    @Override
    public Map<String, AnswerChannel> answerChannels(EventLoop loop, Consumer<PendingAnswer> heard) {
        notices = new PlatformNotices(loop, () -> new Agent(loop, agentAddress), heard);
        Map<String, AnswerChannel> outcomes = new LinkedHashMap<>();
        outcomes.put(AnswerRecipient.PLATFORM.channel(), notices);
        if (clients != null && clients.ends().isPresent()) {
            ends = new ClientAnswers(loop, clients.ends().get(), Long.toHexString(System.currentTimeMillis()), heard);
            outcomes.put(ClientAnswers.NAME, ends);
        }
        if (amqp != null) {
            outcomes.put(AmqpComponents.NAME, amqp.answerChannel(heard));
        }
        return outcomes;
    }

    @Override
    public Map<String, Directory> directories(EventLoop loop) {
        discovery = new Discovery(loop, new Agent(loop, agentAddress), config.knownEndpoints(),
                new Asking(config.settings().senders(), new SplittableRandom(config.seed())));
        Map<String, Directory> directories = new LinkedHashMap<>();
        if (members == null) {
            directories.put("platform", discovery);
        } else {
            members.over(loop, background(loop).worker(), discovery);
            directories.put("members", members);
        }
        if (amqp != null) {
            directories.put(AmqpComponents.NAME, amqp.directory());
        }
        return directories;
    }

    @Override
    public List<Frontend> frontends(EventLoop loop, MessageIntake desk) throws IOException {
        intake = new Intake(loop, config.listen(), mostClients, desk, clients == null ? Intake.Hints.NONE
                : new Intake.Hints(clients.reconnectMs(), clients.waitScope(), Optional.ofNullable(ends)));
        return amqp == null ? List.of(intake) : List.of(intake, amqp.frontend(desk));
    }

    @Override
    public void enableTrace(Trace trace) {
        endpoints.traced(trace);
        intake.traced(trace);
    }

    @Override
    public void warmUp(EventLoop loop, long mostMs, Runnable then) {
        new WarmUp(loop, config, mostMs, then).play();
    }
}
