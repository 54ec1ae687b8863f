package slipfield.journal;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import slipfield.policy.DeliveryPolicy;

class JournalTest {
    private static final long DISK = 200_000;
    /** What a life begins with: the record of its clock. */
    private static final int OPENED = 12 + 1 + 3 * 8;

    @TempDir
    private Path folder;

    private Journal open() throws IOException {
        return new Journal(folder, DISK, 12);
    }

    private static PendingMessage held(Journal journal, int body) {
        long number = journal.nextNumber();
        return new PendingMessage(number, "id-" + number, "order", "desk", Optional.of("key"), 7, 12_345, new byte[body]);
    }

    @Test
    void whatWasHeldComesBackWithAllThatHappenedToIt() throws Exception {
        try (Journal journal = open()) {
            PendingMessage a = held(journal, 3);
            PendingMessage b = held(journal, 3);
            PendingMessage c = held(journal, 3);
            for (PendingMessage h : List.of(a, b, c)) {
                journal.recordAccepted(h);
            }
            journal.recordAttempt(a, new PendingMessage.Attempt("s-1", 100));
            journal.recordAttempt(a, new PendingMessage.Attempt("s-2", 200));
            journal.recordNeverRan(a, 0);
            journal.recordAnswer(b, new PendingMessage.Notice(PendingMessage.FinalAnswer.REFUSED, 500));
            journal.recordCompleted(c);
        }
        try (Journal journal = open()) {
            List<PendingMessage> held = List.copyOf(journal.pendingMessages());
            assertEquals(2, held.size());
            PendingMessage a = held.get(0);
            assertEquals("id-0", a.id);
            assertEquals(Optional.of("key"), a.key);
            assertEquals(12_345, a.deadlineMs);
            assertArrayEquals(new byte[3], a.body);
            assertEquals(List.of("s-1", "s-2"), a.attempts.stream().map(x -> x.endpoint).toList());
            assertEquals(List.of(true, false), a.attempts.stream().map(x -> x.neverRan).toList());
            assertEquals(200, a.attempts.get(1).sentAtMs);
            assertEquals(Optional.of(new PendingMessage.Notice(PendingMessage.FinalAnswer.REFUSED, 500)),
                    held.get(1).pendingNotice);
            assertEquals(3, journal.nextNumber(), "numbers are not used again");
        }
    }

    /** A file as the version wrote it that knew the platform alone, cut off within its last record. */
    @Test
    void aJournalOfTheOlderFormIsReadAlsoWithATornTail() throws Exception {
        Files.copy(Path.of("src/test/resources/journal-before-claims.bin"), folder.resolve("journal"));
        for (int life = 0; life < 2; life++) {
            try (Journal journal = new Journal(folder, DISK, 12, new ProcessClock.Reference(1_790_000_001_000L, 6000, 9),
                    FileChannel::open)) {
                List<PendingMessage> held = journal.pendingMessages();
                assertEquals(List.of("one", "two"), held.stream().map(h -> h.id).toList());
                assertEquals(1_790_000_024_000L, held.get(0).deadlineMs);
                assertEquals(List.of(true, false), held.get(0).attempts.stream().map(a -> a.neverRan).toList());
                assertEquals(Optional.of(new PendingMessage.Notice(PendingMessage.FinalAnswer.REFUSED, 500)),
                        held.get(1).pendingNotice);
                held.forEach(h -> assertEquals(List.of(AnswerRecipient.PLATFORM), h.recipients));
                assertEquals(Map.of("three", true), journal.completedIds());
                assertEquals(DeliveryPolicy.State.DOWN, journal.endpointHealth().get("s-1").state());
                assertEquals(0.05, journal.sendRates().get(new Journal.SendRateKey(7, "")).perMs());
            }
        }
    }

