package slipfield.core;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.FileChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
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
import slipfield.socket.GuardedLoopGroup;
import slipfield.trace.Flow;
import slipfield.trace.Trace;

/**
 * Runs the delivery policy on an event loop: supplies the time, maps ids to the numbers that the policy uses, carries out its
 * decisions, and reports events to it. It makes no delivery decision itself. Only the event loop's thread uses the policy and
 * the components, so there are no locks.
 */
public final class Sender implements DeliveryPolicy.Actions {
    /**
     * A message is ended this long before its client's deadline. The client's budget runs from when it sent the request, but on
     * a busy CPU the request may wait unread for the 400 ms that its client waits, and the notice takes an iteration or two of
     * an event loop that is equally late. After a start, a delay of 421 ms was observed.
     */
    private static final long ANSWER_RESERVE_MS = 700;
    /** The same for a message accepted while the event loop is late: its answer may be delayed as much as its request was. */
    private static final long LATE_LOOP_RESERVE_MS = 1000;
    /** The name of the event loop's thread, with a number added. */
    public static final String THREAD_NAME = "core";
    private static final long DRAIN_POLL_MS = 20;
    /** How long after the end of the drain time a sender may still answer requests that it has read. */
    private static final long LAST_ANSWERS_MS = 200;
    private static final long KILL_QUIET_MS = 100;
    /** A message that ends this long after its deadline is traced: half of the delay that the rules allow. */
    private static final double LATE_ANSWER_MS = 150;
    /** How long the warm-up may delay listening; shorter if messages are pending. */
    private static final long WARM_UP_MS = 4000;
    private static final long WARM_UP_PENDING_MS = 300;
    /** Whether the event loop's time is traced: {@code -Dsender.trace=true}. */
    public static final boolean TRACE_ENABLED = Boolean.getBoolean("sender.trace");
    /** Whether the steps of each message are printed: {@code -Dsender.flow=true}. */
    public static final boolean FLOW_ENABLED = Boolean.getBoolean("sender.flow");

    private final Config config;
    private final SenderComponents components;
    private final long acceptMs;
    private final long drainMs;
    private final EventLoopGroup group = new GuardedLoopGroup(THREAD_NAME);
    private final EventLoop loop = group.next();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final long startNanos = System.nanoTime();
    private final ProcessClock clock;
    private final CountDownLatch overdueAnswersSent = new CountDownLatch(1);
    private final EndpointNumbers endpoints = new EndpointNumbers();
    /** Pending messages without a final answer, by the policy's number and by the client's id. */
    private final Map<Long, PendingMessage> pendingByNumber = new HashMap<>();
    private final Map<String, PendingMessage> pendingById = new HashMap<>();
    private EndedIds endedIds;
    /** Destinations that an endpoint list has named. */
    private final Set<Long> knownDestinations = new HashSet<>();
    private final DeliveryPolicy policy;
    private final AdmissionControl admission;
    private final Trace trace = TRACE_ENABLED ? new Trace(System.err) : null;
    private Recovery recovery;
    private Journal journal;
    private Durability durability;
    private Transport transport;
    private AttemptStarter attemptStarter;
    private Map<String, AnswerChannel> answerChannels = Map.of();
    private Map<String, Directory> directories = Map.of();
    private EndpointCatalogue catalogue;
    private List<Frontend> frontends = List.of();
    private boolean iterationOpen;
    /** The policy's time of the current iteration, in ms since this sender was created. */
    private double iterationMs;
    private boolean closing;
    /** An endpoint list is known, and the messages of the journal are restored. */
    private boolean ready;

    /**
     * Creates a sender; {@link #start} starts it.
     *
     * @param acceptMs how long after the start of a drain new connections are accepted, in milliseconds
     * @param drainMs how long after the start of a drain attempts in progress may take, in milliseconds
     */
    public Sender(Config config, SenderComponents components, long acceptMs, long drainMs, ProcessClock clock) {
        this.config = config;
        this.components = components;
        this.clock = clock;
        this.admission = new AdmissionControl(config.maxOpen());
        this.acceptMs = acceptMs;
        this.drainMs = drainMs;
        this.policy = DeliveryPolicy.create(config.settings(), config.seed(), this);
    }

