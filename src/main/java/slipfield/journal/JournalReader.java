package slipfield.journal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A journal as it lies there, for people: read as a sender would at its start, and never changed. */
public final class JournalReader {
    private final Journal journal;

    /** Reads this file, by the clock that it was written by. */
    public JournalReader(Path file) throws IOException {
        journal = new Journal(Files.readAllBytes(file));
    }

    /** What is held, in the order taken. */
    public List<PendingMessage> pendingMessages() {
        return journal.pendingMessages();
    }

    /** Ids of messages that are over, the oldest first; true where delivered. */
    public Map<String, Boolean> completedIds() {
        return journal.completedIds();
    }

    /** Bytes of the file. */
    public long bytes() {
        return journal.size() + tornBytes();
    }

    /** Records that can be read, mended ones with them. */
    public long records() {
        return journal.replayed().records();
    }

    /** Records in which one bit was wrong. */
    public long correctedRecords() {
        return journal.replayed().mended();
    }

    /** Bytes before the last whole record that can't be read. */
    public long unreadableBytes() {
        return journal.replayed().lost();
    }

    /** Bytes behind the last whole record. */
    public long tornBytes() {
        return journal.replayed().torn();
    }
}