    @Test
    void claimsOutlastLivesAndCompactions() throws Exception {
        AnswerRecipient asks = new AnswerRecipient("queue", "desk-1", true, true);
        AnswerRecipient drops = new AnswerRecipient("queue", "desk-2", false, false);
        try (Journal journal = open()) {
            PendingMessage only = new PendingMessage(journal.nextNumber(), "only", "order", "desk", Optional.empty(), 7, 12_345,
                    new byte[3], asks);
            PendingMessage both = held(journal, 3);
            PendingMessage none = held(journal, 3);
            PendingMessage told = held(journal, 3);
            for (PendingMessage h : List.of(only, both, none, told)) {
                journal.recordAccepted(h);
            }
            journal.recordRecipient(both, drops);
            journal.recordAcknowledged(none, AnswerRecipient.PLATFORM);
            journal.recordRecipient(told, asks);
            journal.recordRecipient(told, drops);
            journal.recordAnswer(told, new PendingMessage.Notice(PendingMessage.FinalAnswer.DELIVERED, 0));
            for (int i = 0; i < 20_000; i++) {
                PendingMessage passing = held(journal, 100);
                journal.recordAccepted(passing);
                journal.recordCompleted(passing);
            }
        }
        for (int life = 0; life < 2; life++) {
            try (Journal journal = open()) {
                List<PendingMessage> held = journal.pendingMessages();
                assertEquals(List.of(asks), held.get(0).recipients);
                assertEquals(List.of(AnswerRecipient.PLATFORM, drops), held.get(1).recipients);
                assertEquals(List.of(), held.get(2).recipients);
                assertEquals(List.of(asks), held.get(3).recipients, "the others hear of no delivery");
                assertEquals(Optional.of(new PendingMessage.Notice(PendingMessage.FinalAnswer.DELIVERED, 0)),
                        held.get(3).pendingNotice);
            }
        }
    }

    @Test
    void aMessageIsOverWhenTheLastOfItsClaimantsHasHeard() throws Exception {
        AnswerRecipient asks = new AnswerRecipient("queue", "desk-1", true, true);
        try (Journal journal = open()) {
            PendingMessage both = held(journal, 3);
            journal.recordAccepted(both);
            journal.recordRecipient(both, asks);
            journal.recordAnswer(both, new PendingMessage.Notice(PendingMessage.FinalAnswer.FAILED, 0));
            journal.recordAcknowledged(both, AnswerRecipient.PLATFORM);
        }
        try (Journal journal = open()) {
            assertEquals(List.of(asks), journal.pendingMessages().get(0).recipients);
            journal.recordAcknowledged(journal.pendingMessages().get(0), asks);
        }
        try (Journal journal = open()) {
            assertEquals(List.of(), journal.pendingMessages());
            assertEquals(Map.of("id-0", false), journal.completedIds());
        }
    }

    @Test
    void healthOutlastsLivesAndCompactionsUntilAnEndpointIsInService() throws Exception {
        Journal.Health down = new Journal.Health(DeliveryPolicy.State.DOWN, 100, 0.5);
        Journal.Health warming = new Journal.Health(DeliveryPolicy.State.WARMING, 200, 0.25);
        Journal.Health up = new Journal.Health(DeliveryPolicy.State.UP, 300, 0.25);
        try (Journal journal = open()) {
            journal.recordHealth("s-1", down);
            journal.recordHealth("s-2", down);
            journal.recordHealth("s-1", warming);
            journal.recordHealth("s-2", up);
            PendingMessage held = held(journal, 1000);
            journal.recordAccepted(held);
            for (long written = 0; written < 2 * DISK; written += 50) {
                journal.recordHealth("s-3", down);
            }
            assertTrue(journal.size() < DISK);
        }
        try (Journal journal = open()) {
            assertEquals(Map.of("s-1", warming, "s-3", down), journal.endpointHealth());
            assertEquals(1, journal.pendingMessages().size());
        }
    }

