package kestreldeal.net;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.FileChannel;
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
import kestreldeal.admission.Admission;
import kestreldeal.trace.Trace;

/**
 * One real sender: the event loop, the clock, and the names that the module knows by numbers. The loop's
 * thread alone touches the module and all that hangs on it, so nothing here is locked. It decides nothing.
 */
public final class Sender implements Relay.Actions {
    /** Descriptors that are neither clients nor calls: the machine's own (30 are seen), the journal, agents. */
    private static final int OTHER_SOCKETS = 48;
    /** Share of the rest for clients, who may hold a third of all for requests; the others are for calls. */
    private static final double CLIENT_SHARE = 0.6;
    /** Ids of messages that are over are known for as many messages, lest one be taken on twice. */
    private static final int ENDED_KNOWN = 4096;
    /**
     * A request may stand unread where the CPU is scarce, for the 400 ms that its client waits, and its budget
     * runs from when it was sent; a notice takes a turn or two of a loop that is as late. So a message is ended
     * so much before its time is up: 421 ms late is what was seen after a start.
     */
    private static final long UNREAD_MS = 700;
    /** The same for what is taken while the loop is late: its end may be as late again as its request was. */
    private static final long UNREAD_LATE_MS = 1000;
    /** From SIGTERM: new connections come for so long at most. */
    static final long TAKING_MS = 450;
    /** From SIGTERM: calls out may last till here; SIGKILL may come at 3.7 s. */
    static final long CLOSING_MS = 3300;
    private static final long DRAIN_POLL_MS = 20;
    /** An endpoint that has left the list is forgotten after so long: no call lasts till then. */
    private static final long GONE_MS = 60_000;
    /** A message that is ended so much after it was due is traced: half of what the rules leave. */
    private static final double LATE_END_MS = 150;
    /** How long a rehearsal may keep the sender from listening: less where messages are held. */
    private static final long REHEARSE_MS = 4000;
    private static final long REHEARSE_HELD_MS = 300;
    /** The property that switches the account of the loop's time on: {@code -Dsender.trace=true}. */
    static final boolean TRACED = Boolean.getBoolean("sender.trace");

    private final Config config;
    private final long takingMs;
    private final long closingMs;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final long startNanos = System.nanoTime();
    private final LifeClock life;
    private final CountDownLatch endsOut = new CountDownLatch(1);
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
    /** Attempts that are out, by message and attempt: see {@link #out}. */
    private final Map<Long, Endpoints.Call> calls = new HashMap<>();
    /** Calls that the module has decided in this turn: they are made when its ends are on their way. */
    private final List<Decided> decided = new ArrayList<>();
    private final Relay relay;
    private final Admission admission;
    private final Trace trace = TRACED ? new Trace(System.err) : null;
    private Recovery recovery;
    private Journal journal;
    private Endpoints endpoints;
    private Notices notices;
    private Discovery discovery;
    private InetSocketAddress agentAddress;
    private Intake intake;
    private boolean turnOpen;
    private double clock;
    private boolean closing;
    /** A list is known, and what the journal held is back. */
    private boolean ready;

    /** A key for an attempt. Not a record: linking the hash of one takes 90 ms of CPU at the first call. */
    private static long out(long message, int attempt) {
        return message << 16 | attempt;
    }

    private record Decided(Held held, int attempt, long endpoint, double timeoutMs) {
    }

    Sender(Config config, long takingMs, long closingMs) {
        this(config, takingMs, closingMs, LifeClock.system());
    }

    Sender(Config config, long takingMs, long closingMs, LifeClock life) {
        this.config = config;
        this.life = life;
        this.admission = new Admission(config.maxOpen());
        this.takingMs = takingMs;
        this.closingMs = closingMs;
        this.relay = Relay.create(config.settings(), config.seed(), this);
    }