    /**
     * Sends the answers that an earlier process left overdue, then starts to listen, and continues with the other messages of
     * the journal. Returns the address of each frontend once clients can connect to it.
     */
    public List<InetSocketAddress> start() throws IOException {
        Journal opened = Retry.within(Retry.START_MS, "journal", () -> new Journal(config.state(), config.diskBytes(),
                config.settings().maxAttempts(), components.rememberedIds(), clock.reference(), FileChannel::open));
        loop.submit(() -> open(opened)).syncUninterruptibly();
        try {
            overdueAnswersSent.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (Frontend frontend : frontends) {
            InetSocketAddress address = frontend.listen();
            Log.info("sender.listening", "name", config.name(), "address", Config.hostPort(address));
            addresses.add(address);
        }
        return addresses;
    }

    private Void open(Journal opened) throws IOException {
        journal = opened;
        durability = new Durability(loop, journal, this::mayResend, new JournalListener());
        durability.check();
        endedIds = new EndedIds(components.rememberedIds(), journal.hashedIds());
        if (journal.keptIds() < components.rememberedIds()) {
            Log.warn("journal.ids_limited", "known_ids", components.rememberedIds(), "after_restart", journal.keptIds(),
                    "mend", "raise limits.disk_mb, or lower known_ids");
        }
        transport = components.transport(loop, new AttemptEnds());
        transport.start();
        attemptStarter = new AttemptStarter(loop, journal, transport, new AttemptContext());
        answerChannels = components.answerChannels(loop, this::acknowledged);
        frontends = components.frontends(loop, new Intake());
        directories = components.directories(loop);
        catalogue = new EndpointCatalogue(List.copyOf(directories.keySet()));
        if (TRACE_ENABLED) {
            journal.setTrace(trace);
            components.enableTrace(trace);
        }
        recover();
        return null;
    }

    /** Restores what an earlier process left in the journal: messages with their attempts, endpoint health and send rates. */
    private void recover() {
        long wall = clock.wallMs();
        double now = beginIteration();
        journal.completedIds().forEach(endedIds::add);
        for (Map.Entry<String, Journal.Health> known : journal.endpointHealth().entrySet()) {
            policy.healthRestored(now, endpointNumber(known.getKey()), policyHealth(known.getValue(), now, wall));
        }
        journal.destinationHealth().forEach((destination, health) ->
                policy.destinationHealthRestored(now, destination, policyHealth(health, now, wall)));
        for (Map.Entry<Journal.SendRateKey, DeliveryPolicy.SendRate> known : journal.sendRates().entrySet()) {
            String route = known.getKey().endpoint();
            policy.sendRateRestored(now, known.getKey().destination(),
                    route.isEmpty() ? DeliveryPolicy.ALL_ROUTES : endpointNumber(route), known.getValue());
        }
        List<PendingMessage> messages = journal.pendingMessages();
        for (PendingMessage h : messages) {
            h.acceptanceReported = true;
            if (h.finished) {
                endedIds.add(h.id, h.wasDelivered());
            } else {
                pendingByNumber.put(h.number, h);
                pendingById.put(h.id, h);
                admission.messageAdded(now, h.destination);
            }
        }
        recovery = new Recovery(loop, clock::wallMs, messages, h -> {
            int messageClass = config.classes().indexOf(h.messageClass);
            return messageClass >= 0 && config.settings().classes().get(messageClass).inOrder();
        }, new RecoverySteps());
        recovery.start();
    }

    /** Converts a health that the journal holds to the policy's time. */
    private static DeliveryPolicy.Health policyHealth(Journal.Health health, double nowMs, long wallMs) {
        double since = nowMs - Math.max(0, wallMs - health.sinceMs());
        return new DeliveryPolicy.Health(health.state(), since, health.carriedPerMs());
    }

    private final class RecoverySteps implements Recovery.Steps {
        @Override
        public void sendAnswer(PendingMessage message) {
            beginIteration();
            enqueueAnswers(message);
        }

        @Override
        public void resume(PendingMessage message, long leftMs) {
            int messageClass = config.classes().indexOf(message.messageClass);
            double now = beginIteration();
            if (messageClass < 0) {
                Log.warn("message.class_gone", "message", message.id, "class", message.messageClass);
                end(message, new PendingMessage.Notice(PendingMessage.FinalAnswer.FAILED, 0));
                return;
            }
            long wall = clock.wallMs();
            List<DeliveryPolicy.PreviousAttempt> earlier = new ArrayList<>();
            for (PendingMessage.Attempt a : message.attempts) {
                // If the wall clock was set back, an attempt must not seem to start in the future.
                double sentAt = now - Math.max(0, wall - a.sentAtMs);
                earlier.add(new DeliveryPolicy.PreviousAttempt(endpointNumber(a.endpoint), sentAt, a.mayHaveRun()));
            }
            guarded(() -> policy.messageRestored(now, policyMessage(message, messageClass, leftMs), earlier));
        }

        @Override
        public void answersSent() {
            directories.forEach((name, directory) ->
                    directory.start((complete, entries) -> endpointsChanged(name, directory.fresh(), complete, entries)));
            components.warmUp(loop, pendingByNumber.isEmpty() ? WARM_UP_MS : WARM_UP_PENDING_MS, overdueAnswersSent::countDown);
        }

        @Override
        public void done(int resumed) {
            ready = true;
            Log.info("sender.ready", "name", config.name(), "resumed", resumed, "turns", recovery.batches());
        }
    }

    private DeliveryPolicy.Message policyMessage(PendingMessage message, int messageClass, double leftMs) {
        double left = Math.min(leftMs, config.settings().classes().get(messageClass).deadlineMs());
        return new DeliveryPolicy.Message(message.number, messageClass, Math.max(0, config.tenants().indexOf(message.tenant)),
                message.key, left, message.destination);
    }

    // ---- event-loop iterations ----

    /**
     * Starts an iteration if none is in progress, and returns the policy's time, in ms, which is the same for all events of the
     * iteration. The iteration ends when the event loop has run the tasks that it has now.
     */
    private double beginIteration() {
        if (!iterationOpen) {
            iterationOpen = true;
            journal.beginBatch();
            iterationMs = now();
            loop.execute(this::endIteration);
        }
        return iterationMs;
    }

    /** Ends an iteration. Answers are sent before calls are made, since a message whose answer comes late is lost. */
    private void endIteration() {
        long begun = TRACE_ENABLED ? enterTrace(Trace.Part.MODULE) : 0;
        try {
            policy.endIteration(iterationMs);
        } catch (RuntimeException e) {
            logFault(e);
        } finally {
            iterationOpen = false;
        }
        recordIteration();
        durability.release();
        if (TRACE_ENABLED) {
            trace.leave();
            trace.enter(Trace.Part.NOTICES);
        }
        answerChannels.values().forEach(AnswerChannel::flush);
        if (TRACE_ENABLED) {
            trace.leave();
            trace.enter(Trace.Part.CALLS);
        }
        startCalls();
        if (TRACE_ENABLED) {
            trace.leave();
            trace.iteration(System.nanoTime() - begun);
        }
    }

    private long enterTrace(Trace.Part part) {
        trace.enter(part);
        return System.nanoTime();
    }

    /** Writes the iteration's records to the journal in one write, before any answer or call leaves. */
    private boolean flushJournal() {
        boolean written = durability.flush();
        if (iterationOpen) {
            journal.beginBatch();
        }
        return written;
    }

    private final class JournalListener implements Durability.Listener {
        @Override
        public void recordingChanged(boolean possible) {
            guarded(() -> policy.recordingChanged(beginIteration(), possible));
        }

        @Override
        public void send(PendingMessage ended) {
            enqueueAnswers(ended);
        }

        @Override
        public long wallMs() {
            return clock.wallMs();
        }
    }

    /** Whether the process after a restart may send the message if its end is not recorded. */
    private boolean mayResend(PendingMessage message) {
        int messageClass = config.classes().indexOf(message.messageClass);
        boolean unsafe = messageClass < 0
                || config.settings().classes().get(messageClass).repeatSafety() == DeliveryPolicy.RepeatSafety.UNSAFE;
        return !unsafe || !message.mayHaveRun();
    }

    private void writeFailed(String event, String message, IOException cause) {
        Log.error(event, "message", message, "cause", cause);
        durability.check();
    }

    /** Writes the iteration's records so far. If that fails, the calls decided in this iteration are not made. */
    private void recordIteration() {
        if (!flushJournal()) {
            attemptStarter.dropUnrecorded();
        }
    }

    private void startCalls() {
        attemptStarter.startDecided(now() - iterationMs);
    }

    private final class AttemptContext implements AttemptStarter.Context {
        @Override
        public boolean isPermitted(PendingMessage message, int attempt) {
            return policy.mayBegin(now(), message.number, attempt);
        }

        @Override
        public boolean flushJournal() {
            return Sender.this.flushJournal();
        }

        @Override
        public void writeFailed(String event, String message, IOException cause) {
            Sender.this.writeFailed(event, message, cause);
        }

        @Override
        public void notStarted(PendingMessage message, int attempt) {
            loop.execute(() -> attemptEnded(message, attempt, DeliveryPolicy.AttemptOutcome.NOT_SENT, false, 0,
                    DeliveryPolicy.LimitReport.NOTHING, 0));
        }
    }

    /** Logs an unexpected exception. One in the handling of a message must not end the process and affect the others. */
    private static void logFault(RuntimeException e) {
        Log.error("module.fault", "cause", e, "at", List.of(e.getStackTrace()).stream().limit(5).toList());
    }

    private double now() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    private void guarded(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            logFault(e);
        }
    }

