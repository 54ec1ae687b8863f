package slipfield.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import slipfield.amqp.codec.Properties;
import slipfield.journal.JournalReader;
import slipfield.standin.SenderProcess;
import slipfield.standin.Stub;
import slipfield.standin.TrialWorld;

/** Senders that consume a queue of a broker, which delivers what was not settled again, to any of them. */
@Timeout(120)
class RedeliveryTest {
    private static final int ORDERS = 40;
    private static final long SERVICE_MICROS = 200_000;
    private static final long GIVE_UP_MS = 12_000;
    private static final int SLOTS = 5;

    @TempDir
    private Path folder;
    private TrialWorld world;
    private StandInBroker broker;
    private final List<SenderProcess> senders = new ArrayList<>();

    private void start(int count, String messageClass, int maxOpen) throws Exception {
        broker = new StandInBroker();
        world = new TrialWorld(folder, new TrialWorld.Size(1, 1e6, SERVICE_MICROS, GIVE_UP_MS, maxOpen, SLOTS), Optional.empty(),
                count);
        for (int i = 0; i < count; i++) {
            Files.writeString(world.folder(i).resolve("secret"), AmqpFixture.PASSWORD + "\n");
            Files.writeString(world.folder(i).resolve("amqp.yaml"), AmqpFixture.file("127.0.0.1:0", """
                    inbound:
                      - {name: feed, address: "127.0.0.1:%d", user: desk, password_file: secret, queue: feed, exchange: feed,
                         tenant: desk}
                    """.formatted(broker.port())).replace("exchanges:\n", """
                    exchanges:
                      - name: feed
                        routes: [{key: "#", class: %s, destination: 1}]
                    """.formatted(messageClass)));
            senders.add(new SenderProcess(world.folder(i), List.of(), SenderProcess.SMALL));
            senders.get(i).start();
            int connected = i + 1;
            Stub.await("it consumes the queue", () -> broker.consumers() == connected);
        }
    }

    @AfterEach
    void close() throws Exception {
        senders.forEach(SenderProcess::close);
        broker.close();
        world.close();
    }

    private void publishAll(boolean withIds) throws InterruptedException {
        for (int i = 0; i < ORDERS; i++) {
            Properties properties = Properties.NONE.with(Properties.Property.CORRELATION_ID, "key-" + i);
            broker.publish(withIds ? properties.with(Properties.Property.MESSAGE_ID, "order-" + i) : properties);
        }
        Stub.await("some have run, and others are out", () -> runs().filter(n -> n > 0).count() > 2 * SLOTS);
    }

    private IntStream runs() {
        return IntStream.range(0, ORDERS).map(i -> world.ledger().runs("key-" + i).size());
    }

    /** Waits until the broker and the senders are done with all orders. */
    private void awaitEnds() throws InterruptedException {
        Stub.await("the queue is empty", () -> broker.left() == 0);
        for (int i = 0; i < senders.size(); i++) {
            Path journal = world.folder(i).resolve("state").resolve("journal");
            Stub.await("nothing is pending", () -> {
                try {
                    return new JournalReader(journal).pendingMessages().isEmpty();
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
        }
    }

    private void assertNoneRanTwice() {
        assertEquals(List.of(), runs().filter(n -> n > 1).boxed().toList(), "runs of orders that ran more than once");
    }

    /** Found by a review: both senders ran what was out on the link that one of them had lost. */
    @Test
    void anUnsafeOrderThatWasOutOnALostLinkDoesNotRunAtTheOtherSender() throws Exception {
        start(2, TrialWorld.ONCE, 400);
        publishAll(true);
        broker.resetOldest();
        awaitEnds();
        assertNoneRanTwice();
        assertEquals(ORDERS, runs().sum(), "the sender that has accepted an order runs it, although its link was lost");
    }

    /** The window of the key began with a run that the other sender does not know of. */
    @Test
    void aKeyedOrderThatWasOutOnALostLinkDoesNotRunAtTheOtherSender() throws Exception {
        start(2, TrialWorld.KEYED, 400);
        publishAll(true);
        broker.resetOldest();
        awaitEnds();
        assertNoneRanTwice();
    }

    /** The killed sender continues with its orders from its journal, while the broker gives them to the other one. */
    @Test
    void anUnsafeOrderOfAKilledSenderDoesNotRunAtTheOtherSender() throws Exception {
        start(2, TrialWorld.ONCE, 400);
        publishAll(true);
        senders.get(0).kill();
        senders.get(0).start();
        awaitEnds();
        assertNoneRanTwice();
    }

    /** The same for a planned restart, at which a sender keeps what it can't end in time. */
    @Test
    void anUnsafeOrderOfASenderThatWasShutDownDoesNotRunAtTheOtherSender() throws Exception {
        start(2, TrialWorld.ONCE, 400);
        publishAll(true);
        senders.get(0).terminate();
        Stub.await("it has ended", () -> log(0).contains(" sender.ended "));
        senders.get(0).start();
        awaitEnds();
        assertNoneRanTwice();
    }

    /** Without ids a sender can't know its own orders again. */
    @Test
    void anUnsafeOrderWithoutIdThatWasOutOnALostLinkDoesNotRunAgain() throws Exception {
        start(1, TrialWorld.ONCE, 400);
        publishAll(false);
        broker.resetOldest();
        awaitEnds();
        assertNoneRanTwice();
        assertEquals(ORDERS, runs().sum());
    }

    /** With ids it does: what was delivered meanwhile is acknowledged, and nothing fails. */
    @Test
    void ordersWithIdsThatComeAgainOnANewLinkGetTheirTrueEnd() throws Exception {
        start(1, TrialWorld.ONCE, 400);
        publishAll(true);
        broker.resetOldest();
        awaitEnds();
        assertNoneRanTwice();
        assertEquals(ORDERS, runs().sum());
        assertEquals(0, broker.rejected());
    }

    /** A requeued order would be delivered as one that may have run, and fail, although it was never accepted. */
    @Test
    void unsafeOrdersThatASenderHasNoRoomForWaitThereAndAllRun() throws Exception {
        start(1, TrialWorld.ONCE, 2 * SLOTS);
        publishAll(true);
        awaitEnds();
        assertTrue(runs().allMatch(n -> n == 1), () -> runs().boxed().toList().toString());
        assertEquals(0, broker.rejected());
        assertEquals(0, broker.requeued());
    }

    private String log(int sender) {
        try {
            return senders.get(sender).log();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