    @Test
    void aTornTailIsDroppedAndWrittenOver() throws Exception {
        try (Journal journal = open()) {
            journal.recordAccepted(held(journal, 10));
            journal.recordAccepted(held(journal, 10));
        }
        Path file = folder.resolve("journal");
        byte[] whole = Files.readAllBytes(file);
        int first = (whole.length - OPENED) / 2 + OPENED;
        for (int cut = whole.length - 1; cut > first; cut -= 7) {
            Files.write(file, Arrays.copyOf(whole, cut));
            try (Journal journal = open()) {
                assertEquals(1, journal.pendingMessages().size());
                journal.recordAccepted(held(journal, 10));
            }
            try (Journal journal = open()) {
                assertEquals(2, journal.pendingMessages().size(), "what follows a torn tail must be found again");
            }
        }
        Files.write(file, whole);
        Files.write(file, new byte[700], StandardOpenOption.APPEND);
        try (Journal journal = open()) {
            assertEquals(2, journal.pendingMessages().size());
        }
    }

    /** Each bit of a recorded journal in turn: nothing that it held is harmed. */
    @Test
    void aWrongBitAnywhereIsMended() throws Exception {
        byte[] whole = recorded();
        Path file = folder.resolve("journal");
        String held = described(whole);
        for (int bit = 0; bit < whole.length * 8; bit++) {
            byte[] bytes = whole.clone();
            bytes[bit / 8] ^= (byte) (1 << bit % 8);
            assertEquals(held, described(bytes), "bit " + bit);
        }
        assertTrue(Files.size(file) > 0);
    }

    /** Bytes in a row are lost: what is behind them is found again, and what was held before may have run. */
    @Test
    void whatLiesBehindADamagedStretchIsFoundAndCountsAsMayHaveRun() throws Exception {
        PendingMessage before;
        PendingMessage behind;
        long damagedFrom;
        try (Journal journal = open()) {
            before = held(journal, 20);
            journal.recordAccepted(before);
            damagedFrom = journal.size();
            journal.recordAttempt(before, new PendingMessage.Attempt("s-1", 5000));
            journal.recordAccepted(held(journal, 20));
            behind = held(journal, 20);
            journal.recordAccepted(behind);
        }
        Path file = folder.resolve("journal");
        byte[] bytes = Files.readAllBytes(file);
        for (int i = 0; i < 24; i++) {
            bytes[(int) damagedFrom + 6 + i] ^= 0x5a;
        }
        Files.write(file, bytes);
        try (Journal journal = open()) {
            List<PendingMessage> held = List.copyOf(journal.pendingMessages());
            assertEquals(before.id, held.get(0).id);
            assertEquals(1, held.get(0).attempts.size(), "its attempt can't be read, but one may have run");
            assertTrue(held.stream().anyMatch(h -> h.id.equals(behind.id)), "what lies behind is not lost");
            assertEquals(List.of(), held.get(held.size() - 1).attempts, "it was taken after the damage");
        }
    }

    /** A few messages in all their states, as bytes. */
    private byte[] recorded() throws IOException {
        try (Journal journal = open()) {
            for (int i = 0; i < 6; i++) {
                PendingMessage h = held(journal, 3 + i);
                journal.recordAccepted(h);
                if (i > 0) {
                    journal.recordAttempt(h, new PendingMessage.Attempt("s-1", 100));
                }
                if (i == 2) {
                    journal.recordNeverRan(h, 0);
                }
                if (i == 3) {
                    journal.recordAnswer(h, new PendingMessage.Notice(PendingMessage.FinalAnswer.REFUSED, 500));
                }
                if (i == 4) {
                    journal.recordCompleted(h);
                }
                if (i == 5) {
                    journal.recordWithdrawn(h);
                }
            }
            journal.recordHealth("s-1", new Journal.Health(DeliveryPolicy.State.DOWN, 100, 0.5));
            journal.recordSendRate(new Journal.SendRateKey(7, ""), new DeliveryPolicy.SendRate(0.5, 0));
        }
        return Files.readAllBytes(folder.resolve("journal"));
    }

    private String described(byte[] bytes) throws IOException {
        Files.write(folder.resolve("journal"), bytes);
        try (Journal journal = open()) {
            StringBuilder all = new StringBuilder();
            for (PendingMessage h : journal.pendingMessages()) {
                all.append(h.id).append(' ').append(h.deadlineMs).append(' ').append(h.body.length).append(' ');
                h.attempts.forEach(a -> all.append(a.endpoint).append(a.neverRan).append(' '));
                all.append(h.pendingNotice).append('\n');
            }
            return all.append(journal.endpointHealth()).append(journal.sendRates()).append(journal.completedIds()).toString();
        }
    }