    // ---- actions of the policy ----

    @Override
    public void send(long message, long endpoint, DeliveryPolicy.AttemptTiming timing) {
        PendingMessage pending = pendingByNumber.get(message);
        attemptStarter.decide(pending, new PendingMessage.Attempt(endpoints.id(endpoint), clock.wallMs()), endpoint, timing,
                startNanos + (long) (iterationMs * 1e6));
    }

    @Override
    public void cancel(long message, int attempt) {
        recordIteration();
        startCalls();
        attemptStarter.cancel(message, attempt);
    }

    @Override
    public void closeIdle(long endpoint) {
        transport.closeIdle(endpoint);
    }

    @Override
    public void refuse(long message, double waitMs) {
        end(pendingByNumber.get(message), new PendingMessage.Notice(PendingMessage.FinalAnswer.REFUSED, waitMs));
    }

    @Override
    public void fail(long message) {
        end(pendingByNumber.get(message), new PendingMessage.Notice(PendingMessage.FinalAnswer.FAILED, 0));
    }

    @Override
    public void wakeAt(double time) {
        long nanos = (long) (time * 1e6) - (System.nanoTime() - startNanos);
        loop.schedule(() -> {
            double now = beginIteration();
            admission.recordLateness(now, now - time);
            LatenessLog.timerFired(now - time);
            if (TRACE_ENABLED) {
                trace.late(now - time);
            }
            guarded(() -> policy.wake(now));
        }, Math.max(0, nanos), TimeUnit.NANOSECONDS);
    }

