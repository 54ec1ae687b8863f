package slipfield.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import slipfield.journal.AnswerRecipient;
import slipfield.journal.PendingMessage;

class RecoveryTest {
    private static final long NOW_MS = 1_000_000;
    private static final int MANY = 200;

    private final EventLoop loop = new DefaultEventLoop();
    private final List<Long> takenUp = new CopyOnWriteArrayList<>();
    private final CountDownLatch done = new CountDownLatch(1);

    @AfterEach
    void close() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Every third message meets a fault in whoever takes it up. */
    private final class Faulty implements Recovery.Steps {
        @Override
        public void tell(PendingMessage held) {
            takeUp(held);
        }

        @Override
        public void resume(PendingMessage held, long leftMs) {
            takeUp(held);
        }

        private void takeUp(PendingMessage held) {
            takenUp.add(held.number);
            if (held.number % 3 == 0) {
                throw new IllegalStateException("a fault over message " + held.number);
            }
        }

        @Override
        public void endsOut() {
        }

        @Override
        public void done(int resumed) {
            done.countDown();
        }
    }

    /** Guards against a fault over one message after which a restart takes up nothing more, and is never ready. */
    @Test
    void aFaultOverOneMessageDoesNotEndARecovery() throws Exception {
        List<PendingMessage> held = new ArrayList<>();
        for (long number = 0; number < MANY; number++) {
            held.add(new PendingMessage(number, "id-" + number, "once", "desk", Optional.empty(), 7,
                    NOW_MS + (number % 2 == 0 ? -1 : 9000), new byte[0], AnswerRecipient.PLATFORM));
        }
        loop.submit(() -> {
            Recovery recovery = new Recovery(loop, () -> NOW_MS, held, message -> false, new Faulty());
            recovery.start();
            recovery.listKnown(true);
        }).syncUninterruptibly();
        assertTrue(done.await(30, TimeUnit.SECONDS), "taken up: " + takenUp.size());
        assertEquals(MANY, takenUp.size());
    }
}
