package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A publisher's channel is closed before the confirm of an order, and the sender is told to end. The publisher publishes the order again
 * under its message-id on another channel of its connection, which is still open. What is it told of an order that has run?
 */
public final class RefusedAtTheEnd {
    private RefusedAtTheEnd() {
    }

    /** Runs each order that comes, and counts how often. */
    private static final class Venue extends Lab.Server {
        private final Lab lab;
        private final String id;
        private final double workMs;
        final Map<String, Integer> runs = new ConcurrentHashMap<>();

        Venue(Lab lab, String id, double workMs) throws IOException {
            super(lab);
            this.lab = lab;
            this.id = id;
            this.workMs = workMs;
            start();
        }

        @Override
        void answer(Lab.Http request, OutputStream out) throws IOException {
            String message = request.field("x-call-id");
            int times = runs.merge(message, 1, Integer::sum);
            lab.note("endpoint " + id + ": runs " + message + (times > 1 ? ", for the " + times + ". time" : ""));
            Lab.sleep(workMs);
            out.write(Lab.Http.answer(200, "", ""));
        }
    }

    private static int run(Lab lab) throws Exception {
        Venue quick = new Venue(lab, "s-a", 250);
        Venue slow = new Venue(lab, "s-b", 900);
        List<Lab.Entry> list = List.of(new Lab.Entry("s-a", quick.address(), 1, "small-broker", "SERVING", 10, 0),
                new Lab.Entry("s-b", slow.address(), 2, "small-broker", "SERVING", 6, 0));
        String settings = Lab.SETTINGS.replace("\"fleet_size\":3", "\"fleet_size\":2")
                .replace("\"repeat\":\"keyed\"", "\"repeat\":\"unsafe\"");
        String secret = Amqp.secret("desk");
        List<Lab.Sender> senders = new ArrayList<>();
        int[] ports = {Lab.freePort(), Lab.freePort()};
        for (int i = 0; i < 2; i++) {
            Lab.Sender sender = lab.new Sender("n" + i, new Lab.Agent(lab, "n" + i, list),
                    settings.replace("\"me\":0", "\"me\":" + i));
            sender.amqp = Files.writeString(Path.of(lab.temp + "/amqp" + i + ".yaml"), "listen: 127.0.0.1:" + ports[i]
                    + "\nusers:\n  - {name: desk, secret: \"" + secret + "\", tenant: retail-online, publish: [orders]}\n"
                    + "exchanges:\n  - name: orders\n    routes:\n      - {key: order.*, class: order, destination_word: 2}\n");
            sender.start();
            senders.add(sender);
        }
        for (Lab.Sender sender : senders) {
            sender.awaitReady(30_000);
        }
        Lab.sleep(500);
        Amqp.Publisher publisher = new Amqp.Publisher(lab, "desk at n0", ports[0], "desk", "desk");
        publisher.open(2);
        String order = UUID.randomUUID().toString();
        publisher.publish(1, "orders", "order.1", order, 24_000);
        // A clump for the slower destination, on another channel.
        for (int i = 0; i < 8; i++) {
            publisher.publish(2, "orders", "order.2", UUID.randomUUID().toString(), 24_000);
        }
        lab.say("order " + order + " published, and eight others on another channel");
        Lab.sleep(100);
        publisher.closeChannel(1);
        lab.say("its channel is closed before the confirm");
        Lab.sleep(400);
        if (quick.runs.getOrDefault(order, 0) != 1) {
            lab.say("the order has not run");
            return Lab.NOT_RUN;
        }
        double end = lab.now();
        if (lab.trouble) {
            senders.get(0).signal("TERM");
        }
        lab.sleepUntil(end + 800);
        publisher.open(3);
        publisher.publish(3, "orders", "order.1", order, 20_000);
        lab.say("it is published again under its message-id, on another channel of the connection");
        for (int i = 0; i < 40 && !publisher.confirms.containsKey(order); i++) {
            Lab.sleep(50);
        }
        String told = publisher.confirms.getOrDefault(order, "nothing");
        lab.say("the publisher is told: " + told);
        boolean refused = told.startsWith("refused");
        if (refused) {
            Amqp.Publisher elsewhere = new Amqp.Publisher(lab, "desk at n1", ports[1], "desk", "desk");
            elsewhere.publish("orders", "order.1", order, 18_000);
            Lab.sleep(1500);
            lab.say("published at the other sender, it is told: " + elsewhere.confirms.get(order));
        }
        if (lab.trouble) {
            lab.sleepUntil(end + 3700);
            if (senders.get(0).alive()) {
                senders.get(0).kill();
            }
        }
        int runs = quick.runs.get(order);
        lab.say("the order ran " + runs + " times");
        return refused || runs > 1 ? Lab.BROKEN : Lab.HELD;
    }

    public static void main(String[] args) {
        Lab.run(args, RefusedAtTheEnd::run);
    }
}
