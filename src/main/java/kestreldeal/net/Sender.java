package kestreldeal.net;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import kestreldeal.BadInput;
import kestreldeal.Relay;

/**
 * One real sender: the event loop, the clock, and the names that the module knows by numbers. The loop's
 * thread alone touches the module and all that hangs on it, so nothing here is locked. It decides nothing.
 */
public final class Sender implements Relay.Actions {
    /** Descriptors that are neither clients nor calls: the machine's own (30 are seen), the journal, agents. */
    private static final int OTHER_SOCKETS = 48;
    /** Share of the rest for clients, who may hold a third of all for requests; the others are for calls. */
    private static final double CLIENT_SHARE = 0.5;
    /** Ids of messages that are over are known for as many messages, lest one be taken on twice. */
    private static final int ENDED_KNOWN = 4096;
    /**
     * A request may stand unread where the CPU is scarce, for the 400 ms that its client waits, and its budget
     * runs from when it was sent; a notice takes a turn or two of a loop that is as late. So a message is ended
     * so much before its time is up: 421 ms late is what was seen after a start.
     */
    private static final long UNREAD_MS = 700;
    /** From SIGTERM: new connections come for so long at most. */
    static final long TAKING_MS = 450;
    /** From SIGTERM: calls out may last till here; SIGKILL may come at 3.7 s. */
    static final long CLOSING_MS = 3300;
    private static final long DRAIN_POLL_MS = 20;
    /** An endpoint that has left the list is forgotten after so long: no call lasts till then. */
    private static final long GONE_MS = 60_000;

