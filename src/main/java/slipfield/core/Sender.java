package slipfield.core;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
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
import slipfield.admission.AdmissionControl;
import slipfield.config.Config;
import slipfield.journal.AnswerRecipient;
import slipfield.journal.PendingMessage;
import slipfield.journal.Journal;
import slipfield.journal.ProcessClock;
import slipfield.journal.PendingAnswer;
import slipfield.log.Log;
import slipfield.log.LoggedTask;
import slipfield.policy.DeliveryPolicy;
import slipfield.retry.Retry;
import slipfield.trace.Flow;
import slipfield.trace.Trace;

/**
 * One real sender: the event loop, the clock, and the names that the module knows by numbers. The loop's
 * thread alone touches the module and all that hangs on it, so nothing here is locked. It decides nothing.
 */
public final class Sender implements DeliveryPolicy.Actions {
    /**
     * A request may stand unread where the CPU is scarce, for the 400 ms that its client waits, and its budget
     * runs from when it was sent; a notice takes a turn or two of a loop that is as late. So a message is ended
     * so much before its time is up: 421 ms late is what was seen after a start.
     */
    private static final long UNREAD_MS = 700;
    /** The same for what is taken while the loop is late: its end may be as late again as its request was. */
    private static final long UNREAD_LATE_MS = 1000;
    private static final long DRAIN_POLL_MS = 20;
    /** How long after its time a sender that ends may still answer what it has read. */
    private static final long LAST_ANSWERS_MS = 200;
    private static final long KILL_QUIET_MS = 100;
    /** An endpoint that has left the list is forgotten after so long: no call lasts till then. */
    private static final long GONE_MS = 60_000;
    /** A message that is ended so much after it was due is traced: half of what the rules leave. */
    private static final double LATE_END_MS = 150;
    /**
     * What was decided so long before it can be written is looked at again, once the sockets have been: an answer that tells a
     * wait may lie unread in one. Well within the 100 ms after a wait in which calls are let through (PROTOCOL).
     */
    private static final double STALE_DECISION_MS = 30;
    /** How long a rehearsal may keep the sender from listening: less where messages are held. */
    private static final long REHEARSE_MS = 4000;
    private static final long REHEARSE_HELD_MS = 300;
    /** The property that switches the account of the loop's time on: {@code -Dsender.trace=true}. */
    public static final boolean TRACE_ENABLED = Boolean.getBoolean("sender.trace");
    /** The property that switches the steps of each message on: {@code -Dsender.flow=true}. */
    public static final boolean FLOW_ENABLED = Boolean.getBoolean("sender.flow");

    private final Config config;
    private final SenderComponents parts;
    private final long takingMs;
    private final long closingMs;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final long startNanos = System.nanoTime();
    private final ProcessClock life;
    private final CountDownLatch endsOut = new CountDownLatch(1);
    private final Map<String, Long> endpointNumbers = new HashMap<>();
    private final Map<Long, String> endpointIds = new HashMap<>();
    private long nextEndpoint;
    /** Endpoints that have left the list, and when. */
    private final Map<String, Long> goneSince = new HashMap<>();
    /** What is held and not over, by the module's number, and by the client's id. */
    private final Map<Long, PendingMessage> open = new HashMap<>();
    private final Map<String, PendingMessage> byId = new HashMap<>();
    private EndedIds ended;
    /** Destinations that a list has named. */
    private final Set<Long> destinations = new HashSet<>();
    /** Attempts that are out, by message and attempt: see {@link #out}. */
    private final Map<Long, Transport.Attempt> calls = new HashMap<>();
    /** Calls that the module has decided in this turn: they are made when its ends are on their way. */
    private final List<Decided> decided = new ArrayList<>();
    /** Of a turn that took long, calls that are looked at again in a moment, by message and attempt. */
    private final Map<Long, Decided> stale = new LinkedHashMap<>();
    private final DeliveryPolicy policy;
    private final AdmissionControl admission;
    private final Trace trace = TRACE_ENABLED ? new Trace(System.err) : null;
    private Recovery recovery;
    private Journal journal;
    private Durability durability;
    private Transport transport;
    private Map<String, AnswerChannel> outcomes = Map.of();
    private Map<String, Directory> directories = Map.of();
    private EndpointCatalogue catalogue;
    private List<Frontend> fronts = List.of();
    private boolean turnOpen;
    private double clock;
    private boolean closing;
    /** A list is known, and what the journal held is back. */
    private boolean ready;