    @Override
    public void log(String text) {
        Log.info("module.says", "text", text);
    }

    @Override
    public void endpointChanged(DeliveryPolicy.EndpointChange change) {
        OutageLog.endpointChanged(change, endpoints.id(change.endpoint()), iterationMs);
    }

    @Override
    public void suspicionChanged(DeliveryPolicy.Suspicion suspicion) {
        PendingMessage message = pendingByNumber.get(suspicion.message());
        OutageLog.suspicionChanged(suspicion, Objects.requireNonNullElse(endpoints.id(suspicion.endpoint()), ""),
                message == null ? "" : message.id, iterationMs);
    }

    @Override
    public void saveHealth(long endpoint, DeliveryPolicy.Health health) {
        remember(endpoints.id(endpoint), journalHealth(health));
    }

    @Override
    public void saveDestinationHealth(long destination, DeliveryPolicy.Health health) {
        try {
            journal.recordDestinationHealth(destination, journalHealth(health));
        } catch (IOException e) {
            writeFailed("journal.health_unwritten", "", e);
        }
    }

    private Journal.Health journalHealth(DeliveryPolicy.Health health) {
        long ago = (long) (iterationMs - health.since());
        return new Journal.Health(health.state(), clock.wallMs() - ago, health.carriedPerMs());
    }

