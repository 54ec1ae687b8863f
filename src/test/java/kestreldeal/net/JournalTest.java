package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import kestreldeal.Relay;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class JournalTest {
    private static final long DISK = 200_000;
    /** What a life begins with: the record of its clock. */
    private static final int OPENED = 12 + 1 + 3 * 8;

    @TempDir
    private Path folder;

    private Journal open() throws IOException {
        return new Journal(folder, DISK, 12);
    }

    private static Held held(Journal journal, int body) {
        long number = journal.nextNumber();
        return new Held(number, "id-" + number, "order", "desk", Optional.of("key"), 7, 12_345, new byte[body]);
    }

    @Test
    void whatWasHeldComesBackWithAllThatHappenedToIt() throws Exception {
        try (Journal journal = open()) {
            Held a = held(journal, 3);
            Held b = held(journal, 3);
            Held c = held(journal, 3);
            for (Held h : List.of(a, b, c)) {
                journal.taken(h);
            }
            journal.attempt(a, new Held.Attempt("s-1", 100));
            journal.attempt(a, new Held.Attempt("s-2", 200));
            journal.neverRan(a, 0);
            journal.owed(b, new Held.Notice(true, 500));
            journal.ended(c);
        }
        try (Journal journal = open()) {
            List<Held> held = List.copyOf(journal.held());
            assertEquals(2, held.size());
            Held a = held.get(0);
            assertEquals("id-0", a.id);
            assertEquals(Optional.of("key"), a.key);
            assertEquals(12_345, a.deadlineMs);
            assertArrayEquals(new byte[3], a.body);
            assertEquals(List.of("s-1", "s-2"), a.attempts.stream().map(x -> x.endpoint).toList());
            assertEquals(List.of(true, false), a.attempts.stream().map(x -> x.neverRan).toList());
            assertEquals(200, a.attempts.get(1).sentAtMs);
            assertEquals(Optional.of(new Held.Notice(true, 500)), held.get(1).owed);
            assertEquals(3, journal.nextNumber(), "numbers are not used again");
        }
    }

    @Test
    void healthOutlastsLivesAndCompactionsUntilAnEndpointIsInService() throws Exception {
        Journal.Health down = new Journal.Health(Relay.State.DOWN, 100, 0.5);
        Journal.Health warming = new Journal.Health(Relay.State.WARMING, 200, 0.25);
        Journal.Health up = new Journal.Health(Relay.State.UP, 300, 0.25);
        try (Journal journal = open()) {
            journal.health("s-1", down);
            journal.health("s-2", down);
            journal.health("s-1", warming);
            journal.health("s-2", up);
            Held held = held(journal, 1000);
            journal.taken(held);
            for (long written = 0; written < 2 * DISK; written += 50) {
                journal.health("s-3", down);
            }
            assertTrue(journal.size() < DISK);
        }
        try (Journal journal = open()) {
            assertEquals(Map.of("s-1", warming, "s-3", down), journal.health());
            assertEquals(1, journal.held().size());
        }
    }

    @Test
    void aTornTailIsDroppedAndWrittenOver() throws Exception {
        try (Journal journal = open()) {
            journal.taken(held(journal, 10));
            journal.taken(held(journal, 10));
        }
        Path file = folder.resolve("journal");
        byte[] whole = Files.readAllBytes(file);
        int first = (whole.length - OPENED) / 2 + OPENED;
        for (int cut = whole.length - 1; cut > first; cut -= 7) {
            Files.write(file, java.util.Arrays.copyOf(whole, cut));
            try (Journal journal = open()) {
                assertEquals(1, journal.held().size());
                journal.taken(held(journal, 10));
            }
            try (Journal journal = open()) {
                assertEquals(2, journal.held().size(), "what follows a torn tail must be found again");
            }
        }
        Files.write(file, whole);
        Files.write(file, new byte[700], StandardOpenOption.APPEND);
        try (Journal journal = open()) {
            assertEquals(2, journal.held().size());
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
        Held before;
        Held behind;
        long damagedFrom;
        try (Journal journal = open()) {
            before = held(journal, 20);
            journal.taken(before);
            damagedFrom = journal.size();
            journal.attempt(before, new Held.Attempt("s-1", 5000));
            journal.taken(held(journal, 20));
            behind = held(journal, 20);
            journal.taken(behind);
        }
        Path file = folder.resolve("journal");
        byte[] bytes = Files.readAllBytes(file);
        for (int i = 0; i < 24; i++) {
            bytes[(int) damagedFrom + 6 + i] ^= 0x5a;
        }
        Files.write(file, bytes);
        try (Journal journal = open()) {
            List<Held> held = List.copyOf(journal.held());
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
                Held h = held(journal, 3 + i);
                journal.taken(h);
                if (i > 0) {
                    journal.attempt(h, new Held.Attempt("s-1", 100));
                }
                if (i == 2) {
                    journal.neverRan(h, 0);
                }
                if (i == 3) {
                    journal.owed(h, new Held.Notice(true, 500));
                }
                if (i == 4) {
                    journal.ended(h);
                }
                if (i == 5) {
                    journal.withdrawn(h);
                }
            }
            journal.health("s-1", new Journal.Health(Relay.State.DOWN, 100, 0.5));
            journal.pace(new Journal.PaceOf(7, ""), new Relay.Pace(0.5, 0.7, 0));
        }
        return Files.readAllBytes(folder.resolve("journal"));
    }

    private String described(byte[] bytes) throws IOException {
        Files.write(folder.resolve("journal"), bytes);
        try (Journal journal = open()) {
            StringBuilder all = new StringBuilder();
            for (Held h : journal.held()) {
                all.append(h.id).append(' ').append(h.deadlineMs).append(' ').append(h.body.length).append(' ');
                h.attempts.forEach(a -> all.append(a.endpoint).append(a.neverRan).append(' '));
                all.append(h.owed).append('\n');
            }
            return all.append(journal.health()).append(journal.paces()).append(journal.over()).toString();
        }
    }

    @Test
    void theFolderStaysUnderItsBoundAtEveryMomentAndLosesNothing() throws Exception {
        Random random = new Random(5);
        Deque<Held> live = new ArrayDeque<>();
        int refused = 0;
        int compactions = 0;
        try (Journal journal = open()) {
            for (int i = 0; i < 4000; i++) {
                long before = journal.size();
                Held h = held(journal, random.nextInt(4000));
                try {
                    journal.taken(h);
                    live.add(h);
                    journal.attempt(h, new Held.Attempt("s-" + i, i));
                    journal.neverRan(h, 0);
                } catch (IOException full) {
                    refused++;
                }
                if (random.nextInt(100) < 48 || live.size() > 60) {
                    Held over = live.remove();
                    journal.owed(over, new Held.Notice(false, 0));
                    journal.ended(over);
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
            assertEquals(live.stream().map(h -> h.id).toList(), journal.held().stream().map(h -> h.id).toList());
        }
    }

    @Test
    void thereIsRoomForEveryLaterRecordOfWhatWasTaken() throws Exception {
        try (Journal journal = open()) {
            Deque<Held> taken = new ArrayDeque<>();
            assertThrows(IOException.class, () -> {
                while (true) {
                    Held h = held(journal, 500);
                    journal.taken(h);
                    taken.add(h);
                }
            });
            for (Held h : taken) {
                for (int i = 0; i < 12; i++) {
                    journal.attempt(h, new Held.Attempt("s-5be2a07c5be2a07c", i));
                    journal.neverRan(h, i);
                }
                journal.owed(h, new Held.Notice(true, 1));
            }
            for (Held h : taken) {
                journal.ended(h);
            }
            journal.taken(held(journal, 500));
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
