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
    private static final long DISK_BYTES = 200_000;
    /** Length of the record that every new process writes first, that of its clock. */
    private static final int CLOCK_RECORD_BYTES = 12 + 1 + 3 * 8;

    @TempDir
    private Path folder;

    private Journal open() throws IOException {
        return new Journal(folder, DISK_BYTES, 12);
    }

    private static PendingMessage message(Journal journal, int bodyBytes) {
        long number = journal.nextNumber();
        return new PendingMessage(number, "id-" + number, "order", "desk", Optional.of("key"), 7, 12_345, new byte[bodyBytes]);
    }

    @Test
    void restoresPendingMessagesWithAttemptsAndAnswers() throws Exception {
        try (Journal journal = open()) {
            PendingMessage a = message(journal, 3);
            PendingMessage b = message(journal, 3);
            PendingMessage c = message(journal, 3);
            for (PendingMessage m : List.of(a, b, c)) {
                journal.recordAccepted(m);
            }
            journal.recordAttempt(a, new PendingMessage.Attempt("s-1", 100));
            journal.recordAttempt(a, new PendingMessage.Attempt("s-2", 200));
            journal.recordNeverRan(a, 0);
            journal.recordAnswer(b, new PendingMessage.Notice(PendingMessage.FinalAnswer.REFUSED, 500));
            journal.recordCompleted(c);
        }
        try (Journal journal = open()) {
            List<PendingMessage> pending = List.copyOf(journal.pendingMessages());
            assertEquals(2, pending.size());
            PendingMessage a = pending.get(0);
            assertEquals("id-0", a.id);
            assertEquals(Optional.of("key"), a.key);
            assertEquals(12_345, a.deadlineMs);
            assertArrayEquals(new byte[3], a.body);
            assertEquals(List.of("s-1", "s-2"), a.attempts.stream().map(x -> x.endpoint).toList());
            assertEquals(List.of(true, false), a.attempts.stream().map(x -> x.neverRan).toList());
            assertEquals(200, a.attempts.get(1).sentAtMs);
            assertEquals(Optional.of(new PendingMessage.Notice(PendingMessage.FinalAnswer.REFUSED, 500)),
                    pending.get(1).pendingNotice);
            assertEquals(3, journal.nextNumber(), "numbers are not used again");
        }
    }

    /** The file was written by a version in which the platform was the only recipient, and ends within a record. */
    @Test
    void readsAJournalOfTheOlderFormatWithATornTail() throws Exception {
        Files.copy(Path.of("src/test/resources/journal-before-claims.bin"), folder.resolve("journal"));
        for (int start = 0; start < 2; start++) {
            try (Journal journal = new Journal(folder, DISK_BYTES, 12, new ProcessClock.Reference(1_790_000_001_000L, 6000, 9),
                    FileChannel::open)) {
                List<PendingMessage> pending = journal.pendingMessages();
                assertEquals(List.of("one", "two"), pending.stream().map(m -> m.id).toList());
                assertEquals(1_790_000_024_000L, pending.get(0).deadlineMs);
                assertEquals(List.of(true, false), pending.get(0).attempts.stream().map(a -> a.neverRan).toList());
                assertEquals(Optional.of(new PendingMessage.Notice(PendingMessage.FinalAnswer.REFUSED, 500)),
                        pending.get(1).pendingNotice);
                pending.forEach(m -> assertEquals(List.of(AnswerRecipient.PLATFORM), m.recipients));
                assertEquals(Map.of("three", true), journal.completedIds());
                assertEquals(DeliveryPolicy.State.DOWN, journal.endpointHealth().get("s-1").state());
                assertEquals(0.05, journal.sendRates().get(new Journal.SendRateKey(7, "")).perMs());
            }
        }
    }

    @Test
    void recipientsSurviveRestartsAndCompactions() throws Exception {
        AnswerRecipient withDeliveries = new AnswerRecipient("queue", "desk-1", true, true);
        AnswerRecipient withoutDeliveries = new AnswerRecipient("queue", "desk-2", false, false);
        try (Journal journal = open()) {
            PendingMessage only = new PendingMessage(journal.nextNumber(), "only", "order", "desk", Optional.empty(), 7, 12_345,
                    new byte[3], withDeliveries);
            PendingMessage both = message(journal, 3);
            PendingMessage none = message(journal, 3);
            PendingMessage delivered = message(journal, 3);
            for (PendingMessage m : List.of(only, both, none, delivered)) {
                journal.recordAccepted(m);
            }
            journal.recordRecipient(both, withoutDeliveries);
            journal.recordAcknowledged(none, AnswerRecipient.PLATFORM);
            journal.recordRecipient(delivered, withDeliveries);
            journal.recordRecipient(delivered, withoutDeliveries);
            journal.recordAnswer(delivered, new PendingMessage.Notice(PendingMessage.FinalAnswer.DELIVERED, 0));
            for (int i = 0; i < 20_000; i++) {
                PendingMessage passing = message(journal, 100);
                journal.recordAccepted(passing);
                journal.recordCompleted(passing);
            }
        }
        for (int start = 0; start < 2; start++) {
            try (Journal journal = open()) {
                List<PendingMessage> pending = journal.pendingMessages();
                assertEquals(List.of(withDeliveries), pending.get(0).recipients);
                assertEquals(List.of(AnswerRecipient.PLATFORM, withoutDeliveries), pending.get(1).recipients);
                assertEquals(List.of(), pending.get(2).recipients);
                assertEquals(List.of(withDeliveries), pending.get(3).recipients, "others get no deliveries");
                assertEquals(Optional.of(new PendingMessage.Notice(PendingMessage.FinalAnswer.DELIVERED, 0)),
                        pending.get(3).pendingNotice);
            }
        }
    }

    @Test
    void aMessageIsCompletedWhenEveryRecipientHasAcknowledged() throws Exception {
        AnswerRecipient withDeliveries = new AnswerRecipient("queue", "desk-1", true, true);
        try (Journal journal = open()) {
            PendingMessage both = message(journal, 3);
            journal.recordAccepted(both);
            journal.recordRecipient(both, withDeliveries);
            journal.recordAnswer(both, new PendingMessage.Notice(PendingMessage.FinalAnswer.FAILED, 0));
            journal.recordAcknowledged(both, AnswerRecipient.PLATFORM);
        }
        try (Journal journal = open()) {
            assertEquals(List.of(withDeliveries), journal.pendingMessages().get(0).recipients);
            journal.recordAcknowledged(journal.pendingMessages().get(0), withDeliveries);
        }
        try (Journal journal = open()) {
            assertEquals(List.of(), journal.pendingMessages());
            assertEquals(Map.of("id-0", false), journal.completedIds());
        }
    }

    @Test
    void healthSurvivesRestartsAndCompactionsUntilTheEndpointIsInService() throws Exception {
        Journal.Health down = new Journal.Health(DeliveryPolicy.State.DOWN, 100, 0.5);
        Journal.Health warming = new Journal.Health(DeliveryPolicy.State.WARMING, 200, 0.25);
        Journal.Health up = new Journal.Health(DeliveryPolicy.State.UP, 300, 0.25);
        try (Journal journal = open()) {
            journal.recordHealth("s-1", down);
            journal.recordHealth("s-2", down);
            journal.recordHealth("s-1", warming);
            journal.recordHealth("s-2", up);
            PendingMessage message = message(journal, 1000);
            journal.recordAccepted(message);
            for (long written = 0; written < 2 * DISK_BYTES; written += 50) {
                journal.recordHealth("s-3", down);
            }
            assertTrue(journal.size() < DISK_BYTES);
        }
        try (Journal journal = open()) {
            assertEquals(Map.of("s-1", warming, "s-3", down), journal.endpointHealth());
            assertEquals(1, journal.pendingMessages().size());
        }
    }

    @Test
    void healthOfADestinationSurvivesRestartsAndCompactionsUntilItIsInService() throws Exception {
        Journal.Health down = new Journal.Health(DeliveryPolicy.State.DOWN, 100, 0.5);
        Journal.Health up = new Journal.Health(DeliveryPolicy.State.UP, 300, 0.25);
        try (Journal journal = open()) {
            journal.recordAccepted(message(journal, 10));
            journal.recordDestinationHealth(0, down);
            journal.recordDestinationHealth(Long.MAX_VALUE, down);
            journal.recordDestinationHealth(8, down);
            journal.recordDestinationHealth(8, up);
            for (long written = 0; written < 2 * DISK_BYTES; written += 50) {
                journal.recordDestinationHealth(9, down);
            }
            assertTrue(journal.size() < DISK_BYTES);
        }
        try (Journal journal = open()) {
            assertEquals(Map.of(0L, down, 9L, down, Long.MAX_VALUE, down), journal.destinationHealth());
            assertEquals(1, journal.pendingMessages().size());
            assertEquals(1, journal.nextNumber(), "a destination is no message's number");
        }
    }

    @Test
    void dropsATornTailAndOverwritesIt() throws Exception {
        try (Journal journal = open()) {
            journal.recordAccepted(message(journal, 10));
            journal.recordAccepted(message(journal, 10));
        }
        Path file = folder.resolve("journal");
        byte[] whole = Files.readAllBytes(file);
        int first = (whole.length - CLOCK_RECORD_BYTES) / 2 + CLOCK_RECORD_BYTES;
        for (int cut = whole.length - 1; cut > first; cut -= 7) {
            Files.write(file, Arrays.copyOf(whole, cut));
            try (Journal journal = open()) {
                assertEquals(1, journal.pendingMessages().size());
                journal.recordAccepted(message(journal, 10));
            }
            try (Journal journal = open()) {
                assertEquals(2, journal.pendingMessages().size(), "records after a torn tail must be found again");
            }
        }
        Files.write(file, whole);
        Files.write(file, new byte[700], StandardOpenOption.APPEND);
        try (Journal journal = open()) {
            assertEquals(2, journal.pendingMessages().size());
        }
    }

    /** Flips each bit of a journal file in turn; the restored state must not change. */
    @Test
    void correctsASingleWrongBitAnywhere() throws Exception {
        byte[] whole = recordedFile();
        Path file = folder.resolve("journal");
        String expected = describe(whole);
        for (int bit = 0; bit < whole.length * 8; bit++) {
            byte[] bytes = whole.clone();
            bytes[bit / 8] ^= (byte) (1 << bit % 8);
            assertEquals(expected, describe(bytes), "bit " + bit);
        }
        assertTrue(Files.size(file) > 0);
    }

    /** Overwrites 24 bytes: records after them must be found, and messages accepted before them must count as possibly run. */
    @Test
    void findsRecordsAfterDamageAndAssumesAttemptsBeforeIt() throws Exception {
        PendingMessage before;
        PendingMessage after;
        long damagedFrom;
        try (Journal journal = open()) {
            before = message(journal, 20);
            journal.recordAccepted(before);
            damagedFrom = journal.size();
            journal.recordAttempt(before, new PendingMessage.Attempt("s-1", 5000));
            journal.recordAccepted(message(journal, 20));
            after = message(journal, 20);
            journal.recordAccepted(after);
        }
        Path file = folder.resolve("journal");
        byte[] bytes = Files.readAllBytes(file);
        for (int i = 0; i < 24; i++) {
            bytes[(int) damagedFrom + 6 + i] ^= 0x5a;
        }
        Files.write(file, bytes);
        try (Journal journal = open()) {
            List<PendingMessage> pending = List.copyOf(journal.pendingMessages());
            assertEquals(before.id, pending.get(0).id);
            assertEquals(1, pending.get(0).attempts.size(), "its attempt can't be read, but may have run");
            assertTrue(pending.stream().anyMatch(m -> m.id.equals(after.id)), "records after the damage are not lost");
            assertEquals(List.of(), pending.get(pending.size() - 1).attempts, "it was accepted after the damage");
        }
    }

    /** The file of a journal with messages in each state. */
    private byte[] recordedFile() throws IOException {
        try (Journal journal = open()) {
            for (int i = 0; i < 6; i++) {
                PendingMessage m = message(journal, 3 + i);
                journal.recordAccepted(m);
                if (i > 0) {
                    journal.recordAttempt(m, new PendingMessage.Attempt("s-1", 100));
                }
                if (i == 2) {
                    journal.recordNeverRan(m, 0);
                }
                if (i == 3) {
                    journal.recordAnswer(m, new PendingMessage.Notice(PendingMessage.FinalAnswer.REFUSED, 500));
                }
                if (i == 4) {
                    journal.recordCompleted(m);
                }
                if (i == 5) {
                    journal.recordWithdrawn(m);
                }
            }
            journal.recordHealth("s-1", new Journal.Health(DeliveryPolicy.State.DOWN, 100, 0.5));
            journal.recordSendRate(new Journal.SendRateKey(7, ""), new DeliveryPolicy.SendRate(0.5, 0));
        }
        return Files.readAllBytes(folder.resolve("journal"));
    }

    private String describe(byte[] bytes) throws IOException {
        Files.write(folder.resolve("journal"), bytes);
        try (Journal journal = open()) {
            StringBuilder all = new StringBuilder();
            for (PendingMessage m : journal.pendingMessages()) {
                all.append(m.id).append(' ').append(m.deadlineMs).append(' ').append(m.body.length).append(' ');
                m.attempts.forEach(a -> all.append(a.endpoint).append(a.neverRan).append(' '));
                all.append(m.pendingNotice).append('\n');
            }
            return all.append(journal.endpointHealth()).append(journal.sendRates()).append(journal.completedIds()).toString();
        }
    }

    @Test
    void theFolderStaysWithinItsBoundAndNothingIsLost() throws Exception {
        Random random = new Random(5);
        Deque<PendingMessage> live = new ArrayDeque<>();
        int refused = 0;
        int compactions = 0;
        try (Journal journal = open()) {
            for (int i = 0; i < 4000; i++) {
                long before = journal.size();
                PendingMessage m = message(journal, random.nextInt(4000));
                try {
                    journal.recordAccepted(m);
                    live.add(m);
                    journal.recordAttempt(m, new PendingMessage.Attempt("s-" + i, i));
                    journal.recordNeverRan(m, 0);
                } catch (IOException full) {
                    refused++;
                }
                if (random.nextInt(100) < 48 || live.size() > 60) {
                    PendingMessage oldest = live.remove();
                    journal.recordAnswer(oldest, new PendingMessage.Notice(PendingMessage.FinalAnswer.FAILED, 0));
                    journal.recordCompleted(oldest);
                }
                compactions += journal.size() < before ? 1 : 0;
                // The file of a compaction that starts now would contain all live records, beside the old file.
                long liveBytes = live.stream().mapToLong(x -> x.bytes).sum();
                assertTrue(journal.size() + liveBytes + 1024 <= DISK_BYTES, "at step " + i);
            }
        }
        assertTrue(refused > 0, "live bytes that leave no room refuse new messages");
        assertTrue(compactions > 10);
        try (Journal journal = open()) {
            assertEquals(live.stream().map(m -> m.id).toList(), journal.pendingMessages().stream().map(m -> m.id).toList());
        }
    }

    @Test
    void hasRoomForAllLaterRecordsOfAcceptedMessages() throws Exception {
        try (Journal journal = open()) {
            Deque<PendingMessage> accepted = new ArrayDeque<>();
            assertThrows(IOException.class, () -> {
                while (true) {
                    PendingMessage m = message(journal, 500);
                    journal.recordAccepted(m);
                    accepted.add(m);
                }
            });
            for (PendingMessage m : accepted) {
                for (int i = 0; i < 12; i++) {
                    journal.recordAttempt(m, new PendingMessage.Attempt("s-5be2a07c5be2a07c", i));
                    journal.recordNeverRan(m, i);
                }
                journal.recordAnswer(m, new PendingMessage.Notice(PendingMessage.FinalAnswer.REFUSED, 1));
            }
            for (PendingMessage m : accepted) {
                journal.recordCompleted(m);
            }
            journal.recordAccepted(message(journal, 500));
        }
    }

    private Journal open(long wallMs, long monoMs, long boot) throws IOException {
        return new Journal(folder, DISK_BYTES, 12, new ProcessClock.Reference(wallMs, monoMs, boot), FileChannel::open);
    }

    /** The wall clock is set back by 5 minutes, then forward by 10: within one boot, intervals between times must not change. */
    @Test
    void settingTheWallClockBetweenTwoProcessesMovesNoTime() throws Exception {
        try (Journal journal = open(1_000_000, 5000, 9)) {
            PendingMessage m = new PendingMessage(journal.nextNumber(), "id", "order", "desk", Optional.of("key"), 7, 1_012_000,
                    new byte[1]);
            journal.recordAccepted(m);
            journal.recordAttempt(m, new PendingMessage.Attempt("s-1", 1_001_000));
            journal.recordHealth("s-1", new Journal.Health(DeliveryPolicy.State.DOWN, 1_002_000, 0));
        }
        long back = -300_000;
        try (Journal journal = open(1_004_000 + back, 9000, 9)) {
            PendingMessage m = journal.pendingMessages().iterator().next();
            assertEquals(1_012_000 + back, m.deadlineMs);
            assertEquals(1_001_000 + back, m.attempts.get(0).sentAtMs);
            assertEquals(1_002_000 + back, journal.endpointHealth().get("s-1").sinceMs());
            journal.recordAttempt(m, new PendingMessage.Attempt("s-2", 1_005_000 + back));
        }
        long forward = 600_000;
        try (Journal journal = open(1_007_000 + forward, 12_000, 9)) {
            PendingMessage m = journal.pendingMessages().iterator().next();
            assertEquals(1_012_000 + forward, m.deadlineMs, "each record by the clock of the process that wrote it");
            assertEquals(List.of(1_001_000 + forward, 1_005_000 + forward),
                    m.attempts.stream().map(x -> x.sentAtMs).toList());
        }
        try (Journal journal = open(2_000_000, 10, 8)) {
            assertEquals(1_012_000, journal.pendingMessages().iterator().next().deadlineMs, "another boot: the wall clock");
        }
    }

    @Test
    void completedIdsAndSendRatesSurviveRestartsAndCompactionsWithinTheirShare() throws Exception {
        DeliveryPolicy.SendRate pace = new DeliveryPolicy.SendRate(0.25, 0.1);
        Journal.SendRateKey shared = new Journal.SendRateKey(7, "");
        try (Journal journal = open()) {
            journal.recordSendRate(shared, new DeliveryPolicy.SendRate(1, 0));
            journal.recordSendRate(shared, pace);
            journal.recordSendRate(new Journal.SendRateKey(7, "s-1"), pace);
            journal.recordSendRate(new Journal.SendRateKey(7, "s-1"), new DeliveryPolicy.SendRate(Double.POSITIVE_INFINITY, 0));
            for (int i = 0; i < 3000; i++) {
                PendingMessage m = message(journal, 100);
                journal.recordAccepted(m);
                if (i % 3 == 0) {
                    journal.recordAnswer(m, new PendingMessage.Notice(PendingMessage.FinalAnswer.FAILED, 0));
                }
                if (i % 3 == 2) {
                    journal.recordWithdrawn(m);
                } else {
                    journal.recordCompleted(m);
                }
                assertTrue(journal.size() < DISK_BYTES);
            }
        }
        try (Journal journal = open()) {
            assertEquals(Map.of(shared, pace), journal.sendRates());
            assertEquals(Boolean.FALSE, journal.completedIds().get("id-2997"));
            assertEquals(Boolean.TRUE, journal.completedIds().get("id-2998"));
            assertEquals(null, journal.completedIds().get("id-2999"), "its client was never told of it");
            assertEquals(null, journal.completedIds().get("id-0"), "only the newest are kept");
            assertTrue(journal.completedIds().size() > 50);
        }
    }

    /** Guards against a duplicate that is accepted after a restart, since the journal knew fewer ids than the process (review, case 7). */
    @Test
    void asManyCompletedIdsAsAskedForSurviveRestartsAndCompactions() throws Exception {
        int known = 2000;
        for (int life = 0; life < 2; life++) {
            try (Journal journal = openWithIds(known)) {
                assertEquals(known, journal.keptIds());
                for (int i = 0; i < 1500; i++) {
                    PendingMessage m = message(journal, 100);
                    journal.recordAccepted(m);
                    if (m.number % 2 == 0) {
                        journal.recordAnswer(m, new PendingMessage.Notice(PendingMessage.FinalAnswer.FAILED, 0));
                    }
                    journal.recordCompleted(m);
                    assertTrue(journal.size() < DISK_BYTES);
                }
            }
        }
        try (Journal journal = openWithIds(known)) {
            HashedIds hashed = journal.hashedIds();
            for (int i = 3000 - known; i < 3000; i++) {
                String id = "id-" + i;
                assertEquals(Optional.of(i % 2 != 0), Optional.ofNullable(journal.completedIds().get(id)).or(() ->
                        hashed.delivered(id)), id);
            }
            assertEquals(Optional.empty(), hashed.delivered("id-3000"));
            assertEquals(known, hashed.size());
            assertEquals(3000, journal.nextNumber());
        }
        try (Journal journal = openWithIds(Integer.MAX_VALUE)) {
            assertTrue(journal.keptIds() > known && journal.keptIds() < DISK_BYTES / 8, "no more than there is room for");
        }
    }

    private Journal openWithIds(int known) throws IOException {
        return new Journal(folder, DISK_BYTES, 12, known, ProcessClock.system().reference(), FileChannel::open);
    }

    /** The example of the paper on SipHash, appendix A. */
    @Test
    void idsAreHashedWithSipHash() {
        byte[] message = new byte[15];
        for (byte i = 0; i < message.length; i++) {
            message[i] = i;
        }
        assertEquals(0xa129ca6149be45e5L, IdHash.sipHash(message));
    }

    /** A disk that accepts {@code room} more bytes and then fails in the middle of a write, and to truncate if so set. */
    private static final class SmallDisk {
        private long room = Long.MAX_VALUE;
        private boolean canTruncate = true;

        FileChannel open(Path path, StandardOpenOption... options) throws IOException {
            FileChannel disk = FileChannel.open(path, options);
            return new FailingChannel(disk) {
                @Override
                public FileChannel truncate(long size) throws IOException {
                    if (!canTruncate) {
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
    void aPartialWriteHarmsNeitherEarlierNorLaterRecords() throws Exception {
        for (int room = 0; room < 120; room += 7) {
            Files.deleteIfExists(folder.resolve("journal"));
            SmallDisk disk = new SmallDisk();
            try (Journal journal = new Journal(folder, DISK_BYTES, 12, new ProcessClock.Reference(0, 0, 0), disk::open)) {
                PendingMessage first = message(journal, 10);
                journal.recordAccepted(first);
                disk.room = room;
                PendingMessage second = message(journal, 200);
                assertThrows(IOException.class, () -> journal.recordAccepted(second));
                assertThrows(IOException.class, () -> {
                    for (int i = 0; i < 10; i++) {
                        journal.recordAttempt(first, new PendingMessage.Attempt("s-1", 1));
                    }
                });
                disk.room = Long.MAX_VALUE;
                journal.recordAccepted(message(journal, 10));
            }
            try (Journal journal = open()) {
                assertEquals(List.of("id-0", "id-2"), journal.pendingMessages().stream().map(m -> m.id).toList(),
                        "with room for " + room);
                assertTrue(journal.pendingMessages().stream().flatMap(m -> m.attempts.stream())
                        .noneMatch(a -> a.endpoint.isEmpty()), "nothing counts as damaged, with room for " + room);
            }
        }
    }

    /** Guards against orders that are given up untried, since their connections were not up at a kill (review, case 8). */
    @Test
    void onlyAnAttemptThatHasBegunMayHaveRun() throws Exception {
        for (boolean compacted : List.of(false, true)) {
            Files.deleteIfExists(folder.resolve("journal"));
            try (Journal journal = open()) {
                for (int i = 0; i < 4; i++) {
                    PendingMessage m = message(journal, 10);
                    journal.recordAccepted(m);
                    journal.recordAttempt(m, new PendingMessage.Attempt("s-1", 100));
                    if (i > 0) {
                        journal.recordWaitsToBegin(m, 0);
                    }
                    if (i == 2) {
                        journal.recordBegins(m, 0);
                    } else if (i == 3) {
                        journal.recordNeverRan(m, 0);
                    }
                }
                for (long written = 0; compacted && written < 2 * DISK_BYTES; written += 50) {
                    journal.recordHealth("s-3", new Journal.Health(DeliveryPolicy.State.DOWN, 100, 0.5));
                }
            }
            try (Journal journal = open()) {
                List<PendingMessage> pending = journal.pendingMessages();
                assertEquals(List.of(true, false, true, false), pending.stream().map(PendingMessage::mayHaveRun).toList());
                // Begins in a file that says that it waits, compacted or not.
                journal.recordWaitsToBegin(pending.get(1), 0);
                journal.recordBegins(pending.get(1), 0);
            }
            try (Journal journal = open()) {
                assertEquals(List.of(true, true, true, false), journal.pendingMessages().stream().map(PendingMessage::mayHaveRun)
                        .toList());
            }
        }
    }

    @Test
    void anAttemptWhoseBeginCannotBeWrittenMustNotBegin() throws Exception {
        SmallDisk disk = new SmallDisk();
        try (Journal journal = new Journal(folder, DISK_BYTES, 12, new ProcessClock.Reference(0, 0, 0), disk::open)) {
            PendingMessage m = message(journal, 10);
            journal.recordAccepted(m);
            journal.recordAttempt(m, new PendingMessage.Attempt("s-1", 100));
            journal.recordWaitsToBegin(m, 0);
            disk.room = 5;
            assertThrows(IOException.class, () -> journal.recordBegins(m, 0));
        }
        try (Journal journal = open()) {
            assertEquals(List.of(false), journal.pendingMessages().stream().map(PendingMessage::mayHaveRun).toList());
        }
    }

    /** A batch is written in one piece. If that fails, a restart finds none of its records, but all later ones. */
    @Test
    void aBatchThatCannotBeWrittenLeavesNoRecords() throws Exception {
        for (int room = 0; room < 200; room += 13) {
            Files.deleteIfExists(folder.resolve("journal"));
            SmallDisk disk = new SmallDisk();
            try (Journal journal = new Journal(folder, DISK_BYTES, 12, new ProcessClock.Reference(0, 0, 0), disk::open)) {
                PendingMessage first = message(journal, 10);
                journal.recordAccepted(first);
                long size = journal.size();
                journal.beginBatch();
                PendingMessage second = message(journal, 200);
                journal.recordAccepted(second);
                journal.recordAttempt(first, new PendingMessage.Attempt("s-1", 1));
                assertEquals(size, Files.size(folder.resolve("journal")), "nothing is written before the batch is flushed");
                disk.room = room;
                assertThrows(IOException.class, journal::flushBatch);
                assertEquals(size, Files.size(folder.resolve("journal")));
                disk.room = Long.MAX_VALUE;
                journal.recordWithdrawn(second);
                journal.recordNeverRan(first, 0);
                journal.recordAttempt(first, new PendingMessage.Attempt("s-2", 2));
            }
            try (Journal journal = open()) {
                assertEquals(List.of("id-0"), journal.pendingMessages().stream().map(m -> m.id).toList());
                List<PendingMessage.Attempt> attempts = journal.pendingMessages().get(0).attempts;
                assertEquals(List.of("s-1", "s-2"), attempts.stream().map(a -> a.endpoint).toList());
                assertEquals(List.of(true, false), attempts.stream().map(a -> a.neverRan).toList());
                assertEquals(0, journal.replayed().lost());
            }
        }
    }

    /** Guards against refusing a message whose record is whole in the file: the write failed after it, and so did truncation. */
    @Test
    void reportsTheMessagesOfABatchThatCouldBeNeitherWrittenNorTruncated() throws Exception {
        int found = 0;
        for (int room = 0; room < 700; room += 13) {
            Files.deleteIfExists(folder.resolve("journal"));
            SmallDisk disk = new SmallDisk();
            List<String> recorded = new ArrayList<>();
            try (Journal journal = new Journal(folder, DISK_BYTES, 12, new ProcessClock.Reference(0, 0, 0), disk::open)) {
                journal.beginBatch();
                List<PendingMessage> accepted = new ArrayList<>();
                for (int i = 0; i < 3; i++) {
                    accepted.add(message(journal, 200));
                    journal.recordAccepted(accepted.get(i));
                }
                disk.room = room;
                disk.canTruncate = false;
                assertThrows(IOException.class, journal::flushBatch);
                accepted.stream().filter(journal::isRecorded).forEach(m -> recorded.add(m.id));
            }
            try (Journal journal = open()) {
                assertEquals(recorded, journal.pendingMessages().stream().map(m -> m.id).toList(), "with room for " + room);
                found += recorded.size();
            }
        }
        assertTrue(found > 20, "messages found: " + found);
    }

    /** Guards against an event loop that rewrites the whole file for each record while a disk keeps failing. */
    @Test
    void withExplicitRepairAFailingRecordDoesNotRewriteTheFile() throws Exception {
        SmallDisk disk = new SmallDisk();
        AtomicInteger opened = new AtomicInteger();
        try (Journal journal = new Journal(folder, DISK_BYTES, 12, new ProcessClock.Reference(0, 0, 0), (path, options) -> {
            opened.incrementAndGet();
            return disk.open(path, options);
        })) {
            journal.useExplicitRepair();
            PendingMessage first = message(journal, 10);
            journal.recordAccepted(first);
            disk.room = 0;
            assertThrows(IOException.class,
                    () -> journal.recordAnswer(first, new PendingMessage.Notice(PendingMessage.FinalAnswer.FAILED, 0)));
            int before = opened.get();
            for (int i = 0; i < 100; i++) {
                assertThrows(IOException.class, () -> journal.recordAccepted(message(journal, 10)));
            }
            assertEquals(before, opened.get());
            assertThrows(IOException.class, journal::repair);
            disk.room = Long.MAX_VALUE;
            journal.repair();
            journal.recordAccepted(message(journal, 10));
        }
    }

    /** After a failed batch the next record rewrites the file: the id of a message that it completes must be in the new file. */
    @Test
    void theIdOfAMessageWhoseCompletionCompactsIsKnownAfterARestart() throws Exception {
        SmallDisk disk = new SmallDisk();
        try (Journal journal = new Journal(folder, DISK_BYTES, 12, new ProcessClock.Reference(0, 0, 0), disk::open)) {
            PendingMessage first = message(journal, 10);
            PendingMessage second = message(journal, 10);
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
            assertEquals(List.of("id-0"), journal.pendingMessages().stream().map(m -> m.id).toList());
            assertEquals(Map.of("id-1", true), journal.completedIds());
        }
    }

    /** Truncates a journal file at every byte: the restored state must be that of the whole records before. */
    @Test
    void truncatedAnywhereTheJournalRestoresTheWholeRecords() throws Exception {
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
                PendingMessage m = step == 0 ? message(journal, random.nextInt(40)) : live.get(random.nextInt(live.size()));
                if (step == 0) {
                    journal.recordAccepted(m);
                    live.add(m);
                    now.add(m.id + " ");
                } else if (step < 3 && m.attempts.size() < 12) {
                    journal.recordAttempt(m, new PendingMessage.Attempt("s-1", i));
                    now.set(live.indexOf(m), now.get(live.indexOf(m)) + "a");
                } else {
                    journal.recordCompleted(m);
                    now.remove(live.indexOf(m));
                    live.remove(m);
                }
            }
            ends.add(journal.size());
            states.add(List.copyOf(now));
        }
        Path file = folder.resolve("journal");
        byte[] whole = Files.readAllBytes(file);
        int at = 0;
        for (int cut = CLOCK_RECORD_BYTES; cut <= whole.length; cut++) {
            while (at + 1 < ends.size() && ends.get(at + 1) <= cut) {
                at++;
            }
            Files.write(file, Arrays.copyOf(whole, cut));
            try (Journal journal = open()) {
                assertEquals(states.get(at), journal.pendingMessages().stream()
                        .map(m -> m.id + " " + "a".repeat(m.attempts.size())).toList(), "cut at byte " + cut);
            }
        }
    }

    @Test
    void removesTheFileOfAnUnfinishedCompaction() throws Exception {
        Files.write(folder.resolve("journal.next"), new byte[5000]);
        try (Journal journal = open()) {
            assertTrue(Files.notExists(folder.resolve("journal.next")));
            assertEquals(CLOCK_RECORD_BYTES, journal.size());
        }
    }
}