    @Override
    public void saveSendRate(long destination, long route, DeliveryPolicy.SendRate pace) {
        try {
            journal.recordSendRate(new Journal.SendRateKey(destination,
                    route == DeliveryPolicy.ALL_ROUTES ? "" : endpoints.id(route)), pace);
        } catch (IOException e) {
            writeFailed("journal.pace_unwritten", "", e);
        }
    }

    private void remember(String endpoint, Journal.Health health) {
        if (endpoint == null) {
            // Forgotten, since there were too many; a call to it was still in progress.
            return;
        }
        try {
            journal.recordHealth(endpoint, health);
        } catch (IOException e) {
            writeFailed("journal.health_unwritten", "", e);
        }
    }

    private void end(PendingMessage message, PendingMessage.Notice notice) {
        finish(message, false);
        OutageLog.undelivered(message, notice);
        LatenessLog.messageEnded(message, clock.wallMs() - message.deadlineMs, ANSWER_RESERVE_MS, ready);
        if (TRACE_ENABLED) {
            traceLateAnswer(message);
        }
        endedIds.add(message.id, false);
        try {
            journal.recordAnswer(message, notice);
        } catch (IOException e) {
            writeFailed("journal.notice_unwritten", message.id, e);
        }
        durability.enqueue(message);
    }

    /** Passes the message's answer to the channel of each recipient. */
    private void enqueueAnswers(PendingMessage message) {
        if (message.recipients.isEmpty()) {
            recordCompleted(message);
        }
        // A copy, since a recipient whose answer is acknowledged at once is removed.
        for (AnswerRecipient claim : List.copyOf(message.recipients)) {
            AnswerChannel outcome = answerChannels.get(claim.channel());
            if (outcome == null) {
                Log.warn("outcome.not_set_up", "outcome", claim.channel(), "message", message.id);
            } else {
                outcome.enqueue(new PendingAnswer(message, claim));
            }
        }
    }

    /** Records that the message has ended and that no answer is pending. */
    private void recordCompleted(PendingMessage message) {
        try {
            journal.recordCompleted(message);
        } catch (IOException e) {
            writeFailed("journal.end_unwritten", message.id, e);
        }
    }

    private void traceLateAnswer(PendingMessage message) {
        long wall = clock.wallMs();
        message.answeredMs = wall;
        if (wall - message.deadlineMs > LATE_ANSWER_MS) {
            int attempts = message.attempts.size();
            long first = attempts == 0 ? wall : message.attempts.get(0).sentAtMs;
            long last = attempts == 0 ? wall : message.attempts.get(attempts - 1).sentAtMs;
            trace.lateEnd(message.id, wall - message.acceptedMs, wall - message.deadlineMs, attempts,
                    Math.max(0, first - message.acceptedMs), wall - last, ready ? "in service" : "in recovery");
        }
    }

    // ---- events for the policy ----

    private final class AttemptEnds implements Transport.AttemptListener {
        @Override
        public boolean mayBegin(Transport.Attempt call) {
            return attemptStarter.mayBegin(call);
        }

        @Override
        public void ended(Transport.Attempt call, DeliveryPolicy.AttemptOutcome outcome, boolean gone, double waitMs,
                DeliveryPolicy.LimitReport told) {
            attemptStarter.ended(call);
            double took = (System.nanoTime() - call.startedNanos()) / 1e6;
            attemptEnded(call.message(), call.number(), outcome, gone, waitMs, told, took);
        }
    }