    @Test
    void theFolderStaysUnderItsBoundAtEveryMomentAndLosesNothing() throws Exception {
        Random random = new Random(5);
        Deque<PendingMessage> live = new ArrayDeque<>();
        int refused = 0;
        int compactions = 0;
        try (Journal journal = open()) {
            for (int i = 0; i < 4000; i++) {
                long before = journal.size();
                PendingMessage h = held(journal, random.nextInt(4000));
                try {
                    journal.recordAccepted(h);
                    live.add(h);
                    journal.recordAttempt(h, new PendingMessage.Attempt("s-" + i, i));
                    journal.recordNeverRan(h, 0);
                } catch (IOException full) {
                    refused++;
                }
                if (random.nextInt(100) < 48 || live.size() > 60) {
                    PendingMessage over = live.remove();
                    journal.recordAnswer(over, new PendingMessage.Notice(PendingMessage.FinalAnswer.FAILED, 0));
                    journal.recordCompleted(over);
                }
                compactions += journal.size() < before ? 1 : 0;
                // A compaction begun now would stand beside the file with all that is live.
                long liveBytes = live.stream().mapToLong(x -> x.bytes).sum();
                assertTrue(journal.size() + liveBytes + 1024 <= DISK, "at step " + i);
            }
        }
        assertTrue(refused > 0, "live bytes that leave no room refuse new messages");
        assertTrue(compactions > 10);
        try (Journal journal = open()) {
            assertEquals(live.stream().map(h -> h.id).toList(), journal.pendingMessages().stream().map(h -> h.id).toList());
        }
    }

    @Test
    void thereIsRoomForEveryLaterRecordOfWhatWasTaken() throws Exception {
        try (Journal journal = open()) {
            Deque<PendingMessage> taken = new ArrayDeque<>();
            assertThrows(IOException.class, () -> {
                while (true) {
                    PendingMessage h = held(journal, 500);
                    journal.recordAccepted(h);
                    taken.add(h);
                }
            });
            for (PendingMessage h : taken) {
                for (int i = 0; i < 12; i++) {
                    journal.recordAttempt(h, new PendingMessage.Attempt("s-5be2a07c5be2a07c", i));
                    journal.recordNeverRan(h, i);
                }
                journal.recordAnswer(h, new PendingMessage.Notice(PendingMessage.FinalAnswer.REFUSED, 1));
            }
            for (PendingMessage h : taken) {
                journal.recordCompleted(h);
            }
            journal.recordAccepted(held(journal, 500));
        }
    }

    private Journal open(long wallMs, long monoMs, long boot) throws IOException {
        return new Journal(folder, DISK, 12, new ProcessClock.Reference(wallMs, monoMs, boot), FileChannel::open);
    }

    /** Set back by five minutes, then on by ten: in the same boot, times keep their distance. */
    @Test
    void aClockThatIsSetBetweenTwoLivesMovesNoTime() throws Exception {
        try (Journal journal = open(1_000_000, 5000, 9)) {
            PendingMessage h = new PendingMessage(journal.nextNumber(), "id", "order", "desk", Optional.of("key"), 7, 1_012_000,
                    new byte[1]);
            journal.recordAccepted(h);
            journal.recordAttempt(h, new PendingMessage.Attempt("s-1", 1_001_000));
            journal.recordHealth("s-1", new Journal.Health(DeliveryPolicy.State.DOWN, 1_002_000, 0));
        }
        long back = -300_000;
        try (Journal journal = open(1_004_000 + back, 9000, 9)) {
            PendingMessage h = journal.pendingMessages().iterator().next();
            assertEquals(1_012_000 + back, h.deadlineMs);
            assertEquals(1_001_000 + back, h.attempts.get(0).sentAtMs);
            assertEquals(1_002_000 + back, journal.endpointHealth().get("s-1").sinceMs());
            journal.recordAttempt(h, new PendingMessage.Attempt("s-2", 1_005_000 + back));
        }
        long on = 600_000;
        try (Journal journal = open(1_007_000 + on, 12_000, 9)) {
            PendingMessage h = journal.pendingMessages().iterator().next();
            assertEquals(1_012_000 + on, h.deadlineMs, "each record by the life that wrote it");
            assertEquals(List.of(1_001_000 + on, 1_005_000 + on),
                    h.attempts.stream().map(x -> x.sentAtMs).toList());
        }
        try (Journal journal = open(2_000_000, 10, 8)) {
            assertEquals(1_012_000, journal.pendingMessages().iterator().next().deadlineMs, "another boot: the wall clock");
        }
    }

