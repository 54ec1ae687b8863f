import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Case 3: publishers over AMQP hand in orders that must not run twice. Their connections are reset in a burst; the sender is
 * restarted; then the publishers publish again, under the same message-ids, what was not confirmed. Each order may run once at
 * most.
 */
final class KnownIds {
    private static final int PUBLISHERS = 2;
    private static final int ORDERS_EACH = 350;
    private static final long DEADLINE_MS = 24_000;
    private static final String PASSWORD = "review";

    private KnownIds() {
    }

    public static void main(String[] arguments) {
        World.play(arguments[0], KnownIds::run);
    }

    private static int run(World world) throws Exception {
        World.Platform platform = world.new Platform();
        World.Venue venue = world.new Venue("venue", 200);
        platform.list("s-5be2a07c", venue.port(), 7, "main-venue", "akl-dc1");
        World.Sender sender = world.new Sender(platform, "n0", World.messageClass("order", "unsafe", 2000, DEADLINE_MS, 0), 1320,
                60);
        int port = sender.amqp("desk", PASSWORD, "orders", "order", 7);
        if (!sender.start()) {
            return World.COULD_NOT_RUN;
        }
        Map<String, Boolean> confirmed = new ConcurrentHashMap<>();
        List<AmqpPublisher> publishers = new ArrayList<>();
        for (int i = 0; i < PUBLISHERS; i++) {
            publishers.add(world.closeLater(AmqpPublisher.connect(port, "desk", PASSWORD, confirmed)));
        }
        Set<String> open = new LinkedHashSet<>();
        for (int i = 0; i < ORDERS_EACH; i++) {
            for (AmqpPublisher publisher : publishers) {
                String id = World.hash("order " + open.size());
                publisher.publish("orders", "order", id, "order " + open.size());
                open.add(id);
            }
        }
        int published = open.size();
        world.note("publishers published %d orders on %d connections", published, PUBLISHERS);
        if (World.trouble()) {
            if (!World.await(5000, () -> !venue.runs.isEmpty())) {
                return World.COULD_NOT_RUN;
            }
            World.sleep(300);
            for (AmqpPublisher publisher : publishers) {
                publisher.reset();
            }
            world.note("publishers their connections are reset; %d orders were confirmed", confirmed.size());
            World.await(12_000, () -> venue.delivered.size() == published);
            World.sleep(500);
            world.note("venue      has run %d orders", venue.delivered.size());
            sender.restart();
            publishers.clear();
            publishers.add(world.closeLater(AmqpPublisher.connect(port, "desk", PASSWORD, confirmed)));
            open.removeAll(confirmed.keySet());
            world.note("publishers publish again the %d orders without a confirm, under their message-ids", open.size());
            for (String id : open) {
                publishers.get(0).publish("orders", "order", id, "again");
            }
        }
        boolean all = World.await(DEADLINE_MS + 5000, () -> publishers.stream().allMatch(p -> p.unconfirmed() == 0));
        World.sleep(1000);
        Map<String, List<World.Run>> runs = new HashMap<>();
        venue.runs.forEach(run -> runs.computeIfAbsent(run.id, r -> new ArrayList<>()).add(run));
        int twice = 0;
        for (Map.Entry<String, List<World.Run>> order : runs.entrySet()) {
            if (order.getValue().size() > 1) {
                twice++;
                world.note("TWICE      id=%s ran %d times, at %s", order.getKey(), order.getValue().size(),
                        order.getValue().stream().map(r -> String.format("%.3f", r.at)).toList());
            }
        }
        world.note("orders %d, run %d, run twice %d, acked %d, nacked %d, all confirmed %s", published, runs.size(), twice,
                confirmed.values().stream().filter(ack -> ack).count(), confirmed.values().stream().filter(ack -> !ack).count(),
                all);
        if (runs.isEmpty()) {
            return World.COULD_NOT_RUN;
        }
        return twice == 0 ? World.HELD : World.BROKEN;
    }
}
