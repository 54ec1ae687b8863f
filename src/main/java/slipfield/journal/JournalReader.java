package slipfield.journal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads a journal file for display, as a sender reads it at its start; never changes the file. */
public final class JournalReader {
    private final Journal journal;

    /** Reads this file; its times stay on the clock of the processes that wrote them. */
    public JournalReader(Path file) throws IOException {
        journal = new Journal(Files.readAllBytes(file));
    }

    /** The pending messages, in the order accepted. */
    public List<PendingMessage> pendingMessages() {
        return journal.pendingMessages();
    }

    /** The number of completed messages whose ids are kept, as text or as a hash. */
    public int completedCount() {
        return journal.completedIds().size() + journal.hashedIds().size();
    }

    /** Size of the file in bytes. */
    public long bytes() {
        return journal.size() + tornBytes();
    }

    /** Number of records that could be read, including corrected ones. */
    public long records() {
        return journal.replayed().records();
    }

    /** Number of records in which one wrong bit was corrected. */
    public long correctedRecords() {
        return journal.replayed().corrected();
    }

    /** Unreadable bytes before the end of the last whole record. */
    public long unreadableBytes() {
        return journal.replayed().lost();
    }

    /** Bytes after the last whole record. */
    public long tornBytes() {
        return journal.replayed().torn();
    }
}
