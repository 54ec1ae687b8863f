package slipfield.daemon;

import io.netty.channel.EventLoop;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import slipfield.state.BackgroundJsonFile;
import slipfield.work.Worker;
import slipfield.work.decide.Scheduler;

/** The sender's worker for background tasks, and a status file about it for display. Created only if a component needs it. */
final class BackgroundWork {
    /** The status file of the background work, in the state folder; written every {@link #VIEW_MS}. */
    static final String VIEW = "work.json";
    private static final Worker.Limits LIMITS = new Worker.Limits(10_000, 0.1, 500);
    private static final long VIEW_MS = 1000;

    private final Worker worker;
    private final EventLoop loop;
    private final BackgroundJsonFile view;
    private volatile boolean closed;

    /** The content of the status file. */
    record View(long writtenMs, double latenessMs, List<Scheduler.Report> kinds) {
    }

    /** To be called on this event loop. */
    BackgroundWork(EventLoop loop, Path state) {
        this.loop = loop;
        this.worker = new Worker(loop, LIMITS);
        worker.registerKind(BackgroundJsonFile.KIND);
        this.view = new BackgroundJsonFile(state.resolve(VIEW), "work.view_unwritable");
        view.setWorker(worker);
        loop.schedule(this::writeView, VIEW_MS, TimeUnit.MILLISECONDS);
    }

    Worker worker() {
        return worker;
    }

    private void writeView() {
        if (!closed) {
            View now = new View(System.currentTimeMillis(), worker.latenessMs(), worker.report());
            view.write(() -> now);
            loop.schedule(this::writeView, VIEW_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Starts no further task, and writes the file no more. */
    void close() {
        closed = true;
        worker.close();
    }
}