    private void attemptEnded(PendingMessage message, int attempt, DeliveryPolicy.AttemptOutcome outcome, boolean gone,
            double waitMs, DeliveryPolicy.LimitReport told, double took) {
        double now = beginIteration();
        if (FLOW_ENABLED) {
            Flow.step("end", message.id, attempt, message.destination, message.attempts.get(attempt).endpoint, outcome,
                    (long) took, told.perSecond(), told.remainingShare());
        }
        try {
            if (!message.finished && (gone || outcome == DeliveryPolicy.AttemptOutcome.DELIVERED)) {
                delivered(message);
            } else if (!message.finished && !outcome.mayHaveRun()) {
                journal.recordNeverRan(message, attempt);
            }
        } catch (IOException e) {
            writeFailed("journal.end_unwritten", message.id, e);
        }
        boolean finished = message.finished;
        OutageLog.attemptEnded(message, attempt, outcome, took);
        guarded(() -> policy.attemptEnded(now, new DeliveryPolicy.AttemptEnd(message.number, attempt, outcome, took,
                finished, waitMs, told)));
    }

    /** Records a delivery, and answers only the recipients that asked for answers of delivered messages. */
    private void delivered(PendingMessage message) throws IOException {
        finish(message, true);
        endedIds.add(message.id, true);
        message.recipients.removeIf(claim -> !claim.includesDeliveries());
        if (message.recipients.isEmpty()) {
            journal.recordCompleted(message);
            return;
        }
        try {
            journal.recordAnswer(message, new PendingMessage.Notice(PendingMessage.FinalAnswer.DELIVERED, 0));
        } finally {
            enqueueAnswers(message);
        }
    }

    private void finish(PendingMessage message, boolean delivered) {
        if (FLOW_ENABLED) {
            Flow.step("over", message.id, delivered, message.destination, clock.wallMs() - message.acceptedMs);
        }
        message.finished = true;
        pendingByNumber.remove(message.number);
        pendingById.remove(message.id);
        admission.messageEnded(now(), message.destination, delivered);
    }

    private void acknowledged(PendingAnswer answer) {
        PendingMessage message = answer.message();
        if (TRACE_ENABLED && message.answeredMs > 0 && clock.wallMs() - message.deadlineMs > LATE_ANSWER_MS) {
            trace.lateNotice(message.id, clock.wallMs() - message.answeredMs, clock.wallMs() - message.deadlineMs);
        }
        try {
            journal.recordAcknowledged(message, answer.recipient());
        } catch (IOException e) {
            writeFailed("journal.told_unwritten", message.id, e);
        }
    }

    private void endpointsChanged(String directory, boolean fresh, boolean complete, List<Directory.Entry> reported) {
        EndpointCatalogue.Change change = catalogue.update(directory, complete, reported);
        List<DeliveryPolicy.Endpoint> list = new ArrayList<>();
        for (Directory.Entry e : change.entries()) {
            // An entry that is gone may name no destination.
            if (!e.gone()) {
                endpoints.list(e.id(), e.destination(), System.nanoTime()).ifPresent(replaced -> {
                    Log.warn("endpoint.replaced", "endpoint", e.id(), "destination", e.destination(), "before",
                            replaced.destination());
                    transport.stop(replaced.number());
                    list.add(policyEndpoint(replaced.number(), replaced.destination(), e, false, true));
                });
            }
            long number = endpointNumber(e.id());
            if (FLOW_ENABLED) {
                Flow.step("listed", e.id(), e.destination(), e.serving(), e.weight(), e.kind());
            }
            knownDestinations.add(e.destination());
            transport.updateEndpoint(number, e.address(), e.serving());
            list.add(policyEndpoint(number, e.destination(), e, e.serving(), e.gone()));
        }
        forgetRemoved(change.complete(), change.entries());
        guarded(() -> policy.endpointsChanged(beginIteration(), change.complete(), list));
        recovery.listAvailable(fresh);
    }

    private DeliveryPolicy.Endpoint policyEndpoint(long number, long destination, Directory.Entry entry, boolean serving,
            boolean gone) {
        return new DeliveryPolicy.Endpoint(number, destination, Math.max(0, config.kinds().indexOf(entry.kind())),
                Math.max(0, config.zones().indexOf(entry.zone())), serving, entry.weight(), gone);
    }