    @Test
    void idsThatAreOverAndPacesOutlastLivesAndCompactionsWithinTheirPart() throws Exception {
        DeliveryPolicy.SendRate pace = new DeliveryPolicy.SendRate(0.25, 0.1);
        Journal.SendRateKey shared = new Journal.SendRateKey(7, "");
        try (Journal journal = open()) {
            journal.recordSendRate(shared, new DeliveryPolicy.SendRate(1, 0));
            journal.recordSendRate(shared, pace);
            journal.recordSendRate(new Journal.SendRateKey(7, "s-1"), pace);
            journal.recordSendRate(new Journal.SendRateKey(7, "s-1"), new DeliveryPolicy.SendRate(Double.POSITIVE_INFINITY, 0));
            for (int i = 0; i < 3000; i++) {
                PendingMessage h = held(journal, 100);
                journal.recordAccepted(h);
                if (i % 3 == 0) {
                    journal.recordAnswer(h, new PendingMessage.Notice(PendingMessage.FinalAnswer.FAILED, 0));
                }
                if (i % 3 == 2) {
                    journal.recordWithdrawn(h);
                } else {
                    journal.recordCompleted(h);
                }
                assertTrue(journal.size() < DISK);
            }
        }
        try (Journal journal = open()) {
            assertEquals(Map.of(shared, pace), journal.sendRates());
            assertEquals(Boolean.FALSE, journal.completedIds().get("id-2997"));
            assertEquals(Boolean.TRUE, journal.completedIds().get("id-2998"));
            assertEquals(null, journal.completedIds().get("id-2999"), "its client never heard of it");
            assertEquals(null, journal.completedIds().get("id-0"), "only the newest are known");
            assertTrue(journal.completedIds().size() > 50);
        }
    }

    /** A disk that takes so many more bytes, then fails half-way through a write. */
    private static final class SmallDisk {
        private long room = Long.MAX_VALUE;
        private boolean cuts = true;

        FileChannel open(Path path, StandardOpenOption... options) throws IOException {
            FileChannel disk = FileChannel.open(path, options);
            return new FailingChannel(disk) {
                @Override
                public FileChannel truncate(long size) throws IOException {
                    if (!cuts) {
                        throw new IOException("Input/output error");
                    }
                    return super.truncate(size);
                }

                @Override
                public int write(ByteBuffer from) throws IOException {
                    if (room >= from.remaining()) {
                        room -= from.remaining();
                        return disk.write(from);
                    }
                    if (room <= 0) {
                        throw new IOException("No space left on device");
                    }
                    ByteBuffer part = from.slice().limit((int) room);
                    from.position(from.position() + part.remaining());
                    room = 0;
                    return disk.write(part);
                }
            };
        }
    }

    @Test
    void aWriteThatFailsHalfWayLeavesWhatStandsAndWhatComesLater() throws Exception {
        for (int room = 0; room < 120; room += 7) {
            Files.deleteIfExists(folder.resolve("journal"));
            SmallDisk disk = new SmallDisk();
            try (Journal journal = new Journal(folder, DISK, 12, new ProcessClock.Reference(0, 0, 0), disk::open)) {
                PendingMessage first = held(journal, 10);
                journal.recordAccepted(first);
                disk.room = room;
                PendingMessage second = held(journal, 200);
                assertThrows(IOException.class, () -> journal.recordAccepted(second));
                assertThrows(IOException.class, () -> {
                    for (int i = 0; i < 10; i++) {
                        journal.recordAttempt(first, new PendingMessage.Attempt("s-1", 1));
                    }
                });
                disk.room = Long.MAX_VALUE;
                journal.recordAccepted(held(journal, 10));
            }
            try (Journal journal = open()) {
                assertEquals(List.of("id-0", "id-2"), journal.pendingMessages().stream().map(h -> h.id).toList(),
                        "with room for " + room);
                assertTrue(journal.pendingMessages().stream().flatMap(h -> h.attempts.stream())
                        .noneMatch(a -> a.endpoint.isEmpty()), "nothing counts as damaged, with room for " + room);
            }
        }
    }