    /** Runs a sender until it is told to end; returns the exit code. */
    public static int serve(Map<String, String> env) {
        // Named, or Netty looks for two other libraries first, which costs 30 ms of a start's CPU.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
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

    /**
     * Ends what an earlier life left overdue, begins to serve, and goes on with the rest; returns the address
     * when clients can connect to it.
     */
    InetSocketAddress start() throws IOException {
        loop.submit(this::open).syncUninterruptibly();
        try {
            endsOut.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        InetSocketAddress address = intake.listen(config.listen());
        Log.line(config.name() + " listens at " + Endpoints.hostPort(address));
        return address;
    }

    private Void open() throws IOException {
        journal = new Journal(config.state(), config.diskBytes(), config.settings().maxAttempts(), life.mark(),
                FileChannel::open);
        int sockets = Math.max(config.sockets() - OTHER_SOCKETS, 64);
        int mostClients = (int) (sockets * CLIENT_SHARE);
        int mostIdle = Math.max(1, sockets - mostClients - config.settings().slots());
        endpoints = new Endpoints(loop, config.dialMs(), config.settings().keepAliveMs(), mostIdle,
                this::attemptEnded);
        endpoints.start();
        agentAddress = config.discovery();
        notices = new Notices(loop, () -> new Agent(loop, agentAddress), this::heard);
        intake = new Intake(loop, mostClients, new Clients());
        discovery = new Discovery(loop, new Agent(loop, agentAddress), this::listed);
        if (TRACED) {
            journal.traced(trace);
            endpoints.traced(trace);
            intake.traced(trace);
        }
        recover();
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
            notices.moveTo(() -> new Agent(loop, address));
        }
    }

    /** What an earlier life held goes back to the module, with what it did and knew. */
    private void recover() {
        long wall = life.wallMs();
        double now = openTurn();
        ended.putAll(journal.over());
        for (Map.Entry<String, Journal.Health> known : journal.health().entrySet()) {
            Journal.Health health = known.getValue();
            double since = now - Math.max(0, wall - health.sinceMs());
            relay.recalled(now, endpointNumber(known.getKey()),
                    new Relay.Health(health.state(), since, health.carriedPerMs()));
        }
        for (Map.Entry<Journal.PaceOf, Relay.Pace> known : journal.paces().entrySet()) {
            String route = known.getKey().route();
            relay.recalled(now, known.getKey().destination(),
                    route.isEmpty() ? Relay.SHARED : endpointNumber(route), known.getValue());
        }
        List<Held> held = journal.held();
        for (Held h : held) {
            h.told = true;
            if (!h.over) {
                open.put(h.number, h);
                byId.put(h.id, h);
                admission.held(now, h.destination);
            }
        }
        recovery = new Recovery(loop, life::wallMs, held, h -> {
            int messageClass = config.classes().indexOf(h.messageClass);
            return messageClass >= 0 && config.settings().classes().get(messageClass).inOrder();
        }, new Recovered());
        recovery.start();
    }

    /** The steps of a recovery. */
    private final class Recovered implements Recovery.Steps {
        @Override
        public void tell(Held held) {
            openTurn();
            notices.owe(held);
        }

        @Override
        public void resume(Held held, long leftMs) {
            int messageClass = config.classes().indexOf(held.messageClass);
            double now = openTurn();
            if (messageClass < 0) {
                Log.line("class " + held.messageClass + " is gone; its message is given up");
                end(held, new Held.Notice(false, 0));
                return;
            }
            long wall = life.wallMs();
            List<Relay.EarlierAttempt> earlier = new ArrayList<>();
            for (Held.Attempt a : held.attempts) {
                // A wall clock that was set back must not move a send into the future.
                double sentAt = now - Math.max(0, wall - a.sentAtMs);
                earlier.add(new Relay.EarlierAttempt(endpointNumber(a.endpoint), sentAt, !a.neverRan));
            }
            event(() -> relay.resumed(now, message(held, messageClass, leftMs), earlier));
        }

        @Override
        public void endsOut() {
            discovery.start(config.known());
            new Rehearsal(loop, config, open.isEmpty() ? REHEARSE_MS : REHEARSE_HELD_MS, endsOut::countDown).play();
        }

        @Override
        public void done(int resumed) {
            ready = true;
            Log.line(config.name() + " is ready, with " + resumed + " messages from its journal, taken up in "
                    + recovery.turns() + " turns");
        }
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
            clock = now();
            loop.execute(this::endTurn);
        }
        return clock;
    }

