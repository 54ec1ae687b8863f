package slipfield.state;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import slipfield.log.Log;

/**
 * A JSON file that is written whole beside the old one and moved over it, on a thread of its own, since a disk may be slow.
 * One that can't be written is told of once, until one can be again.
 */
public final class KeptJson implements AutoCloseable {
    private static final JsonMapper JSON = JsonMapper.builder().build();

    private final Path path;
    private final String event;
    private final ExecutorService writer;
    private boolean failed;

    /** {@code event}: what a failed write is logged as. */
    public KeptJson(Path path, String event) {
        this.path = path;
        this.event = event;
        this.writer = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, path.getFileName() + "-writer");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Where it is. */
    public Path path() {
        return path;
    }

    /** Writes what is supplied, on the writer's thread: nothing of it may change any more. */
    public void write(Supplier<?> content) {
        writer.execute(() -> put(content.get()));
    }

    private void put(Object content) {
        Path fresh = path.resolveSibling(path.getFileName() + ".new");
        try {
            Files.write(fresh, JSON.writeValueAsBytes(content));
            Files.move(fresh, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            failed = false;
        } catch (IOException e) {
            if (!failed) {
                failed = true;
                Log.warn(event, "cause", e);
            }
        }
    }

    /** What was to be written is, if the disk lets it within a second. */
    @Override
    public void close() {
        writer.shutdown();
        try {
            writer.awaitTermination(1, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