    /** Forgets endpoints that left the endpoint list long ago. */
    private void forgetRemoved(boolean complete, List<Directory.Entry> entries) {
        long now = System.nanoTime();
        if (complete) {
            Set<String> named = new HashSet<>();
            entries.forEach(e -> named.add(e.id()));
            for (String id : endpoints.ids()) {
                endpoints.removed(id, now);
                if (!named.contains(id)) {
                    transport.stop(endpointNumber(id));
                }
            }
        }
        for (Directory.Entry e : entries) {
            if (e.gone()) {
                endpoints.removed(e.id(), now);
            } else {
                endpoints.present(e.id());
            }
        }
        for (EndpointNumbers.Forgotten forgotten : endpoints.forgetOld(now)) {
            transport.forget(forgotten.number());
            if (!forgotten.idInUse()) {
                remember(forgotten.id(), new Journal.Health(DeliveryPolicy.State.UP, 0, 0));
            }
        }
    }

    private long endpointNumber(String id) {
        return endpoints.number(id, System.nanoTime());
    }

    private final class Intake implements MessageIntake {
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
            return repeatSafety(messageClass) == DeliveryPolicy.RepeatSafety.KEYED;
        }

        @Override
        public boolean safeToRepeat(String messageClass) {
            return repeatSafety(messageClass) == DeliveryPolicy.RepeatSafety.SAFE;
        }

        private DeliveryPolicy.RepeatSafety repeatSafety(String messageClass) {
            return config.settings().classes().get(config.classes().indexOf(messageClass)).repeatSafety();
        }

        @Override
        public boolean knowsDestination(long destination) {
            return knownDestinations.contains(destination);
        }

        /** A message that was refused or failed is not accepted again under its id, and gets no further answer. */
        @Override
        public Optional<DuplicateState> checkDuplicate(String id, AnswerRecipient claim) {
            PendingMessage message = pendingById.get(id);
            if (message != null) {
                claim(message, claim);
                return Optional.of(DuplicateState.PENDING);
            }
            return endedIds.delivered(id).map(delivered ->
                    delivered ? DuplicateState.DELIVERED : DuplicateState.UNDELIVERED);
        }

        private void claim(PendingMessage message, AnswerRecipient claim) {
            // This client will be told that the message is pending, so it must not be withdrawn if another client disconnects.
            acceptanceReported(message, true);
            if (!message.recipients.contains(claim)) {
                try {
                    journal.recordRecipient(message, claim);
                } catch (IOException e) {
                    // The recipient gets its answer from this process; after a restart it is not known any more.
                    Log.error("journal.claim_unwritten", "message", message.id, "cause", e);
                    message.recipients.add(claim);
                }
            }
        }

        @Override
        public void recipientGone(String outcome, String peer) {
            for (PendingMessage message : List.copyOf(pendingByNumber.values())) {
                for (AnswerRecipient claim : List.copyOf(message.recipients)) {
                    if (claim.channel().equals(outcome) && claim.peer().equals(peer) && !claim.keepsAnswers()) {
                        acknowledged(new PendingAnswer(message, claim));
                    }
                }
            }
        }

        @Override
        public SubmissionResult submit(Submission s) {
            if (!ready) {
                return SubmissionResult.refused("not ready yet", 0);
            }
            double maxMs = config.settings().classes().get(config.classes().indexOf(s.messageClass()))
                    .deadlineMs();
            long leftMs = (long) Math.min(s.budgetMs(), maxMs);
            long reserveMs = admission.isLate(now()) ? LATE_LOOP_RESERVE_MS : Math.min(ANSWER_RESERVE_MS, leftMs / 2);
            leftMs -= reserveMs;
            AdmissionControl.Decision decision = admission.admit(now(), s.destination(), leftMs, pendingByNumber.size());
            if (FLOW_ENABLED) {
                Flow.step("asked", s.id(), s.destination(), decision.accepted(), pendingByNumber.size(), leftMs,
                        s.key().orElse("-"), decision.reason().replace(' ', '_'));
            }
            if (!decision.accepted()) {
                return new SubmissionResult(Optional.empty(), decision.reason(), decision.retryAfterMs(),
                        decision.destinationOnly());
            }
            PendingMessage message = new PendingMessage(journal.nextNumber(), s.id(), s.messageClass(), s.tenant(), s.key(),
                    s.destination(), clock.wallMs() + leftMs, s.body(), s.recipients().get(0));
            message.reserveMs = (int) reserveMs;
            message.recipients.addAll(s.recipients().subList(1, s.recipients().size()));
            // The end of the iteration writes the collected records, whether or not this message is accepted.
            beginIteration();
            try {
                journal.recordAccepted(message);
            } catch (IOException e) {
                return SubmissionResult.refused("no room", 0);
            }
            pendingByNumber.put(message.number, message);
            pendingById.put(message.id, message);
            admission.messageAdded(now(), message.destination);
            return SubmissionResult.accepted(message);
        }

