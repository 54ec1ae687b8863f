package slipfield.daemon;

import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import slipfield.config.Config;
import slipfield.core.MessageIntake;
import slipfield.front.http.HttpFrontend;
import slipfield.journal.AnswerRecipient;
import slipfield.journal.PendingMessage;
import slipfield.policy.DeliveryPolicy;
import slipfield.transport.http.HttpTransport;

/**
 * Warms up the JVM before the sender listens: passes artificial messages through a client frontend, a delivery policy and an
 * HTTP transport of its own, all in memory. Code runs slowly at first and is compiled after about 200 calls. That takes about
 * 1 s of CPU time; in the first seconds under load it would leave requests unread and delay final answers. Nothing of it
 * reaches a socket, the journal or the state of the sender. It runs in slices between which the event loop does other work,
 * and for a limited time.
 */
public final class WarmUp {
    /** After this number of messages most of the code on their path is compiled. */
    public static final int MESSAGES = 200;
    /** Messages per slice. */
    private static final int SLICE = 8;
    private static final byte[] RESPONSE = ("HTTP/1.1 200 OK\r\nX-Load-Report: TEXT x0=0.5, x1=20\r\n"
            + "Content-Length: 2\r\n\r\n{}").getBytes(StandardCharsets.US_ASCII);

    private final EventLoop loop;
    private final long maxNanos;
    private final Runnable then;
    private final long startNanos = System.nanoTime();
    private final DeliveryPolicy.Settings settings;
    private final HttpFrontend intake;
    private final HttpTransport endpoints;
    private final PendingMessage message;
    private final Discard discard = new Discard();
    private final DeliveryPolicy policy;
    private final byte[] request;
    private int processed;

    /** A warm-up that takes {@code maxMs} milliseconds at most and then runs {@code then}, on the event loop. */
    public WarmUp(EventLoop loop, Config config, long maxMs, Runnable then) {
        this.loop = loop;
        this.maxNanos = TimeUnit.MILLISECONDS.toNanos(maxMs);
        this.then = then;
        this.settings = config.settings();
        this.intake = new HttpFrontend(loop, config.listen(), Integer.MAX_VALUE, discard);
        this.endpoints = new HttpTransport(loop, 1000, 1000, 0, (attempt, outcome, gone, waitMs, limitReport) -> { });
        this.message = new PendingMessage(0, "0123456789abcdef", "rehearsal", "", Optional.of("0123456789abcdef"), 1, 0,
                new byte[2]);
        this.policy = DeliveryPolicy.create(settings, 0, discard);
        String path = config.classes().get(0);
        this.request = ("POST /" + path + " HTTP/1.1\r\nHost: rehearsal\r\nX-Call-Id: 0123456789abcdef\r\n"
                + "X-Call-Class: " + path + "\r\nX-Caller: x\r\nX-Budget-Ms: 1000\r\n"
                + "Idempotency-Key: 0123456789abcdef0123456789abcdef\r\nX-Envelope: dest=1\r\n"
                + "Content-Length: 2\r\n\r\n{}").getBytes(StandardCharsets.US_ASCII);
        policy.endpointsChanged(0, true, List.of(new DeliveryPolicy.Endpoint(1, 1, 0, 0, true, 0, false),
                new DeliveryPolicy.Endpoint(2, 1, 0, 0, true, 0, false)));
    }

    /** Runs the next slice and schedules the one after it. */
    public void runSlice() {
        if (processed >= MESSAGES || System.nanoTime() - startNanos >= maxNanos) {
            then.run();
            return;
        }
        for (int i = 0; i < SLICE; i++) {
            processed++;
            intake.warmUp(request);
            decide();
            endpoints.warmUp(message, RESPONSE);
        }
        loop.schedule(this::runSlice, 0, TimeUnit.MILLISECONDS);
    }

    private void decide() {
        double now = processed * 100.0;
        policy.messageAccepted(now, new DeliveryPolicy.Message(processed, 0, 0, Optional.empty(),
                settings.classes().get(0).deadlineMs(),
                1));
        policy.endIteration(now);
        if (discard.lastSent == processed) {
            policy.attemptEnded(now + 50, new DeliveryPolicy.AttemptEnd(processed, 0, DeliveryPolicy.AttemptOutcome.DELIVERED, 50,
                    true, 0,
                    DeliveryPolicy.LimitReport.NOTHING));
            policy.endIteration(now + 50);
        }
    }

    /** A message intake that refuses all messages, and delivery actions that only record the message sent last. */
    private static final class Discard implements MessageIntake, DeliveryPolicy.Actions {
        private long lastSent;

        @Override
        public boolean ready() {
            return false;
        }

        @Override
        public boolean knowsClass(String name) {
            return true;
        }

        @Override
        public boolean knowsTenant(String name) {
            return true;
        }

        @Override
        public boolean needsKey(String messageClass) {
            return true;
        }

        @Override
        public boolean safeToRepeat(String messageClass) {
            return false;
        }

        @Override
        public boolean knowsDestination(long destination) {
            return true;
        }

        @Override
        public Optional<DuplicateState> checkDuplicate(String id, AnswerRecipient recipient) {
            return Optional.empty();
        }

        @Override
        public void recipientGone(String channel, String peer) {
        }

        @Override
        public SubmissionResult submit(Submission submission) {
            return SubmissionResult.refused("rehearsal", 0);
        }

        @Override
        public boolean writeAccepted() {
            return true;
        }

        @Override
        public void acceptanceReported(PendingMessage message, boolean acknowledged) {
        }

        @Override
        public void send(long message, long endpoint, DeliveryPolicy.AttemptTiming timing) {
            lastSent = message;
        }

        @Override
        public void cancel(long message, int attempt) {
        }

        @Override
        public void closeIdle(long endpoint) {
        }

        @Override
        public void refuse(long message, double waitMs) {
        }

        @Override
        public void fail(long message) {
        }

        @Override
        public void wakeAt(double time) {
        }

        @Override
        public void log(String text) {
        }
    }
}