    /** A key for an attempt. Not a record: linking the hash of one takes 90 ms of CPU at the first call. */
    private static long out(long message, int attempt) {
        return message << 16 | attempt;
    }

    /** A call; {@code atMs}: the turn that it was decided in, by the module's time. */
    private record Decided(PendingMessage held, int attempt, long endpoint, DeliveryPolicy.AttemptTiming within, double atMs) {
    }

    /**
     * A sender of these parts.
     *
     * @param takingMs from being told to end: new connections come for so long at most
     * @param closingMs from being told to end: attempts out may last till here
     */
    public Sender(Config config, SenderComponents parts, long takingMs, long closingMs, ProcessClock life) {
        this.config = config;
        this.parts = parts;
        this.life = life;
        this.admission = new AdmissionControl(config.maxOpen());
        this.takingMs = takingMs;
        this.closingMs = closingMs;
        this.policy = DeliveryPolicy.create(config.settings(), config.seed(), this);
    }

    /**
     * Ends what an earlier life left overdue, begins to serve, and goes on with the rest; returns the address of
     * each front when clients can connect to it.
     */
    public List<InetSocketAddress> start() throws IOException {
        Journal taken = Retry.within(Retry.START_MS, "journal", () -> new Journal(config.state(), config.diskBytes(),
                config.settings().maxAttempts(), life.reference(), FileChannel::open));
        loop.submit(() -> open(taken)).syncUninterruptibly();
        try {
            endsOut.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (Frontend front : fronts) {
            InetSocketAddress address = front.listen();
            Log.info("sender.listening", "name", config.name(), "address", Config.hostPort(address));
            addresses.add(address);
        }
        return addresses;
    }

    private Void open(Journal taken) throws IOException {
        journal = taken;
        durability = new Durability(loop, journal, this::mayGoOn, new Effects());
        durability.check();
        ended = new EndedIds(parts.rememberedIds());
        transport = parts.transport(loop, new Attempts());
        transport.start();
        outcomes = parts.answerChannels(loop, this::heard);
        fronts = parts.frontends(loop, new Clients());
        directories = parts.directories(loop);
        catalogue = new EndpointCatalogue(List.copyOf(directories.keySet()));
        if (TRACE_ENABLED) {
            journal.setTrace(trace);
            parts.enableTrace(trace);
        }
        recover();
        return null;
    }

    /** What an earlier life held goes back to the module, with what it did and knew. */
    private void recover() {
        long wall = life.wallMs();
        double now = openTurn();
        journal.completedIds().forEach(ended::add);
        for (Map.Entry<String, Journal.Health> known : journal.endpointHealth().entrySet()) {
            Journal.Health health = known.getValue();
            double since = now - Math.max(0, wall - health.sinceMs());
            policy.healthRestored(now, endpointNumber(known.getKey()),
                    new DeliveryPolicy.Health(health.state(), since, health.carriedPerMs()));
        }
        for (Map.Entry<Journal.SendRateKey, DeliveryPolicy.SendRate> known : journal.sendRates().entrySet()) {
            String route = known.getKey().endpoint();
            policy.sendRateRestored(now, known.getKey().destination(),
                    route.isEmpty() ? DeliveryPolicy.ALL_ROUTES : endpointNumber(route), known.getValue());
        }
        List<PendingMessage> held = journal.pendingMessages();
        for (PendingMessage h : held) {
            h.acceptanceReported = true;
            if (!h.finished) {
                open.put(h.number, h);
                byId.put(h.id, h);
                admission.messageAdded(now, h.destination);
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
        public void tell(PendingMessage held) {
            openTurn();
            owe(held);
        }

        @Override
        public void resume(PendingMessage held, long leftMs) {
            int messageClass = config.classes().indexOf(held.messageClass);
            double now = openTurn();
            if (messageClass < 0) {
                Log.warn("message.class_gone", "message", held.id, "class", held.messageClass);
                end(held, new PendingMessage.Notice(PendingMessage.FinalAnswer.FAILED, 0));
                return;
            }
            long wall = life.wallMs();
            List<DeliveryPolicy.PreviousAttempt> earlier = new ArrayList<>();
            for (PendingMessage.Attempt a : held.attempts) {
                // A wall clock that was set back must not move a send into the future.
                double sentAt = now - Math.max(0, wall - a.sentAtMs);
                earlier.add(new DeliveryPolicy.PreviousAttempt(endpointNumber(a.endpoint), sentAt, !a.neverRan));
            }
            event(() -> policy.messageRestored(now, message(held, messageClass, leftMs), earlier));
        }

        @Override
        public void endsOut() {
            directories.forEach((name, directory) ->
                    directory.start((whole, entries) -> listed(name, directory.fresh(), whole, entries)));
            parts.warmUp(loop, open.isEmpty() ? REHEARSE_MS : REHEARSE_HELD_MS, endsOut::countDown);
        }

        @Override
        public void done(int resumed) {
            ready = true;
            Log.info("sender.ready", "name", config.name(), "resumed", resumed, "turns", recovery.turns());
        }
    }

    private DeliveryPolicy.Message message(PendingMessage held, int messageClass, double leftMs) {
        double left = Math.min(leftMs, config.settings().classes().get(messageClass).deadlineMs());
        return new DeliveryPolicy.Message(held.number, messageClass, Math.max(0, config.tenants().indexOf(held.tenant)),
                held.key, left, held.destination);
    }

    // ---- the clock and turns ----

    /** The module's time: one for all events of a turn, which ends when the loop has nothing more at hand. */
    private double openTurn() {
        if (!turnOpen) {
            turnOpen = true;
            journal.beginBatch();
            clock = now();
            loop.execute(this::endTurn);
        }
        return clock;
    }

    /** The module's ends of a turn are on their way before its calls: a late end is a lost message. */
    private void endTurn() {
        long begun = TRACE_ENABLED ? traced(Trace.Part.MODULE) : 0;
        try {
            policy.endIteration(clock);
        } catch (RuntimeException e) {
            fault(e);
        } finally {
            turnOpen = false;
        }
        record();
        durability.release();
        if (TRACE_ENABLED) {
            trace.leave();
            trace.enter(Trace.Part.NOTICES);
        }
        outcomes.values().forEach(AnswerChannel::flush);
        if (TRACE_ENABLED) {
            trace.leave();
            trace.enter(Trace.Part.CALLS);
        }
        makeCalls();
        if (TRACE_ENABLED) {
            trace.leave();
            trace.iteration(System.nanoTime() - begun);
        }
    }

    private long traced(Trace.Part part) {
        trace.enter(part);
        return System.nanoTime();
    }

    /** What a turn has written is in the journal in one piece, before anything of it leaves. */
    private boolean flushed() {
        boolean written = durability.flush();
        if (turnOpen) {
            journal.beginBatch();
        }
        return written;
    }

    /** What the state of the journal does to the rest. */
    private final class Effects implements Durability.Effects {
        @Override
        public void recording(boolean possible) {
            event(() -> policy.recordingChanged(openTurn(), possible));
        }

        @Override
        public void tell(PendingMessage ended) {
            owe(ended);
        }

        @Override
        public long wallMs() {
            return life.wallMs();
        }
    }

    /** Whether a next life that finds the message open may send it. */
    private boolean mayGoOn(PendingMessage held) {
        int messageClass = config.classes().indexOf(held.messageClass);
        boolean unsafe = messageClass < 0
                || config.settings().classes().get(messageClass).repeatSafety() == DeliveryPolicy.RepeatSafety.UNSAFE;
        return !unsafe || held.attempts.stream().allMatch(a -> a.neverRan);
    }

    private void unwritten(String event, String message, IOException cause) {
        Log.error(event, "message", message, "cause", cause);
        durability.check();
    }

    /** Writes what the turn has done so far; attempts of it that can't be recorded are not made. */
    private void record() {
        if (!flushed()) {
            decided.forEach(d -> notMade(d.held, d.attempt));
            decided.clear();
        }
    }

    /** Unrecorded an attempt could run twice: it is not made. */
    private void notMade(PendingMessage held, int attempt) {
        Log.warn("attempt.unrecorded", "message", held.id, "attempt", attempt);
        notBegun(held, attempt);
    }

    /** Not one byte of the attempt has left: it has surely not run. */
    private void notBegun(PendingMessage held, int attempt) {
        held.attempts.get(attempt).neverRan = true;
        loop.execute(() -> attemptEnded(held, attempt, DeliveryPolicy.AttemptOutcome.NOT_SENT, false, 0,
                DeliveryPolicy.LimitReport.NOTHING, 0));
    }

    private void makeCalls() {
        if (!decided.isEmpty() && now() - clock > STALE_DECISION_MS) {
            decided.forEach(d -> stale.put(out(d.held.number, d.attempt), d));
            // By the clock, not at once: the sockets are looked at in between.
            loop.schedule(LoggedTask.of("sender.calls", this::makeStaleCalls), 0, TimeUnit.MILLISECONDS);
        } else {
            decided.forEach(this::call);
        }
        decided.clear();
    }

    private void makeStaleCalls() {
        List<Decided> again = List.copyOf(stale.values());
        stale.clear();
        for (Decided d : again) {
            if (policy.mayBegin(now(), d.held.number, d.attempt)) {
                call(d);
            } else {
                notBegun(d.held, d.attempt);
            }
        }
    }

    private void call(Decided d) {
        if (FLOW_ENABLED) {
            Flow.step("out", d.held.id, d.attempt, d.held.destination, endpointIds.get(d.endpoint));
        }
        long decidedNanos = startNanos + (long) (d.atMs * 1e6);
        calls.put(out(d.held.number, d.attempt), transport.attempt(d.held, d.attempt, d.endpoint, d.within, decidedNanos));
    }

    /** A fault in one message's handling must not take the others down with the process. */
    private static void fault(RuntimeException e) {
        Log.error("module.fault", "cause", e, "at", List.of(e.getStackTrace()).stream().limit(5).toList());
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
    public void send(long message, long endpoint, DeliveryPolicy.AttemptTiming within) {
        PendingMessage held = open.get(message);
        int number = held.attempts.size();
        PendingMessage.Attempt attempt = new PendingMessage.Attempt(endpointIds.get(endpoint), life.wallMs());
        try {
            journal.recordAttempt(held, attempt);
        } catch (IOException e) {
            unwritten("journal.attempt_unwritten", held.id, e);
            held.attempts.add(attempt);
            notMade(held, number);
            return;
        }
        decided.add(new Decided(held, number, endpoint, within, clock));
    }

    @Override
    public void cancel(long message, int attempt) {
        record();
        makeCalls();
        Decided late = stale.remove(out(message, attempt));
        if (late != null) {
            notBegun(late.held, attempt);
            return;
        }
        Transport.Attempt call = calls.get(out(message, attempt));
        if (call != null) {
            call.cancel();
        }
    }

    @Override
    public void closeIdle(long endpoint) {
        transport.closeIdle(endpoint);
    }

    @Override
    public void refuse(long message, double waitMs) {
        end(open.get(message), new PendingMessage.Notice(PendingMessage.FinalAnswer.REFUSED, waitMs));
    }

    @Override
    public void fail(long message) {
        end(open.get(message), new PendingMessage.Notice(PendingMessage.FinalAnswer.FAILED, 0));
    }

    @Override
    public void wakeAt(double time) {
        long nanos = (long) (time * 1e6) - (System.nanoTime() - startNanos);
        loop.schedule(() -> {
            double now = openTurn();
            admission.recordLateness(now, now - time);
            LatenessLog.due(now - time);
            if (TRACE_ENABLED) {
                trace.late(now - time);
            }
            event(() -> policy.wake(now));
        }, Math.max(0, nanos), TimeUnit.NANOSECONDS);
    }

    @Override
    public void log(String text) {
        Log.info("module.says", "text", text);
    }

    @Override
    public void endpointChanged(DeliveryPolicy.EndpointChange change) {
        OutageLog.endpointChanged(change, endpointIds.get(change.endpoint()), clock);
    }

    @Override
    public void suspicionChanged(DeliveryPolicy.Suspicion suspicion) {
        PendingMessage held = open.get(suspicion.message());
        OutageLog.suspicionChanged(suspicion, endpointIds.getOrDefault(suspicion.endpoint(), ""), held == null ? "" : held.id, clock);
    }

    @Override
    public void saveHealth(long endpoint, DeliveryPolicy.Health health) {
        long ago = (long) (clock - health.since());
        remember(endpointIds.get(endpoint), new Journal.Health(health.state(), life.wallMs() - ago,
                health.carriedPerMs()));
    }

    @Override
    public void saveSendRate(long destination, long route, DeliveryPolicy.SendRate pace) {
        try {
            journal.recordSendRate(new Journal.SendRateKey(destination, route == DeliveryPolicy.ALL_ROUTES ? "" : endpointIds.get(route)),
                    pace);
        } catch (IOException e) {
            unwritten("journal.pace_unwritten", "", e);
        }
    }

    private void remember(String endpoint, Journal.Health health) {
        try {
            journal.recordHealth(endpoint, health);
        } catch (IOException e) {
            unwritten("journal.health_unwritten", "", e);
        }
    }

    private void end(PendingMessage held, PendingMessage.Notice notice) {
        over(held, false);
        OutageLog.ended(held, notice);
        LatenessLog.ended(held, life.wallMs() - held.deadlineMs, UNREAD_MS, ready);
        if (TRACE_ENABLED) {
            traceEnd(held);
        }
        ended.add(held.id, false);
        try {
            journal.recordAnswer(held, notice);
        } catch (IOException e) {
            unwritten("journal.notice_unwritten", held.id, e);
        }
        durability.end(held);
    }

    /** Each claimant is told by its own outcome. */
    private void owe(PendingMessage held) {
        if (held.recipients.isEmpty()) {
            forget(held);
        }
        // A copy: one that is heard at once is taken off.
        for (AnswerRecipient claim : List.copyOf(held.recipients)) {
            AnswerChannel outcome = outcomes.get(claim.channel());
            if (outcome == null) {
                Log.warn("outcome.not_set_up", "outcome", claim.channel(), "message", held.id);
            } else {
                outcome.enqueue(new PendingAnswer(held, claim));
            }
        }
    }

    /** It has an end that nobody has to hear of. */
    private void forget(PendingMessage held) {
        try {
            journal.recordCompleted(held);
        } catch (IOException e) {
            unwritten("journal.end_unwritten", held.id, e);
        }
    }

    private void traceEnd(PendingMessage held) {
        long wall = life.wallMs();
        held.answeredMs = wall;
        if (wall - held.deadlineMs > LATE_END_MS) {
            int attempts = held.attempts.size();
            long first = attempts == 0 ? wall : held.attempts.get(0).sentAtMs;
            long last = attempts == 0 ? wall : held.attempts.get(attempts - 1).sentAtMs;
            trace.lateEnd(held.id, wall - held.acceptedMs, wall - held.deadlineMs, attempts, Math.max(0, first - held.acceptedMs),
                    wall - last, ready ? "in service" : "in recovery");
        }
    }

    // ---- what the module is told ----

    /** The transport's side. */
    private final class Attempts implements Transport.AttemptListener {
        @Override
        public boolean mayBegin(Transport.Attempt call) {
            return policy.mayBegin(now(), call.message().number, call.number());
        }

        @Override
        public void ended(Transport.Attempt call, DeliveryPolicy.AttemptOutcome outcome, boolean gone, double waitMs,
                DeliveryPolicy.LimitReport told) {
            calls.remove(out(call.message().number, call.number()));
            double took = (System.nanoTime() - call.startedNanos()) / 1e6;
            attemptEnded(call.message(), call.number(), outcome, gone, waitMs, told, took);
        }
    }

    private void attemptEnded(PendingMessage held, int attempt, DeliveryPolicy.AttemptOutcome outcome, boolean gone, double waitMs,
            DeliveryPolicy.LimitReport told, double took) {
        double now = openTurn();
        if (FLOW_ENABLED) {
            Flow.step("end", held.id, attempt, held.destination, held.attempts.get(attempt).endpoint, outcome,
                    (long) took, told.perSecond(), told.remainingShare());
        }
        try {
            if (!held.finished && (gone || outcome == DeliveryPolicy.AttemptOutcome.DELIVERED)) {
                delivered(held);
            } else if (!held.finished && !outcome.mayHaveRun()) {
                journal.recordNeverRan(held, attempt);
            }
        } catch (IOException e) {
            unwritten("journal.end_unwritten", held.id, e);
        }
        boolean finished = held.finished;
        OutageLog.attemptEnded(held, attempt, outcome, took);
        event(() -> policy.attemptEnded(now, new DeliveryPolicy.AttemptEnd(held.number, attempt, outcome, took,
                finished, waitMs, told)));
    }

    /** Only what asked for it is told of a delivery. */
    private void delivered(PendingMessage held) throws IOException {
        over(held, true);
        ended.add(held.id, true);
        held.recipients.removeIf(claim -> !claim.includesDeliveries());
        if (held.recipients.isEmpty()) {
            journal.recordCompleted(held);
            return;
        }
        try {
            journal.recordAnswer(held, new PendingMessage.Notice(PendingMessage.FinalAnswer.DELIVERED, 0));
        } finally {
            owe(held);
        }
    }

    private void over(PendingMessage held, boolean delivered) {
        if (FLOW_ENABLED) {
            Flow.step("over", held.id, delivered, held.destination, life.wallMs() - held.acceptedMs);
        }
        held.finished = true;
        open.remove(held.number);
        byId.remove(held.id);
        admission.messageEnded(now(), held.destination, delivered);
    }

    private void heard(PendingAnswer answer) {
        PendingMessage held = answer.message();
        if (TRACE_ENABLED && held.answeredMs > 0 && life.wallMs() - held.deadlineMs > LATE_END_MS) {
            trace.lateNotice(held.id, life.wallMs() - held.answeredMs, life.wallMs() - held.deadlineMs);
        }
        try {
            journal.recordAcknowledged(held, answer.recipient());
        } catch (IOException e) {
            unwritten("journal.told_unwritten", held.id, e);
        }
    }

    private void listed(String directory, boolean fresh, boolean whole, List<Directory.Entry> told) {
        EndpointCatalogue.Change change = catalogue.listed(directory, whole, told);
        List<DeliveryPolicy.Endpoint> list = new ArrayList<>();
        for (Directory.Entry e : change.entries()) {
            long number = endpointNumber(e.id());
            if (FLOW_ENABLED) {
                Flow.step("listed", e.id(), e.destination(), e.serving(), e.weight(), e.kind());
            }
            destinations.add(e.destination());
            transport.updateEndpoint(number, e.address(), e.serving());
            list.add(new DeliveryPolicy.Endpoint(number, e.destination(), Math.max(0, config.kinds().indexOf(e.kind())),
                    Math.max(0, config.zones().indexOf(e.zone())), e.serving(), e.weight(), e.gone()));
        }
        forgetGone(change.whole(), change.entries());
        event(() -> policy.endpointsChanged(openTurn(), change.whole(), list));
        recovery.listKnown(fresh);
    }

    /** Later than the module does, lest it name one that is no longer known here. */
    private void forgetGone(boolean whole, List<Directory.Entry> entries) {
        long now = System.nanoTime();
        if (whole) {
            Set<String> named = new HashSet<>();
            entries.forEach(e -> named.add(e.id()));
            endpointNumbers.forEach((id, number) -> {
                goneSince.putIfAbsent(id, now);
                if (!named.contains(id)) {
                    transport.stop(number);
                }
            });
        }
        for (Directory.Entry e : entries) {
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
                transport.forget(number);
                remember(gone.getKey(), new Journal.Health(DeliveryPolicy.State.UP, 0, 0));
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
    private final class Clients implements MessageIntake {
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
            return config.settings().classes().get(config.classes().indexOf(messageClass)).repeatSafety()
                    == DeliveryPolicy.RepeatSafety.KEYED;
        }

        @Override
        public boolean knowsDestination(long destination) {
            return destinations.contains(destination);
        }

        /** What was ended by a notice is not taken on again under its id, nor is it owed anything more. */
        @Override
        public Optional<DuplicateState> checkDuplicate(String id, AnswerRecipient claim) {
            PendingMessage held = byId.get(id);
            if (held != null) {
                claim(held, claim);
                return Optional.of(DuplicateState.PENDING);
            }
            return ended.delivered(id).map(delivered ->
                    delivered ? DuplicateState.DELIVERED : DuplicateState.UNDELIVERED);
        }

        private void claim(PendingMessage held, AnswerRecipient claim) {
            // Somebody is about to hear that it is held: it must not be withdrawn for another who never does.
            acceptanceReported(held, true);
            if (!held.recipients.contains(claim)) {
                try {
                    journal.recordRecipient(held, claim);
                } catch (IOException e) {
                    // It is told in this life; a later one has forgotten who else had asked.
                    Log.error("journal.claim_unwritten", "message", held.id, "cause", e);
                    held.recipients.add(claim);
                }
            }
        }

        @Override
        public void recipientGone(String outcome, String peer) {
            for (PendingMessage held : List.copyOf(open.values())) {
                for (AnswerRecipient claim : List.copyOf(held.recipients)) {
                    if (claim.channel().equals(outcome) && claim.peer().equals(peer) && !claim.keepsAnswers()) {
                        heard(new PendingAnswer(held, claim));
                    }
                }
            }
        }

        @Override
        public SubmissionResult submit(Submission s) {
            if (!ready) {
                return SubmissionResult.refused("not ready yet", 0);
            }
            double mostMs = config.settings().classes().get(config.classes().indexOf(s.messageClass()))
                    .deadlineMs();
            long leftMs = (long) Math.min(s.budgetMs(), mostMs);
            long reserveMs = admission.isLate(now()) ? UNREAD_LATE_MS : Math.min(UNREAD_MS, leftMs / 2);
            leftMs -= reserveMs;
            AdmissionControl.Decision decision = admission.admit(now(), s.destination(), leftMs, open.size());
            if (FLOW_ENABLED) {
                Flow.step("asked", s.id(), s.destination(), decision.accepted(), open.size(), leftMs,
                        s.key().orElse("-"), decision.reason().replace(' ', '_'));
            }
            if (!decision.accepted()) {
                return new SubmissionResult(Optional.empty(), decision.reason(), decision.retryAfterMs(), decision.destinationOnly());
            }
            PendingMessage held = new PendingMessage(journal.nextNumber(), s.id(), s.messageClass(), s.tenant(), s.key(),
                    s.destination(), life.wallMs() + leftMs, s.body(), s.recipients().get(0));
            held.reserveMs = (int) reserveMs;
            held.recipients.addAll(s.recipients().subList(1, s.recipients().size()));
            // Its end writes what is collected, whatever becomes of this message.
            openTurn();
            try {
                journal.recordAccepted(held);
            } catch (IOException e) {
                return SubmissionResult.refused("no room", 0);
            }
            open.put(held.number, held);
            byId.put(held.id, held);
            admission.messageAdded(now(), held.destination);
            return SubmissionResult.accepted(held);
        }

        @Override
        public boolean writeAccepted() {
            return flushed();
        }

        @Override
        public boolean isRecorded(PendingMessage held) {
            return journal.isRecorded(held);
        }

        @Override
        public void acceptanceReported(PendingMessage held, boolean heard) {
            if (held.acceptanceReported || held.finished) {
                return;
            }
            held.acceptanceReported = heard;
            if (!heard) {
                // A client that never heard of its being taken is owed nothing, and will come again.
                over(held, false);
                try {
                    journal.recordWithdrawn(held);
                } catch (IOException e) {
                    unwritten("journal.withdrawal_unwritten", held.id, e);
                }
                return;
            }
            int messageClass = config.classes().indexOf(held.messageClass);
            double left = held.deadlineMs - life.wallMs();
            event(() -> policy.messageAccepted(openTurn(), message(held, messageClass, left)));
        }
    }

    // ---- the end ----

    /**
     * Ends in order, within the time before SIGKILL: takes messages while new connections still come, starts
     * no call that can't end in time, and lets calls and notices out finish. The journal holds the rest.
     */
    public void drain() {
        long begun = System.nanoTime();
        loop.execute(() -> {
            closing = true;
            event(() -> policy.shutdownScheduled(openTurn(), clock + closingMs));
            loop.schedule(() -> {
                fronts.forEach(Frontend::close);
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
        boolean alone = fronts.stream().allMatch(front -> front.openConnections() == 0 && !front.accepting());
        long leftMs = closingMs - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
        if (leftMs <= 0) {
            fronts.forEach(Frontend::finish);
        }
        // What was read a moment ago has its answer first: to end now would end its connection without one.
        if (alone && (leftMs <= 0 || open.isEmpty() && pendingCount() == 0) || leftMs <= -LAST_ANSWERS_MS) {
            Log.info("sender.ended", "name", config.name(), "held", open.size(), "owed", pendingCount());
            stopped.countDown();
            return;
        }
        loop.schedule(LoggedTask.of("sender.drain", () -> awaitIdle(begun)), DRAIN_POLL_MS, TimeUnit.MILLISECONDS);
    }

    private int pendingCount() {
        return durability.waiting() + outcomes.values().stream().mapToInt(AnswerChannel::pendingCount).sum();
    }

    /** Waits until the sender has ended. */
    public void await() throws InterruptedException {
        stopped.await();
    }

    /** The thread that owns all of this. */
    public EventLoop loop() {
        return loop;
    }

    /** Turns that taking up the journal took. */
    public int recoveryBatches() {
        return loop.submit(recovery::turns).syncUninterruptibly().getNow();
    }

    /**
     * Lets go of everything at once, as the end of the process would: the journal first. The quiet period is not for quiet:
     * without one Netty 4.2's loop may end in the round in which it is told to, before it has closed its channels, and the
     * port stays taken for the life of the process.
     */
    public void kill() {
        loop.submit(journal::close).syncUninterruptibly();
        fronts.forEach(Frontend::kill);
        group.shutdownGracefully(KILL_QUIET_MS, 10 * KILL_QUIET_MS, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
