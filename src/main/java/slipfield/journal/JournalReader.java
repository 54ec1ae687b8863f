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
    public List<Held> held() {
        return journal.held();
    }

    /** Ids of messages that are over, the oldest first; true where delivered. */
    public Map<String, Boolean> over() {
        return journal.over();
    }

    /** Bytes of the file. */
    public long bytes() {
        return journal.size() + torn();
    }

    /** Records that can be read, mended ones with them. */
    public long records() {
        return journal.replayed().records();
    }

    /** Records in which one bit was wrong. */
    public long mended() {
        return journal.replayed().mended();
    }

    /** Bytes before the last whole record that can't be read. */
    public long lost() {
        return journal.replayed().lost();
    }

    /** Bytes behind the last whole record. */
    public long torn() {
        return journal.replayed().torn();
    }
}