        @Override
        public boolean writeAccepted() {
            return flushJournal();
        }

        @Override
        public boolean isRecorded(PendingMessage message) {
            return journal.isRecorded(message);
        }

        @Override
        public void acceptanceReported(PendingMessage message, boolean received) {
            if (message.acceptanceReported || message.finished) {
                return;
            }
            message.acceptanceReported = received;
            if (!received) {
                // A client that was not told of the acceptance gets no answer, and will submit the message again.
                finish(message, false);
                try {
                    journal.recordWithdrawn(message);
                } catch (IOException e) {
                    writeFailed("journal.withdrawal_unwritten", message.id, e);
                }
                return;
            }
            int messageClass = config.classes().indexOf(message.messageClass);
            double left = message.deadlineMs - clock.wallMs();
            guarded(() -> policy.messageAccepted(beginIteration(), policyMessage(message, messageClass, left)));
        }
    }

    // ---- shutdown ----

    /**
     * Shuts down gracefully within the time before SIGKILL: accepts messages while new connections may still arrive, starts no
     * call that can't end in time, and waits for the calls and notices in progress. The journal keeps the other messages.
     */
    public void drain() {
        long begun = System.nanoTime();
        loop.execute(() -> {
            closing = true;
            guarded(() -> policy.shutdownScheduled(beginIteration(), iterationMs + drainMs));
            loop.schedule(() -> {
                frontends.forEach(Frontend::close);
                awaitIdle(begun);
            }, acceptMs, TimeUnit.MILLISECONDS);
        });
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitIdle(long begun) {
        boolean alone = frontends.stream().allMatch(frontend -> frontend.openConnections() == 0 && !frontend.accepting());
        long leftMs = drainMs - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
        if (leftMs <= 0) {
            frontends.forEach(Frontend::finish);
        }
        // Requests that were read get their answers first; to stop now would close their connections without one.
        if (alone && (leftMs <= 0 || pendingByNumber.isEmpty() && pendingCount() == 0) || leftMs <= -LAST_ANSWERS_MS) {
            Log.info("sender.ended", "name", config.name(), "held", pendingByNumber.size(), "owed", pendingCount());
            stopped.countDown();
            return;
        }
        loop.schedule(LoggedTask.of("sender.drain", () -> awaitIdle(begun)), DRAIN_POLL_MS, TimeUnit.MILLISECONDS);
    }

    private int pendingCount() {
        return durability.pendingCount() + answerChannels.values().stream().mapToInt(AnswerChannel::pendingCount).sum();
    }

    /** Waits until the sender has ended. */
    public void await() throws InterruptedException {
        stopped.await();
    }

    /** The event loop whose thread uses the policy and the components. */
    public EventLoop loop() {
        return loop;
    }

    /** The number of batches in which the messages of the journal were restored. */
    public int recoveryBatches() {
        return loop.submit(recovery::batches).syncUninterruptibly().getNow();
    }

    /**
     * Releases everything at once, as the end of the process would; the journal first. The shutdown needs a quiet period:
     * without one, the event loop of Netty 4.2 may end in the same iteration, before it has closed its channels, and the port
     * stays in use until the process ends.
     */
    public void kill() {
        loop.submit(journal::close).syncUninterruptibly();
        frontends.forEach(Frontend::kill);
        group.shutdownGracefully(KILL_QUIET_MS, 10 * KILL_QUIET_MS, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