    /** A turn's records go out in one piece; if that fails, a later life knows nothing of it, and of all later ones. */
    @Test
    void aTurnThatCannotBeWrittenLeavesNothingOfItself() throws Exception {
        for (int room = 0; room < 200; room += 13) {
            Files.deleteIfExists(folder.resolve("journal"));
            SmallDisk disk = new SmallDisk();
            try (Journal journal = new Journal(folder, DISK, 12, new ProcessClock.Reference(0, 0, 0), disk::open)) {
                PendingMessage first = held(journal, 10);
                journal.recordAccepted(first);
                long size = journal.size();
                journal.beginBatch();
                PendingMessage second = held(journal, 200);
                journal.recordAccepted(second);
                journal.recordAttempt(first, new PendingMessage.Attempt("s-1", 1));
                assertEquals(size, Files.size(folder.resolve("journal")), "nothing is written before the turn's end");
                disk.room = room;
                assertThrows(IOException.class, journal::flushBatch);
                assertEquals(size, Files.size(folder.resolve("journal")));
                disk.room = Long.MAX_VALUE;
                journal.recordWithdrawn(second);
                journal.recordNeverRan(first, 0);
                journal.recordAttempt(first, new PendingMessage.Attempt("s-2", 2));
            }
            try (Journal journal = open()) {
                assertEquals(List.of("id-0"), journal.pendingMessages().stream().map(h -> h.id).toList());
                List<PendingMessage.Attempt> attempts = journal.pendingMessages().get(0).attempts;
                assertEquals(List.of("s-1", "s-2"), attempts.stream().map(a -> a.endpoint).toList());
                assertEquals(List.of(true, false), attempts.stream().map(a -> a.neverRan).toList());
                assertEquals(0, journal.replayed().lost());
            }
        }
    }

    /** Guards against a message that is refused and stands whole in the file: its write failed behind it, and so did the cut. */
    @Test
    void whatIsRecordedOfATurnThatCouldBeNeitherWrittenNorCutIsWhatTheNextLifeFinds() throws Exception {
        int found = 0;
        for (int room = 0; room < 700; room += 13) {
            Files.deleteIfExists(folder.resolve("journal"));
            SmallDisk disk = new SmallDisk();
            List<String> recorded = new ArrayList<>();
            try (Journal journal = new Journal(folder, DISK, 12, new ProcessClock.Reference(0, 0, 0), disk::open)) {
                journal.beginBatch();
                List<PendingMessage> taken = new ArrayList<>();
                for (int i = 0; i < 3; i++) {
                    taken.add(held(journal, 200));
                    journal.recordAccepted(taken.get(i));
                }
                disk.room = room;
                disk.cuts = false;
                assertThrows(IOException.class, journal::flushBatch);
                taken.stream().filter(journal::isRecorded).forEach(held -> recorded.add(held.id));
            }
            try (Journal journal = open()) {
                assertEquals(recorded, journal.pendingMessages().stream().map(h -> h.id).toList(), "with room for " + room);
                found += recorded.size();
            }
        }
        assertTrue(found > 20, "so many were found: " + found);
    }

