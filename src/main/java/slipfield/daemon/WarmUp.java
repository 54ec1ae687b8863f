package slipfield.daemon;

import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import slipfield.config.Config;
import slipfield.core.MessageIntake;
import slipfield.front.http.Intake;
import slipfield.journal.AnswerRecipient;
import slipfield.journal.PendingMessage;
import slipfield.policy.DeliveryPolicy;
import slipfield.transport.http.Endpoints;

/**
 * Messages that nobody sent, through the client side, a decision module and the calls' side of their own, in memory, before the
 * sender listens. What runs for the first time in a process runs slowly and is compiled after some two hundred
 * calls; that takes about a second of CPU, which is better spent while nobody waits than in the first seconds
 * under load, when requests stand unread and ends come late. Nothing of it reaches a socket, the journal, or the
 * state of the sender. In slices, with the loop free between them, and for a bounded time.
 */
public final class WarmUp {
    /** Calls after which most of the way is compiled. */
    public static final int MESSAGES = 200;
    private static final int SLICE = 8;
    private static final byte[] ANSWER = ("HTTP/1.1 200 OK\r\nX-Load-Report: TEXT x0=0.5, x1=20\r\n"
            + "Content-Length: 2\r\n\r\n{}").getBytes(StandardCharsets.US_ASCII);

    private final EventLoop loop;
    private final long mostNanos;
    private final Runnable then;
    private final long begun = System.nanoTime();
    private final DeliveryPolicy.Settings settings;
    private final Intake intake;
    private final Endpoints endpoints;
    private final PendingMessage held;
    private final Stage stage = new Stage();
    private final DeliveryPolicy policy;
    private final byte[] request;
    private int played;

    /** For so many milliseconds at most; then the sender listens, by {@code then}. */
    public WarmUp(EventLoop loop, Config config, long mostMs, Runnable then) {
        this.loop = loop;
        this.mostNanos = TimeUnit.MILLISECONDS.toNanos(mostMs);
        this.then = then;
        this.settings = config.settings();
        this.intake = new Intake(loop, config.listen(), Integer.MAX_VALUE, stage);
        this.endpoints = new Endpoints(loop, 1000, 1000, 0, (call, outcome, gone, waitMs, told) -> { });
        this.held = new PendingMessage(0, "0123456789abcdef", "rehearsal", "", Optional.of("0123456789abcdef"), 1, 0,
                new byte[2]);
        this.policy = DeliveryPolicy.create(settings, 0, stage);
        String path = config.classes().get(0);
        this.request = ("POST /" + path + " HTTP/1.1\r\nHost: rehearsal\r\nX-Call-Id: 0123456789abcdef\r\n"
                + "X-Call-Class: " + path + "\r\nX-Caller: x\r\nX-Budget-Ms: 1000\r\n"
                + "Idempotency-Key: 0123456789abcdef0123456789abcdef\r\nX-Envelope: dest=1\r\n"
                + "Content-Length: 2\r\n\r\n{}").getBytes(StandardCharsets.US_ASCII);
        policy.endpointsChanged(0, true, List.of(new DeliveryPolicy.Endpoint(1, 1, 0, 0, true, 0, false),
                new DeliveryPolicy.Endpoint(2, 1, 0, 0, true, 0, false)));
    }

    /** Plays the next slice, and the others after it. */
    public void play() {
        if (played >= MESSAGES || System.nanoTime() - begun >= mostNanos) {
            then.run();
            return;
        }
        for (int i = 0; i < SLICE; i++) {
            played++;
            intake.rehearse(request);
            decide();
            endpoints.rehearse(held, ANSWER);
        }
        loop.schedule(this::play, 0, TimeUnit.MILLISECONDS);
    }

    private void decide() {
        double now = played * 100.0;
        policy.messageAccepted(now, new DeliveryPolicy.Message(played, 0, 0, Optional.empty(),
                settings.classes().get(0).deadlineMs(),
                1));
        policy.endIteration(now);
        if (stage.sent == played) {
            policy.attemptEnded(now + 50, new DeliveryPolicy.AttemptEnd(played, 0, DeliveryPolicy.AttemptOutcome.DELIVERED, 50,
                    true, 0,
                    DeliveryPolicy.LimitReport.NOTHING));
            policy.endIteration(now + 50);
        }
    }

    /** A desk that takes nothing on, and a module's world in which every send arrives. */
    private static final class Stage implements MessageIntake, DeliveryPolicy.Actions {
        private long sent;

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
        public boolean knowsDestination(long destination) {
            return true;
        }

        @Override
        public Optional<DuplicateState> checkDuplicate(String id, AnswerRecipient claim) {
            return Optional.empty();
        }

        @Override
        public void recipientGone(String outcome, String peer) {
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
        public void acceptanceReported(PendingMessage held, boolean heard) {
        }

        @Override
        public void send(long message, long endpoint, DeliveryPolicy.AttemptTiming within) {
            sent = message;
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