    private final Config config;
    private final long takingMs;
    private final long closingMs;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final long startNanos = System.nanoTime();
    private final Map<String, Long> endpointNumbers = new HashMap<>();
    private final Map<Long, String> endpointIds = new HashMap<>();
    private long nextEndpoint;
    /** Endpoints that have left the list, and when. */
    private final Map<String, Long> goneSince = new HashMap<>();
    /** What is held and not over, by the module's number, and by the client's id. */
    private final Map<Long, Held> open = new HashMap<>();
    private final Map<String, Held> byId = new HashMap<>();
    /** Ids of messages that were over last, and whether they were delivered. */
    private final Map<String, Boolean> ended = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > ENDED_KNOWN;
        }
    };
    /** Destinations that a list has named. */
    private final Set<Long> destinations = new HashSet<>();
    /** Attempts that are out, by message and attempt. */
    private final Map<Out, Endpoints.Call> calls = new HashMap<>();
    private final Relay relay;
    private Journal journal;
    private Endpoints endpoints;
    private Notices notices;
    private Discovery discovery;
    private InetSocketAddress agentAddress;
    private Intake intake;
    private boolean turnOpen;
    private double clock;
    private boolean closing;
    /** A list is known and the journal is replayed. */
    private boolean ready;

    private record Out(long message, int attempt) {
    }

    Sender(Config config, long takingMs, long closingMs) {
        this.config = config;
        this.takingMs = takingMs;
        this.closingMs = closingMs;
        this.relay = Relay.create(config.settings(), config.seed(), this);
    }

    /** Runs a sender until it is told to end; returns the exit code. */
    public static int serve(Map<String, String> env) {
        try {
            Sender sender = new Sender(Config.read(env), TAKING_MS, CLOSING_MS);
            Hangup.handle(() -> sender.reload(env));
            sender.start();
            Runtime.getRuntime().addShutdownHook(new Thread(sender::drain, "drain"));
            sender.stopped.await();
            return 0;
        } catch (BadInput | IOException e) {
            Log.line("can't start: " + e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            return 1;
        }
    }

    /** Replays the journal and begins to serve; returns the address when clients can connect to it. */
    InetSocketAddress start() throws IOException {
        loop.submit(this::open).syncUninterruptibly();
        InetSocketAddress address = intake.listen(config.listen());
        Log.line(config.name() + " listens at " + Endpoints.hostPort(address));
        return address;
    }

    private Void open() throws IOException {
        journal = new Journal(config.state(), config.diskBytes(), config.settings().maxAttempts());
        int sockets = Math.max(config.sockets() - OTHER_SOCKETS, 64);
        int mostClients = (int) (sockets * CLIENT_SHARE);
        int mostIdle = Math.max(1, sockets - mostClients - config.settings().slots());
        endpoints = new Endpoints(loop, config.dialMs(), config.settings().keepAliveMs(), mostIdle,
                this::attemptEnded);
        agentAddress = config.discovery();
        notices = new Notices(loop, new Agent(loop, agentAddress), this::heard);
        intake = new Intake(loop, mostClients, new Clients());
        discovery = new Discovery(loop, new Agent(loop, agentAddress), this::listed);
        discovery.start(config.known());
        return null;
    }

    /**
     * Reads the configuration again, on the caller's thread, since a file may be slow. Only discovery's
     * address is taken over: all else holds for the life of a process. A file that can't be read, or names no
     * address, leaves the old one standing.
     */
    void reload(Map<String, String> env) {
        try {
            InetSocketAddress address = Config.read(env).discovery();
            loop.execute(() -> moveTo(address));
        } catch (BadInput | IOException e) {
            Log.line("the configuration can't be read again, the old one stands: " + e.getMessage());
        }
    }

    private void moveTo(InetSocketAddress address) {
        Log.line("configuration read again; discovery is at " + Endpoints.hostPort(address));
        if (!address.equals(agentAddress)) {
            agentAddress = address;
            discovery.moveTo(new Agent(loop, address));
            notices.moveTo(new Agent(loop, address));
        }
    }

    /**
     * What an earlier life held goes back to the module, with what it did; notices owed go out again. Not
     * before a list is known: without one the module could only give all of it up.
     */
    private void replay() {
        long wall = System.currentTimeMillis();
        int resumed = 0;
        journal.health().forEach((id, health) -> {
            double now = openTurn();
            double since = now - Math.max(0, wall - health.sinceMs());
            relay.recalled(now, endpointNumber(id), new Relay.Health(health.state(), since, health.carriedPerMs()));
        });
        for (Held held : journal.held()) {
            int messageClass = config.classes().indexOf(held.messageClass);
            if (held.over) {
                notices.owe(held);
                continue;
            }
            if (messageClass < 0) {
                Log.line("class " + held.messageClass + " is gone; its message is given up");
                end(held, new Held.Notice(false, 0));
                continue;
            }
            double now = openTurn();
            List<Relay.EarlierAttempt> earlier = new ArrayList<>();
            for (Held.Attempt a : held.attempts) {
                // A wall clock that was set back must not move a send into the future.
                double sentAt = now - Math.max(0, wall - a.sentAtMs);
                earlier.add(new Relay.EarlierAttempt(endpointNumber(a.endpoint), sentAt, !a.neverRan));
            }
            open.put(held.number, held);
            byId.put(held.id, held);
            held.told = true;
            resumed++;
            relay.resumed(now, message(held, messageClass, held.deadlineMs - wall), earlier);
        }
        Log.line(config.name() + " is ready, with " + resumed + " messages from its journal");
    }

    private Relay.Message message(Held held, int messageClass, double leftMs) {
        double left = Math.min(leftMs, config.settings().classes().get(messageClass).deadlineMs());
        return new Relay.Message(held.number, messageClass, Math.max(0, config.tenants().indexOf(held.tenant)),
                held.key, left, held.destination);
    }

    // ---- the clock and turns ----

    /** The module's time: one for all events of a turn, which ends when the loop has nothing more at hand. */
    private double openTurn() {
        if (!turnOpen) {
            turnOpen = true;
            clock = (System.nanoTime() - startNanos) / 1e6;
            loop.execute(this::endTurn);
        }
        return clock;
    }

    private void endTurn() {
        try {
            relay.endTurn(clock);
        } catch (RuntimeException e) {
            fault(e);
        } finally {
            turnOpen = false;
        }
    }

    /** A fault in one message's handling must not take the others down with the process. */
    private static void fault(RuntimeException e) {
        Log.line("fault in the module: " + e + " at " + List.of(e.getStackTrace()).stream().limit(5).toList());
    }

    private void event(Runnable told) {
        try {
            told.run();
        } catch (RuntimeException e) {
            fault(e);
        }
    }

    // ---- what the module asks ----

    @Override
    public void send(long message, long endpoint, double timeoutMs) {
        Held held = open.get(message);
        int number = held.attempts.size();
        Held.Attempt attempt = new Held.Attempt(endpointIds.get(endpoint), System.currentTimeMillis());
        try {
            journal.attempt(held, attempt);
        } catch (IOException e) {
            // Unrecorded it could run twice: it is not made.
            Log.line("no attempt without the journal: " + e.getMessage());
            held.attempts.add(attempt);
            loop.execute(() -> attemptEnded(held, number, Relay.Outcome.NOT_SENT, false, 0, 0, 0));
            return;
        }
        calls.put(new Out(message, number),
                endpoints.call(held, number, endpoint, timeoutMs, startNanos + (long) (clock * 1e6)));
    }

    @Override
    public void cancel(long message, int attempt) {
        Endpoints.Call call = calls.get(new Out(message, attempt));
        if (call != null) {
            endpoints.cancel(call);
        }
    }

    @Override
    public void closeIdle(long endpoint) {
        endpoints.closeIdle(endpoint);
    }

    @Override
    public void refuse(long message, double waitMs) {
        end(open.get(message), new Held.Notice(true, waitMs));
    }

    @Override
    public void fail(long message) {
        end(open.get(message), new Held.Notice(false, 0));
    }

    @Override
    public void wakeAt(double time) {
        long nanos = (long) (time * 1e6) - (System.nanoTime() - startNanos);
        loop.schedule(() -> event(() -> relay.wake(openTurn())), Math.max(0, nanos), TimeUnit.NANOSECONDS);
    }

    @Override
    public void log(String text) {
        Log.line(text);
    }

    @Override
    public void remember(long endpoint, Relay.Health health) {
        long ago = (long) (clock - health.since());
        remember(endpointIds.get(endpoint), new Journal.Health(health.state(), System.currentTimeMillis() - ago,
                health.carriedPerMs()));
    }

    private void remember(String endpoint, Journal.Health health) {
        try {
            journal.health(endpoint, health);
        } catch (IOException e) {
            // A later life then begins with an older state: wasteful at worst, as it finds out by itself.
            Log.line("an endpoint's health is not in the journal: " + e.getMessage());
        }
    }

    private void end(Held held, Held.Notice notice) {
        over(held);
        ended.put(held.id, false);
        try {
            journal.owed(held, notice);
        } catch (IOException e) {
            Log.line("a notice is not in the journal: " + e.getMessage());
            held.owed = Optional.of(notice);
        }
        notices.owe(held);
    }

    // ---- what the module is told ----

    private void attemptEnded(Endpoints.Call call, Relay.Outcome outcome, boolean gone, double waitMs,
            double toldRate) {
        calls.remove(new Out(call.held.number, call.attempt));
        double took = (System.nanoTime() - call.startedNanos) / 1e6;
        attemptEnded(call.held, call.attempt, outcome, gone, waitMs, toldRate, took);
    }

    private void attemptEnded(Held held, int attempt, Relay.Outcome outcome, boolean gone, double waitMs,
            double toldRate, double took) {
        try {
            if (!held.over && (gone || outcome == Relay.Outcome.DELIVERED)) {
                over(held);
                ended.put(held.id, true);
                journal.ended(held);
            } else if (!held.over && !outcome.mayHaveRun()) {
                journal.neverRan(held, attempt);
            }
        } catch (IOException e) {
            // A later life then repeats what it may, and gives up what it may not: true, if wasteful.
            Log.line("an end is not in the journal: " + e.getMessage());
        }
        boolean finished = held.over;
        event(() -> relay.attemptEnded(openTurn(), new Relay.AttemptEnd(held.number, attempt, outcome, took,
                finished, waitMs, toldRate)));
    }

    private void over(Held held) {
        held.over = true;
        open.remove(held.number);
        byId.remove(held.id);
    }

    private void heard(Held held) {
        try {
            journal.ended(held);
        } catch (IOException e) {
            // It is told again after a restart, which does no harm.
            Log.line("a notice's end is not in the journal: " + e.getMessage());
        }
    }

    private void listed(boolean whole, List<Discovery.Entry> entries) {
        List<Relay.Endpoint> list = new ArrayList<>();
        for (Discovery.Entry e : entries) {
            long number = endpointNumber(e.id());
            destinations.add(e.destination());
            endpoints.at(number, e.address(), e.serving());
            list.add(new Relay.Endpoint(number, e.destination(), Math.max(0, config.kinds().indexOf(e.kind())),
                    Math.max(0, config.zones().indexOf(e.zone())), e.serving(), e.weight(), e.gone()));
        }
        forgetGone(whole, entries);
        event(() -> relay.endpoints(openTurn(), whole, list));
        if (!ready) {
            ready = true;
            event(this::replay);
        }
    }

    /** Later than the module does, lest it name one that is no longer known here. */
    private void forgetGone(boolean whole, List<Discovery.Entry> entries) {
        long now = System.nanoTime();
        if (whole) {
            endpointNumbers.keySet().forEach(id -> goneSince.putIfAbsent(id, now));
        }
        for (Discovery.Entry e : entries) {
            if (e.gone()) {
                goneSince.putIfAbsent(e.id(), now);
            } else {
                goneSince.remove(e.id());
            }
        }
        goneSince.entrySet().removeIf(gone -> {
            boolean old = now - gone.getValue() > TimeUnit.MILLISECONDS.toNanos(GONE_MS);
            if (old) {
                long number = endpointNumbers.remove(gone.getKey());
                endpointIds.remove(number);
                endpoints.forget(number);
                remember(gone.getKey(), new Journal.Health(Relay.State.UP, 0, 0));
            }
            return old;
        });
    }

    private long endpointNumber(String id) {
        return endpointNumbers.computeIfAbsent(id, unknown -> {
            long number = nextEndpoint++;
            endpointIds.put(number, id);
            // Until a list names it: an earlier life may have known it.
            goneSince.put(id, System.nanoTime());
            return number;
        });
    }

    /** The clients' side. */
    private final class Clients implements Intake.Desk {
        @Override
        public boolean ready() {
            return ready && !closing;
        }

        @Override
        public boolean knowsClass(String name) {
            return config.classes().contains(name);
        }

        @Override
        public boolean knowsTenant(String name) {
            return config.tenants().isEmpty() || config.tenants().contains(name);
        }

        @Override
        public boolean needsKey(String messageClass) {
            return config.settings().classes().get(config.classes().indexOf(messageClass)).effect()
                    == Relay.Effect.KEYED;
        }

        @Override
        public boolean knowsDestination(long destination) {
            return destinations.contains(destination);
        }

        /** What was ended by a notice is not taken on again under its id, nor is it owed anything more. */
        @Override
        public Optional<HttpResponseStatus> answeredBefore(String id) {
            if (byId.containsKey(id)) {
                return Optional.of(HttpResponseStatus.ACCEPTED);
            }
            return Optional.ofNullable(ended.get(id)).map(delivered ->
                    delivered ? HttpResponseStatus.ACCEPTED : HttpResponseStatus.CONFLICT);
        }

        @Override
        public Optional<Held> take(Intake.Submission s) {
            if (!ready || open.size() >= config.maxOpen()) {
                return Optional.empty();
            }
            double mostMs = config.settings().classes().get(config.classes().indexOf(s.messageClass()))
                    .deadlineMs();
            long leftMs = (long) Math.min(s.budgetMs(), mostMs);
            leftMs -= Math.min(UNREAD_MS, leftMs / 2);
            Held held = new Held(journal.nextNumber(), s.id(), s.messageClass(), s.tenant(), s.key(),
                    s.destination(), System.currentTimeMillis() + leftMs, s.body());
            try {
                journal.taken(held);
            } catch (IOException e) {
                return Optional.empty();
            }
            open.put(held.number, held);
            byId.put(held.id, held);
            return Optional.of(held);
        }

        @Override
        public void answered(Held held, boolean heard) {
            if (held.told || held.over) {
                return;
            }
            held.told = heard;
            if (!heard) {
                // A client that never heard of its being taken is owed nothing, and will come again.
                over(held);
                Sender.this.heard(held);
                return;
            }
            int messageClass = config.classes().indexOf(held.messageClass);
            double left = held.deadlineMs - System.currentTimeMillis();
            event(() -> relay.message(openTurn(), message(held, messageClass, left)));
        }
    }

    // ---- the end ----

    /**
     * Ends in order, within the time before SIGKILL: takes messages while new connections still come, starts
     * no call that can't end in time, and lets calls and notices out finish. The journal holds the rest.
     */
    void drain() {
        long begun = System.nanoTime();
        loop.execute(() -> {
            closing = true;
            event(() -> relay.closing(openTurn(), clock + closingMs));
            loop.schedule(() -> {
                intake.close();
                awaitIdle(begun);
            }, takingMs, TimeUnit.MILLISECONDS);
        });
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitIdle(long begun) {
        boolean idle = open.isEmpty() && notices.owed() == 0 && intake.clients() == 0;
        if (idle || System.nanoTime() - begun >= TimeUnit.MILLISECONDS.toNanos(closingMs)) {
            Log.line(config.name() + " ends; its journal holds " + open.size() + " messages and "
                    + notices.owed() + " notices");
            stopped.countDown();
            return;
        }
        loop.schedule(() -> awaitIdle(begun), DRAIN_POLL_MS, TimeUnit.MILLISECONDS);
    }

    /** Lets go of everything at once, as the end of the process would: the journal first. */
    void kill() {
        loop.submit(journal::close).syncUninterruptibly();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
