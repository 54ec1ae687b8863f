package slipfield.state;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.function.Supplier;
import slipfield.log.Log;
import slipfield.work.Task;
import slipfield.work.Worker;
import slipfield.work.decide.Grade;
import slipfield.work.decide.Job;
import slipfield.work.decide.Kind;

/**
 * A JSON file that is written by background work: nothing waits for a slow disk. Each version is written to a new file, which
 * then replaces the old one. Content that arrives during a write waits for the next one, and replaces content that waits
 * already. The first of several failed writes in a row is logged.
 */
public final class BackgroundJsonFile implements AutoCloseable {
    /** The kind of background work that writes these files. */
    public static final Kind KIND = new Kind("views", Grade.SOON, 0.05, 200, 4 << 20, 4, true, 30_000);
    private static final JsonMapper JSON = JsonMapper.builder().build();

    private final Path path;
    private final String event;
    private final Object writeLock = new Object();
    private Worker worker;
    /** The content to write next; null if there is none. */
    private Supplier<?> next;
    private boolean queued;
    private boolean failed;

    /** {@code event}: the log event of a failed write. */
    public BackgroundJsonFile(Path path, String event) {
        this.path = path;
        this.event = event;
    }

    /** Sets the worker that writes the file; {@link #KIND} has to be registered with it. */
    public void setWorker(Worker newWorker) {
        worker = newWorker;
    }

    /** The file's path. */
    public Path path() {
        return path;
    }

    /**
     * Queues content for writing; to be called on the worker's event loop. The supplier is called on another thread, so the
     * objects that it reads must not change any more.
     */
    public void write(Supplier<?> content) {
        synchronized (this) {
            next = content;
            if (queued) {
                return;
            }
            queued = true;
        }
        boolean accepted = worker.add(Job.once(path.getFileName().toString(), KIND.name(), worker.nowMs()), this::runSlice)
                .isPresent();
        if (!accepted) {
            // The worker has too many jobs: this version is skipped, and a later call queues a newer one.
            synchronized (this) {
                queued = false;
            }
        }
    }

    private Task.SliceResult runSlice() {
        long bytes = writePending();
        synchronized (this) {
            queued = next != null;
            return new Task.SliceResult(bytes, queued);
        }
    }

    /** Writes the waiting content, if any, and returns its length in bytes. */
    private long writePending() {
        // One write at a time; the event loop never waits for this lock.
        synchronized (writeLock) {
            Supplier<?> content;
            synchronized (this) {
                content = next;
                next = null;
            }
            return content == null ? 0 : writeFile(content);
        }
    }

    private long writeFile(Supplier<?> content) {
        Path fresh = path.resolveSibling(path.getFileName() + ".new");
        try {
            byte[] bytes = JSON.writeValueAsBytes(content.get());
            Files.write(fresh, bytes);
            Files.move(fresh, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            failed = false;
            return bytes.length;
        } catch (IOException e) {
            if (!failed) {
                failed = true;
                Log.warn(event, "cause", e);
            }
            return 0;
        }
    }

    /** Writes the waiting content on the calling thread; a failure is logged. */
    @Override
    public void close() {
        writePending();
    }
}
