package slipfield.rig;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import slipfield.standin.SenderProcess;
import slipfield.standin.Witness.What;

/** The senders of a run as processes. Starts go on beside the run, a few at once; what happens to a process is sighted. */
final class SenderFleet implements AutoCloseable {
    private static final int STARTS_AT_ONCE = 4;

    private final Sightings record;
    private final List<SenderProcess> senders = new ArrayList<>();
    private final ExecutorService starts = Executors.newFixedThreadPool(STARTS_AT_ONCE);
    /** Starts that may not be over, by sender. */
    private final Map<Integer, Future<?>> starting = new HashMap<>();

    SenderFleet(Sightings record) {
        this.record = record;
    }

    /** Adds a sender under the next number, from 0, and starts it. */
    void add(SenderProcess sender) {
        senders.add(sender);
        start(senders.size() - 1);
    }

    /** Starts a sender beside the run. */
    void start(int number) {
        Callable<Void> step = () -> {
            senders.get(number).start();
            record.saw(What.BACK, "", number, -1, -1);
            return null;
        };
        starting.put(number, starts.submit(step));
    }

    /** Waits until all that were started listen; fails where one does not. */
    void awaitStarts() throws IOException, InterruptedException {
        for (int i = 0; i < senders.size(); i++) {
            awaitStart(i);
        }
    }

    private void awaitStart(int number) throws IOException, InterruptedException {
        try {
            Future<?> last = starting.remove(number);
            if (last != null) {
                last.get();
            }
        } catch (ExecutionException e) {
            throw new IOException("sender " + number + " did not start", e.getCause());
        }
    }

    /** SIGKILL, once its last start is over. */
    void kill(int number) throws IOException, InterruptedException {
        awaitStart(number);
        senders.get(number).kill();
        record.saw(What.ENDED, "", number, -1, -1);
    }

    /** SIGHUP and SIGTERM in turn, so many times, once its last start is over. */
    void terminate(int number, int times) throws IOException, InterruptedException {
        awaitStart(number);
        record.saw(What.TERMINATED, "", number, -1, -1);
        for (int i = 0; i < times; i++) {
            senders.get(number).hangUp();
            senders.get(number).terminate();
        }
    }

    /** SIGSTOP. */
    void pause(int number) throws IOException, InterruptedException {
        record.saw(What.PAUSED, "", number, -1, -1);
        senders.get(number).stop();
    }

    /** SIGCONT. */
    void resume(int number) throws IOException, InterruptedException {
        senders.get(number).go();
        record.saw(What.CONTINUED, "", number, -1, -1);
    }

    /** Sights for how long each event loop has waited for a core, where the system tells. */
    void seeCpuDelays() {
        for (int i = 0; i < senders.size(); i++) {
            int number = i;
            senders.get(i).cpuDelayNanos().ifPresent(nanos -> record.saw(What.CPU_DELAYED, "", number, -1, nanos / 1e6));
        }
    }

    @Override
    public void close() {
        senders.forEach(SenderProcess::close);
        starts.shutdownNow();
    }
}
