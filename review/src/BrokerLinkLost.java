import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Case 3: two senders consume one queue of a broker, whose orders must not run twice. The connection of one of them to the broker
 * is reset once while deliveries are out on it. Each order may run once at most.
 */
final class BrokerLinkLost {
    private static final int ORDERS = 40;
    private static final long DEADLINE_MS = 12_000;

    private BrokerLinkLost() {
    }

    public static void main(String[] arguments) {
        World.play(arguments[0], BrokerLinkLost::run);
    }

    private static int run(World world) throws Exception {
        World.Platform platform = world.new Platform();
        World.Venue venue = world.new Venue("venue", 300);
        platform.list("s-5be2a07c", venue.port(), 7, "main-venue", "akl-dc1");
        AmqpBroker broker = new AmqpBroker(world, "orders");
        for (int i = 0; i < 2; i++) {
            int number = i + 1;
            World.Sender sender = world.new Sender(platform, "n" + i, World.messageClass("order", "unsafe", 2000, DEADLINE_MS, 0),
                    158, 10);
            sender.consume(broker, "orders", "order", 7);
            if (!sender.start() || !World.await(20_000, () -> broker.consumers() == number)) {
                return World.COULD_NOT_RUN;
            }
        }
        for (int i = 0; i < ORDERS; i++) {
            broker.publish(new AmqpBroker.Message("order " + i, "key-" + i, "5c0f6e1a2b3d4c59-" + i));
        }
        World.sleep(400);
        if (World.trouble()) {
            broker.resetFirst();
        }
        boolean settled = World.await(DEADLINE_MS + 20_000, () -> broker.left() == 0 && broker.consumers() == 2);
        World.sleep(2000);
        Map<String, List<World.Run>> runs = new HashMap<>();
        venue.runs.forEach(run -> runs.computeIfAbsent(run.body, r -> new ArrayList<>()).add(run));
        int twice = 0;
        for (Map.Entry<String, List<World.Run>> order : runs.entrySet()) {
            if (order.getValue().size() > 1) {
                twice++;
                world.note("TWICE      %s ran %d times, id %s, key %s, at %s", order.getKey(), order.getValue().size(),
                        order.getValue().get(0).id, order.getValue().get(0).key, order.getValue().stream().map(r ->
                        String.format("%.3f", r.at)).toList());
            }
        }
        world.note("orders %d, run %d, run twice %d, acknowledged %d, rejected %d, all settled %s", ORDERS, runs.size(), twice,
                broker.acked(), broker.rejected(), settled);
        if (runs.isEmpty()) {
            return World.COULD_NOT_RUN;
        }
        return twice == 0 ? World.HELD : World.BROKEN;
    }
}
