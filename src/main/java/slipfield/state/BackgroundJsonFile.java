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
 * A JSON file that is written whole beside the old one and moved over it, as background work: nobody waits for it, and a
 * disk may be slow. What is to be written while a write is on its way takes the place of what waits. One that can't be
 * written is told of once, until one can be again.
 */
public final class BackgroundJsonFile implements AutoCloseable {
    /** The kind of work that this is. */
    public static final Kind KIND = new Kind("views", Grade.SOON, 0.05, 200, 4 << 20, 4, true, 30_000);
    private static final JsonMapper JSON = JsonMapper.builder().build();

    private final Path path;
    private final String event;
    private final Object writing = new Object();
    private Worker worker;
    /** What waits to be written; taken by whoever writes. */
    private Supplier<?> next;
    private boolean queued;
    private boolean failed;

    /** {@code event}: what a failed write is logged as. */
    public BackgroundJsonFile(Path path, String event) {
        this.path = path;
        this.event = event;
    }

    /** It is written by this worker, which knows {@link #KIND}. */
    public void setWorker(Worker does) {
        worker = does;
    }

    /** Where it is. */
    public Path path() {
        return path;
    }

    /** Writes what is supplied, on another thread: nothing of it may change any more. On the worker's loop. */
    public void write(Supplier<?> content) {
        synchronized (this) {
            next = content;
            if (queued) {
                return;
            }
            queued = true;
        }
        boolean taken = worker.add(Job.once(path.getFileName().toString(), KIND.name(), worker.nowMs()), this::slice)
                .isPresent();
        if (!taken) {
            // There is too much to do: a later one is written.
            synchronized (this) {
                queued = false;
            }
        }
    }

    private Task.SliceResult slice() {
        long bytes = put();
        synchronized (this) {
            queued = next != null;
            return new Task.SliceResult(bytes, queued);
        }
    }

    private long put() {
        // One at a time; the loop never waits for this one.
        synchronized (writing) {
            Supplier<?> content;
            synchronized (this) {
                content = next;
                next = null;
            }
            return content == null ? 0 : put(content);
        }
    }

    private long put(Supplier<?> content) {
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

    /** What was to be written is, here and now, if the disk lets it. */
    @Override
    public void close() {
        put();
    }
}
