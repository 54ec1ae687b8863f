package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A publisher whose connection breaks before the confirm publishes its order again under the same message-id, as it is told to. In
 * between the order was delivered, others followed, and the sender was killed: does the order run twice?
 */
public final class PublishedAgain {
    private static final int PER_SECOND = 60;

    private PublishedAgain() {
    }

    private static final class Venue extends Lab.Server {
        private final Lab lab;
        final Map<String, Integer> runs = new ConcurrentHashMap<>();

        Venue(Lab lab) throws IOException {
            super(lab);
            this.lab = lab;
            start();
        }

        @Override
        void answer(Lab.Http request, OutputStream out) throws IOException {
            String id = request.field("x-call-id");
            int times = runs.merge(id, 1, Integer::sum);
            lab.note("endpoint s-a: runs " + id + (times > 1 ? ", for the " + times + ". time" : ""));
            Lab.sleep(250);
            out.write(Lab.Http.answer(200, "", ""));
        }
    }

    private static int run(Lab lab) throws Exception {
        double gapMs = Double.parseDouble(System.getenv().getOrDefault("GAP_MS", "16000"));
        Venue venue = new Venue(lab);
        Lab.Agent agent = new Lab.Agent(lab, "n1",
                List.of(new Lab.Entry("s-a", venue.address(), 1, "small-broker", "SERVING", 200, 0)));
        // A class whose effect must not be repeated. Slots and messages held fit the traffic.
        String settings = Lab.SETTINGS.replace("\"fleet_size\":3", "\"fleet_size\":2")
                .replace("\"repeat\":\"keyed\"", "\"repeat\":\"unsafe\"")
                .replace("\"workers\":10", "\"workers\":40").replace("\"max_open\":158", "\"max_open\":600");
        Lab.Sender sender = lab.new Sender("n1", agent, settings);
        int port = Lab.freePort();
        Path amqp = lab.temp.resolve("amqp.yaml");
        Files.writeString(amqp, "listen: 127.0.0.1:" + port + "\nusers:\n  - {name: desk, secret: \"" + Amqp.secret("desk")
                + "\", tenant: retail-online, publish: [orders]}\nexchanges:\n  - name: orders\n    routes:\n"
                + "      - {key: order, class: order, destination: 1}\nlimits:\n  known_ids: 65536\n");
        sender.amqp = amqp;
        sender.start();
        sender.awaitReady(30_000);
        Lab.sleep(500);
        Amqp.Publisher first = new Amqp.Publisher(lab, "first", port, "desk", "desk");
        Amqp.Publisher others = new Amqp.Publisher(lab, "others", port, "desk", "desk");
        String order = UUID.randomUUID().toString();
        first.publish("orders", "order", order, 24_000);
        double published = lab.now();
        lab.say("order " + order + " published");
        Lab.sleep(100);
        first.close();
        lab.say("the connection of its publisher breaks before the confirm");
        int count = 0;
        while (lab.now() < published + gapMs) {
            others.publish("orders", "order", UUID.randomUUID().toString(), 24_000);
            lab.sleepUntil(published + 100 + 1000.0 * ++count / PER_SECOND);
        }
        Lab.sleep(600);
        if (venue.runs.getOrDefault(order, 0) != 1 || others.confirms.size() < count * 0.99) {
            lab.say("the orders were not delivered before the trouble: " + venue.runs.get(order) + ", " + others.confirms.size()
                    + " of " + count + " others confirmed");
            return Lab.NOT_RUN;
        }
        lab.say(count + " orders of another publisher were confirmed meanwhile");
        if (lab.trouble) {
            sender.kill();
            Lab.sleep(600);
            sender.start();
            sender.awaitReady(30_000);
            Lab.sleep(500);
        }
        Amqp.Publisher again = new Amqp.Publisher(lab, "again", port, "desk", "desk");
        again.publish("orders", "order", order, Math.max(1000, (long) (24_000 - (lab.now() - published))));
        lab.say("its publisher is connected again, and has published it under the same message-id");
        Lab.sleep(2500);
        int runs = venue.runs.get(order);
        lab.say("confirm: " + again.confirms.get(order) + "; the order ran " + runs + " times");
        return runs > 1 ? Lab.BROKEN : Lab.HELD;
    }

    public static void main(String[] args) {
        Lab.run(args, PublishedAgain::run);
    }
}