    /** Guards against an event loop that writes all that is held once for each record while a disk goes on failing. */
    @Test
    void aJournalThatItsOwnerRepairsIsNotWrittenAnewForEachRecord() throws Exception {
        SmallDisk disk = new SmallDisk();
        AtomicInteger opened = new AtomicInteger();
        try (Journal journal = new Journal(folder, DISK, 12, new ProcessClock.Reference(0, 0, 0), (path, options) -> {
            opened.incrementAndGet();
            return disk.open(path, options);
        })) {
            journal.useExplicitRepair();
            PendingMessage first = held(journal, 10);
            journal.recordAccepted(first);
            disk.room = 0;
            assertThrows(IOException.class,
                    () -> journal.recordAnswer(first, new PendingMessage.Notice(PendingMessage.FinalAnswer.FAILED, 0)));
            int before = opened.get();
            for (int i = 0; i < 100; i++) {
                assertThrows(IOException.class, () -> journal.recordAccepted(held(journal, 10)));
            }
            assertEquals(before, opened.get());
            assertThrows(IOException.class, journal::repair);
            disk.room = Long.MAX_VALUE;
            journal.repair();
            journal.recordAccepted(held(journal, 10));
        }
    }

    /** After a turn that could not be written the next record is written with all that is live: an end tells of itself there. */
    @Test
    void theIdOfAnEndThatCompactsIsKnownInTheNextLife() throws Exception {
        SmallDisk disk = new SmallDisk();
        try (Journal journal = new Journal(folder, DISK, 12, new ProcessClock.Reference(0, 0, 0), disk::open)) {
            PendingMessage first = held(journal, 10);
            PendingMessage second = held(journal, 10);
            journal.recordAccepted(first);
            journal.recordAccepted(second);
            journal.beginBatch();
            journal.recordAttempt(first, new PendingMessage.Attempt("s-1", 1));
            disk.room = 0;
            assertThrows(IOException.class, journal::flushBatch);
            disk.room = Long.MAX_VALUE;
            journal.recordCompleted(second);
        }
        try (Journal journal = open()) {
            assertEquals(List.of("id-0"), journal.pendingMessages().stream().map(h -> h.id).toList());
            assertEquals(Map.of("id-1", true), journal.completedIds());
        }
    }

    /** At every byte of a recorded journal: what is held is what the whole records before the cut say. */
    @Test
    void cutAnywhereTheJournalHoldsWhatWasWritten() throws Exception {
        List<Long> ends = new ArrayList<>();
        List<List<String>> states = new ArrayList<>();
        List<String> now = new ArrayList<>();
        try (Journal journal = open()) {
            Random random = new Random(11);
            List<PendingMessage> live = new ArrayList<>();
            for (int i = 0; i < 400; i++) {
                ends.add(journal.size());
                states.add(List.copyOf(now));
                int step = random.nextInt(live.isEmpty() ? 1 : 4);
                PendingMessage h = step == 0 ? held(journal, random.nextInt(40)) : live.get(random.nextInt(live.size()));
                if (step == 0) {
                    journal.recordAccepted(h);
                    live.add(h);
                    now.add(h.id + " ");
                } else if (step < 3 && h.attempts.size() < 12) {
                    journal.recordAttempt(h, new PendingMessage.Attempt("s-1", i));
                    now.set(live.indexOf(h), now.get(live.indexOf(h)) + "a");
                } else {
                    journal.recordCompleted(h);
                    now.remove(live.indexOf(h));
                    live.remove(h);
                }
            }
            ends.add(journal.size());
            states.add(List.copyOf(now));
        }
        Path file = folder.resolve("journal");
        byte[] whole = Files.readAllBytes(file);
        int at = 0;
        for (int cut = OPENED; cut <= whole.length; cut++) {
            while (at + 1 < ends.size() && ends.get(at + 1) <= cut) {
                at++;
            }
            Files.write(file, Arrays.copyOf(whole, cut));
            try (Journal journal = open()) {
                assertEquals(states.get(at), journal.pendingMessages().stream()
                        .map(h -> h.id + " " + "a".repeat(h.attempts.size())).toList(), "cut at byte " + cut);
            }
        }
    }

    @Test
    void anUnfinishedCompactionIsRemoved() throws Exception {
        Files.write(folder.resolve("journal.next"), new byte[5000]);
        try (Journal journal = open()) {
            assertTrue(Files.notExists(folder.resolve("journal.next")));
            assertEquals(OPENED, journal.size());
        }
    }
}
