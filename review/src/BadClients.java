import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 1: usual clients hand orders in; for a moment bad clients send hundreds of requests at once. Every order that was
 * answered 202 has to be delivered or ended by a notice in its time, and the sender must not crash.
 */
final class BadClients {
    private static final int BAD_CLIENTS = 40;
    private static final int REQUESTS_AT_ONCE = 300;
    private static final int BODY_OCTETS = 8000;
    private static final long FLOOD_MS = 5000;
    private static final long BUDGET_MS = 8000;
    /** Half a second after the time is up (more/mass/FLEET), and 50 ms that each limit is longer on sockets (PROTOCOL). */
    private static final long GRACE_MS = 550;
    /** How long the venue takes, and the time between two of the usual clients' orders. */
    private static final long ANSWER_MS = 600;
    private static final long PAUSE_MS = 143;
    /** The usual clients' orders: one by one, as a clump just before the bad clients come, and one by one meanwhile. */
    private static final int BEFORE = 80;
    private static final int CLUMP = 22;
    private static final int DURING = 35;

    private static final AtomicInteger ORDERS = new AtomicInteger();

    private BadClients() {
    }

    public static void main(String[] arguments) {
        World.play(arguments[0], BadClients::run);
    }

    private static int run(World world) throws Exception {
        World.Platform platform = world.new Platform();
        World.Venue venue = world.new Venue("venue", ANSWER_MS);
        platform.list("s-5be2a07c", venue.port(), 7, "main-venue", "akl-dc1");
        World.Sender sender = world.new Sender(platform, "n0", World.messageClass("order", "keyed", 2000, BUDGET_MS, 10_000), 80, 10);
        if (!sender.start()) {
            return World.COULD_NOT_RUN;
        }
        Map<String, Double> taken = new ConcurrentHashMap<>();
        AtomicInteger otherwise = new AtomicInteger();
        ExecutorService desks = Executors.newFixedThreadPool(64);
        for (int i = 0; i < BEFORE; i++) {
            handIn(world, sender.port, desks, taken, otherwise);
            World.sleep(PAUSE_MS);
        }
        for (int i = 0; i < CLUMP; i++) {
            handIn(world, sender.port, desks, taken, otherwise);
        }
        if (!World.await(2000, () -> taken.size() + otherwise.get() == BEFORE + CLUMP) || taken.isEmpty()) {
            world.note("too few orders were answered before the disruption");
            return World.COULD_NOT_RUN;
        }
        AtomicInteger answers = new AtomicInteger();
        if (World.trouble()) {
            World.thread(() -> flood(world, sender.port, answers));
        }
        for (int i = 0; i < DURING; i++) {
            World.sleep(PAUSE_MS);
            handIn(world, sender.port, desks, taken, otherwise);
        }
        desks.shutdown();
        desks.awaitTermination(5, TimeUnit.SECONDS);
        World.sleep(BUDGET_MS + GRACE_MS + 500);
        List<String> lost = new ArrayList<>();
        for (Map.Entry<String, Double> order : taken.entrySet()) {
            double limit = order.getValue() + (BUDGET_MS + GRACE_MS) / 1000.0;
            boolean delivered = venue.delivered.containsKey(order.getKey()) && venue.delivered.get(order.getKey()) <= limit;
            Double notice = platform.firstNotice.get(order.getKey());
            if (!delivered && (notice == null || notice > limit)) {
                lost.add(order.getKey());
                world.note("LOST       id=%s was answered 202 at %.3f and has neither been delivered nor ended by a notice",
                        order.getKey(), order.getValue());
            }
        }
        boolean answering = World.await(3000, () -> sender.healthy(2000));
        world.note("orders taken on %d, answered otherwise %d, lost %d; bad clients' connections answered %d", taken.size(),
                otherwise.get(), lost.size(), answers.get());
        world.note("at the end the sender's process %s and %s", sender.alive() ? "runs" : "has ENDED",
                answering ? "answers" : "answers NOTHING in 3 s");
        try (var lines = Files.lines(sender.log())) {
            lines.filter(line -> line.contains("OutOfMemory")).limit(5).forEach(line -> world.note("log        %s", line));
        }
        return lost.isEmpty() && sender.alive() ? World.HELD : World.BROKEN;
    }

    private static void handIn(World world, int port, ExecutorService desks, Map<String, Double> taken, AtomicInteger otherwise) {
        String id = String.format("order%011d", ORDERS.incrementAndGet());
        desks.execute(() -> {
            double sentAt = world.now();
            int status = world.handIn(port, World.order("order", id, "key-" + id, 7, BUDGET_MS, "", new byte[200]), 400);
            world.note("desk       id=%s answer=%s", id, status == 0 ? "none" : Integer.toString(status));
            if (status == 202) {
                taken.put(id, sentAt);
            } else {
                otherwise.incrementAndGet();
            }
        });
    }

    /**
     * Bad clients connect; each sends hundreds of requests at once at full speed, reads what it is sent, and does the same again
     * when its connection was closed.
     */
    private static void flood(World world, int port, AtomicInteger answers) throws Exception {
        world.note("bad clients: %d, each sends %d requests with %d octets at once, for %d ms", BAD_CLIENTS, REQUESTS_AT_ONCE,
                BODY_OCTETS, FLOOD_MS);
        ByteArrayOutputStream requests = new ByteArrayOutputStream();
        for (int j = 0; j < REQUESTS_AT_ONCE; j++) {
            requests.writeBytes(World.order("nosuch", "bad-" + j, "bad", 7, 5000, "", new byte[BODY_OCTETS]));
        }
        byte[] all = requests.toByteArray();
        long end = System.nanoTime() + FLOOD_MS * 1_000_000;
        for (int i = 0; i < BAD_CLIENTS; i++) {
            World.thread(() -> {
                while (System.nanoTime() < end) {
                    try (Socket socket = new Socket("127.0.0.1", port)) {
                        Thread reading = World.thread(() -> {
                            InputStream in = socket.getInputStream();
                            byte[] read = new byte[4096];
                            for (boolean first = true; in.read(read) > 0; first = false) {
                                if (first) {
                                    answers.incrementAndGet();
                                }
                            }
                        });
                        socket.getOutputStream().write(all);
                        reading.join(Math.max(1, (end - System.nanoTime()) / 1_000_000));
                    } catch (IOException closed) {
                        World.sleep(100);
                    }
                }
            });
        }
        World.sleep(FLOOD_MS);
        world.note("the bad clients are gone; %d of their connections had an answer", answers.get());
    }
}
