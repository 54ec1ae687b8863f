package slipfield.cli;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import slipfield.client.Client;
import slipfield.client.ClientSettings;
import slipfield.client.Order;
import slipfield.client.Senders;
import slipfield.client.Submission;
import slipfield.client.decide.ClassRule;
import slipfield.client.decide.End;
import slipfield.client.decide.Rules;
import slipfield.standin.Ledger;
import slipfield.standin.TrialWorld;

/** Orders of a trial by the client library, followed to their ends; and whether each end is what happened at the venues. */
final class LibraryDesks implements AutoCloseable {
    private static final long TICK_MS = 5;
    private static final Map<String, ClassRule> CLASSES = Map.of(TrialWorld.KEYED, ClassRule.keyed(TrialWorld.WINDOW_MS),
            TrialWorld.ONCE, ClassRule.unsafe());

    private final Client client;
    private final long withinMs;
    private final List<Submission> all = new ArrayList<>();
    private final ScheduledExecutorService ticks = Executors.newSingleThreadScheduledExecutor();
    private double due;

    /** Hands so many orders a second in from now on, with so much time each. */
    LibraryDesks(InetSocketAddress sender, double perSecond, long withinMs) {
        this.withinMs = withinMs;
        client = new Client(new ClientSettings("try", Senders.of(List.of(sender)), CLASSES, Rules.DEFAULT.following(true)));
        ticks.scheduleAtFixedRate(() -> tick(perSecond), 0, TICK_MS, TimeUnit.MILLISECONDS);
    }

    private synchronized void tick(double perSecond) {
        for (due += perSecond * TICK_MS / 1000; due >= 1; due--) {
            all.add(client.submit(new Order(all.size() % 2 == 0 ? TrialWorld.KEYED : TrialWorld.ONCE, TrialWorld.TENANT, 1,
                    new byte[] {'o'}, Duration.ofMillis(withinMs))));
        }
    }

    /** How many were handed over so far, and how many have no end yet. */
    String soFar() {
        synchronized (this) {
            return "handed over " + all.size() + "  open " + client.open();
        }
    }

    /** Stops, waits for all ends, and tells what they were; empty: each is true, and none ran against its class. */
    List<String> faults(Ledger ledger, Map<String, Integer> ends) throws InterruptedException {
        ticks.shutdown();
        ticks.awaitTermination(1, TimeUnit.SECONDS);
        List<String> faults = new ArrayList<>();
        for (Submission s : all) {
            End end = s.end().join();
            ends.merge(end.getClass().getSimpleName().toLowerCase(Locale.ROOT), 1, Integer::sum);
            List<Long> runs = ledger.runs(s.order().key());
            boolean told = end instanceof End.Delivered && runs.isEmpty()
                    || (end instanceof End.Refused || end instanceof End.Failed f && !f.mayHaveRun()) && !runs.isEmpty();
            if (told) {
                faults.add(s.order().key() + " is told as " + end + ", and ran " + runs.size() + " times");
            }
            boolean twice = runs.size() > 1 && (s.order().messageClass().equals(TrialWorld.ONCE)
                    || runs.get(runs.size() - 1) - runs.get(0) > TimeUnit.MILLISECONDS.toNanos(TrialWorld.WINDOW_MS));
            if (twice) {
                faults.add(s.order().key() + " ran " + runs.size() + " times against its class");
            }
        }
        return faults;
    }

    @Override
    public void close() {
        ticks.shutdownNow();
        client.close();
    }
}
