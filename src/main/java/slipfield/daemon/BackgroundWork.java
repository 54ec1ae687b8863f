package slipfield.daemon;

import io.netty.channel.EventLoop;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import slipfield.state.BackgroundJsonFile;
import slipfield.work.Worker;
import slipfield.work.decide.Scheduler;

/** The sender's background work, and the file that tells people of it. Made only where something needs it. */
final class BackgroundWork {
    /** The file of what there is to do, in the state folder. */
    static final String VIEW = "work.json";
    private static final Worker.Limits LIMITS = new Worker.Limits(10_000, 0.1, 500);
    private static final long VIEW_MS = 1000;

    private final Worker worker;
    private final EventLoop loop;
    private final BackgroundJsonFile view;
    private volatile boolean ended;

    /** What the file holds. */
    record View(long writtenMs, double latenessMs, List<Scheduler.Report> kinds) {
    }

    /** On this loop; made there. */
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
        if (!ended) {
            View now = new View(System.currentTimeMillis(), worker.latenessMs(), worker.report());
            view.write(() -> now);
            loop.schedule(this::writeView, VIEW_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Nothing more is begun. */
    void end() {
        ended = true;
        worker.close();
    }
}