    /** The module's ends of a turn are on their way before its calls: a late end is a lost message. */
    private void endTurn() {
        long begun = TRACED ? traced(Trace.Part.MODULE) : 0;
        try {
            relay.endTurn(clock);
        } catch (RuntimeException e) {
            fault(e);
        } finally {
            turnOpen = false;
        }
        if (TRACED) {
            trace.leave();
            trace.enter(Trace.Part.NOTICES);
        }
        notices.flush();
        if (TRACED) {
            trace.leave();
            trace.enter(Trace.Part.CALLS);
        }
        makeCalls();
        if (TRACED) {
            trace.leave();
            trace.turn(System.nanoTime() - begun);
        }
    }

    private long traced(Trace.Part part) {
        trace.enter(part);
        return System.nanoTime();
    }

    private void makeCalls() {
        long decidedNanos = startNanos + (long) (clock * 1e6);
        for (Decided d : decided) {
            calls.put(out(d.held.number, d.attempt),
                    endpoints.call(d.held, d.attempt, d.endpoint, d.timeoutMs, decidedNanos));
        }
        decided.clear();
    }

    /** A fault in one message's handling must not take the others down with the process. */
    private static void fault(RuntimeException e) {
        Log.line("fault in the module: " + e + " at " + List.of(e.getStackTrace()).stream().limit(5).toList());
    }

    private double now() {
        return (System.nanoTime() - startNanos) / 1e6;
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
        Held.Attempt attempt = new Held.Attempt(endpointIds.get(endpoint), life.wallMs());
        try {
            journal.attempt(held, attempt);
        } catch (IOException e) {
            // Unrecorded it could run twice: it is not made.
            Log.line("no attempt without the journal: " + e.getMessage());
            attempt.neverRan = true;
            held.attempts.add(attempt);
            loop.execute(() -> attemptEnded(held, number, Relay.Outcome.NOT_SENT, false, 0, 0, 0));
            return;
        }
        decided.add(new Decided(held, number, endpoint, timeoutMs));
    }

    @Override
    public void cancel(long message, int attempt) {
        makeCalls();
        Endpoints.Call call = calls.get(out(message, attempt));
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
        loop.schedule(() -> {
            double now = openTurn();
            admission.late(now, now - time);
            if (TRACED) {
                trace.late(now - time);
            }
            event(() -> relay.wake(now));
        }, Math.max(0, nanos), TimeUnit.NANOSECONDS);
    }

    @Override
    public void log(String text) {
        Log.line(text);
    }

    @Override
    public void remember(long endpoint, Relay.Health health) {
        long ago = (long) (clock - health.since());
        remember(endpointIds.get(endpoint), new Journal.Health(health.state(), life.wallMs() - ago,
                health.carriedPerMs()));
    }

    @Override
    public void remember(long destination, long route, Relay.Pace pace) {
        try {
            journal.pace(new Journal.PaceOf(destination, route == Relay.SHARED ? "" : endpointIds.get(route)),
                    pace);
        } catch (IOException e) {
            // A later life then begins with an older one, or finds it out anew.
            Log.line("a pace is not in the journal: " + e.getMessage());
        }
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
        over(held, false);
        if (TRACED) {
            traceEnd(held);
        }
        ended.put(held.id, false);
        try {
            journal.owed(held, notice);
        } catch (IOException e) {
            Log.line("a notice is not in the journal: " + e.getMessage());
            held.owed = Optional.of(notice);
        }
        notices.owe(held);
    }

    private void traceEnd(Held held) {
        long wall = life.wallMs();
        held.endedMs = wall;
        if (wall - held.deadlineMs > LATE_END_MS) {
            int attempts = held.attempts.size();
            long first = attempts == 0 ? wall : held.attempts.get(0).sentAtMs;
            long last = attempts == 0 ? wall : held.attempts.get(attempts - 1).sentAtMs;
            trace.lateEnd(held.id, wall - held.takenMs, wall - held.deadlineMs, attempts, Math.max(0, first - held.takenMs),
                    wall - last, ready ? "in service" : "in recovery");
        }
    }

