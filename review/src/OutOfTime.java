import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Case 2: each second order has very little time left, and the venue, which can't run it in that time, answers 410. No client may
 * be told that such an order was delivered: neither a desk that follows the ends of its orders over HTTP nor a publisher over AMQP.
 */
final class OutOfTime {
    private static final int ORDERS_EACH = 10;
    /** What the venue needs for an order, and the least time that it wants to be told for it. */
    private static final long WORK_MS = 300;
    private static final long LEAST_BUDGET_MS = 400;
    /** How long an order may take, usually and with the disruption. */
    private static final long BUDGET_MS = 10_000;
    private static final long LITTLE_BUDGET_MS = 600;
    private static final String PASSWORD = "review";

    private OutOfTime() {
    }

    public static void main(String[] arguments) {
        World.play(arguments[0], OutOfTime::run);
    }

    private static int run(World world) throws Exception {
        World.Platform platform = world.new Platform();
        World.Venue venue = world.new Venue("venue", WORK_MS);
        venue.leastBudgetMs = LEAST_BUDGET_MS;
        platform.list("s-5be2a07c", venue.port(), 7, "main-venue", "akl-dc1");
        World.Sender sender = world.new Sender(platform, "n0", World.messageClass("order", "keyed", 2000, 12_000, 10_000), 158, 10);
        int port = sender.amqp("desk", PASSWORD, "orders", "order", 7);
        sender.ends();
        if (!sender.start()) {
            return World.COULD_NOT_RUN;
        }
        Map<String, Boolean> confirmed = new ConcurrentHashMap<>();
        AmqpPublisher publisher = world.closeLater(AmqpPublisher.connect(port, "desk", PASSWORD, confirmed));
        Set<String> taken = new TreeSet<>();
        for (int i = 0; i < ORDERS_EACH; i++) {
            long budgetMs = World.trouble() && i % 2 == 1 ? LITTLE_BUDGET_MS : BUDGET_MS;
            String id = String.format("http%012d", i);
            int status = world.handIn(sender.port, World.order("order", id, "key-" + id, 7, budgetMs, "X-Ends-To: desk-1\r\n",
                    new byte[200]), 400);
            world.note("desk       id=%s X-Budget-Ms=%d answer=%d", id, budgetMs, status);
            if (status == 202) {
                taken.add(id);
            }
            publisher.publish("orders", "order", String.format("amqp%012d", i), budgetMs, "order " + i);
            World.sleep(100);
        }
        boolean all = World.await(BUDGET_MS + 3000, () -> publisher.unconfirmed() == 0);
        World.sleep(1500);
        Set<String> told = new TreeSet<>();
        String ends = new String(World.get(sender.port, "/ends?client=desk-1&after=&wait_ms=0", 2000).body, StandardCharsets.UTF_8);
        Matcher end = Pattern.compile("\"ref\":\"([^\"]*)\",\"end\":\"([^\"]*)\"").matcher(ends);
        while (end.find()) {
            world.note("desk       hears the end of id=%s: %s", end.group(1), end.group(2));
            if (end.group(2).equals("delivered")) {
                told.add(end.group(1));
            }
        }
        confirmed.forEach((id, ack) -> {
            world.note("publisher  hears %s for id=%s", ack ? "basic.ack" : "basic.nack", id);
            if (ack) {
                told.add(id);
            }
        });
        int wrong = 0;
        for (String id : told) {
            if (!venue.delivered.containsKey(id)) {
                wrong++;
                world.note("WRONG      id=%s: its client was told that it was delivered, and it never ran", id);
            }
        }
        world.note("orders taken on over HTTP %d, over AMQP %d, run %d, told as delivered %d, of these never run %d, all confirmed %s",
                taken.size(), ORDERS_EACH, venue.delivered.size(), told.size(), wrong, all);
        if (taken.isEmpty() || confirmed.isEmpty()) {
            return World.COULD_NOT_RUN;
        }
        return wrong == 0 ? World.HELD : World.BROKEN;
    }
}
