package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;

/** A broker that a sender publishes to is above its limit, and tells the sender to wait: is the wait kept? */
public final class BrokerWait {
    /** Waits that the deployment's destinations tell are 250 to 980 ms. */
    private static final long WAIT_MS = 900;
    private static final double LET_THROUGH_MS = 100 + 50;
    private static final long WORK_MS = 160;

    private BrokerWait() {
    }

    private record Arrival(double at, String message) {
    }

    /** Handles one message after the other. While it is above its limit it refuses them, and tells when there is room again. */
    private static final class Limited extends Amqp.Broker {
        private final Lab lab;
        private final BlockingQueue<Object[]> queue = new LinkedBlockingQueue<>();
        final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
        final List<Double> refusals = new CopyOnWriteArrayList<>();
        private volatile boolean above;

        Limited(Lab lab) throws IOException {
            super(lab);
            this.lab = lab;
            start();
            Lab.thread(this::work);
        }

        @Override
        void published(long tag, String body, String messageId) {
            arrivals.add(new Arrival(lab.now(), messageId));
            lab.note("broker: " + messageId + " comes");
            queue.add(new Object[] {tag, messageId});
        }

        private void work() {
            try {
                while (true) {
                    Object[] next = queue.take();
                    Lab.sleep(WORK_MS);
                    if (above) {
                        refuse((long) next[0], (String) next[1], "order", WAIT_MS);
                        refusals.add(lab.now());
                        lab.note("broker: " + next[1] + " refused, wait " + WAIT_MS + " ms");
                    } else {
                        ack((long) next[0]);
                        lab.note("broker: " + next[1] + " acked");
                    }
                }
            } catch (IOException | InterruptedException e) {
                lab.note("broker: the connection ended");
            }
        }
    }

    private static int run(Lab lab) throws Exception {
        Limited broker = new Limited(lab);
        Lab.Agent agent = new Lab.Agent(lab, "n1", List.of());
        Lab.Sender sender = lab.new Sender("n1", agent, Lab.SETTINGS.replace("\"fleet_size\":3", "\"fleet_size\":1"));
        Path password = Files.writeString(lab.temp.resolve("north.secret"), "north\n");
        Path amqp = lab.temp.resolve("amqp.yaml");
        Files.writeString(amqp, "listen: 127.0.0.1:" + Lab.freePort() + "\nusers:\n  - {name: desk, secret: \"" + Amqp.secret("desk")
                + "\", tenant: retail-online, publish: [orders]}\nexchanges:\n  - name: orders\n    routes:\n"
                + "      - {key: order, class: order, destination: 91}\noutbound:\n  - {name: north, address: \"127.0.0.1:"
                + broker.port() + "\", user: sender, password_file: " + password + ", exchange: orders, key: order, "
                + "destination: 91, in_flight: 4}\n");
        sender.amqp = amqp;
        sender.start();
        sender.awaitReady(30_000);
        Lab.Client client = new Lab.Client(lab, sender);
        Lab.sleep(1000);
        // The broker is known to deliver before the trouble.
        for (int i = 0; i < 10; i++) {
            client.handIn("warm" + i, 91, 24_000);
            Lab.sleep(300);
        }
        Lab.sleep(1000);
        if (broker.arrivals.size() < 10) {
            lab.say("the broker was not used before the trouble: " + broker.arrivals.size() + " messages");
            return Lab.NOT_RUN;
        }
        broker.above = lab.trouble;
        // A clump for one destination.
        for (int i = 0; i < 8; i++) {
            client.handIn("m" + i, 91, 24_000);
        }
        Lab.sleep(4000);
        broker.above = false;
        Lab.sleep(6000);
        List<String> broken = new ArrayList<>();
        for (Arrival a : broker.arrivals) {
            for (double told : broker.refusals) {
                if (a.at() > told + LET_THROUGH_MS && a.at() < told + WAIT_MS) {
                    broken.add(String.format(Locale.ROOT, "%s was published %.0f ms after the sender was told to wait %d ms",
                            a.message(), a.at() - told, WAIT_MS));
                    break;
                }
            }
        }
        broken.forEach(lab::say);
        return broken.isEmpty() ? Lab.HELD : Lab.BROKEN;
    }

    public static void main(String[] args) {
        Lab.run(args, BrokerWait::run);
    }
}