    // ---- what the module is told ----

    private void attemptEnded(Endpoints.Call call, Relay.Outcome outcome, boolean gone, double waitMs,
            double toldRate) {
        calls.remove(out(call.held.number, call.attempt));
        double took = (System.nanoTime() - call.startedNanos) / 1e6;
        attemptEnded(call.held, call.attempt, outcome, gone, waitMs, toldRate, took);
    }

    private void attemptEnded(Held held, int attempt, Relay.Outcome outcome, boolean gone, double waitMs,
            double toldRate, double took) {
        try {
            if (!held.over && (gone || outcome == Relay.Outcome.DELIVERED)) {
                over(held, true);
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

    private void over(Held held, boolean delivered) {
        held.over = true;
        open.remove(held.number);
        byId.remove(held.id);
        admission.ended(now(), held.destination, delivered);
    }

    private void heard(Held held) {
        if (TRACED && held.endedMs > 0 && life.wallMs() - held.deadlineMs > LATE_END_MS) {
            trace.lateNotice(held.id, life.wallMs() - held.endedMs, life.wallMs() - held.deadlineMs);
        }
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
        recovery.listKnown(discovery.fresh());
    }

    /** Later than the module does, lest it name one that is no longer known here. */
    private void forgetGone(boolean whole, List<Discovery.Entry> entries) {
        long now = System.nanoTime();
        if (whole) {
            Set<String> named = new HashSet<>();
            entries.forEach(e -> named.add(e.id()));
            endpointNumbers.forEach((id, number) -> {
                goneSince.putIfAbsent(id, now);
                if (!named.contains(id)) {
                    endpoints.stop(number);
                }
            });
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
        public Intake.Taking take(Intake.Submission s) {
            if (!ready) {
                return Intake.Taking.refused("not ready yet", 0);
            }
            double mostMs = config.settings().classes().get(config.classes().indexOf(s.messageClass()))
                    .deadlineMs();
            long leftMs = (long) Math.min(s.budgetMs(), mostMs);
            leftMs -= admission.isLate(now()) ? UNREAD_LATE_MS : Math.min(UNREAD_MS, leftMs / 2);
            Admission.Verdict verdict = admission.admit(now(), s.destination(), leftMs, open.size());
            if (!verdict.taken()) {
                return Intake.Taking.refused(verdict.reason(), verdict.waitMs());
            }
            Held held = new Held(journal.nextNumber(), s.id(), s.messageClass(), s.tenant(), s.key(),
                    s.destination(), life.wallMs() + leftMs, s.body());
            try {
                journal.taken(held);
            } catch (IOException e) {
                return Intake.Taking.refused("no room", 0);
            }
            open.put(held.number, held);
            byId.put(held.id, held);
            admission.held(now(), held.destination);
            return Intake.Taking.taken(held);
        }

        @Override
        public void answered(Held held, boolean heard) {
            if (held.told || held.over) {
                return;
            }
            held.told = heard;
            if (!heard) {
                // A client that never heard of its being taken is owed nothing, and will come again.
                over(held, false);
                try {
                    journal.withdrawn(held);
                } catch (IOException e) {
                    // A later life then ends it by a notice that nobody waits for.
                    Log.line("a withdrawal is not in the journal: " + e.getMessage());
                }
                return;
            }
            int messageClass = config.classes().indexOf(held.messageClass);
            double left = held.deadlineMs - life.wallMs();
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

    /** The thread that owns all of this. */
    EventLoop loop() {
        return loop;
    }

    /** Turns that taking up the journal took. */
    int recoveryTurns() {
        return loop.submit(recovery::turns).syncUninterruptibly().getNow();
    }

    /** Lets go of everything at once, as the end of the process would: the journal first. */
    void kill() {
        loop.submit(journal::close).syncUninterruptibly();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
