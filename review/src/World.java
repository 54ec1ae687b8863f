import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import javax.crypto.SecretKeyFactory;
import javax.crypto.spec.PBEKeySpec;

/**
 * What the cases share: a sender process started by the deploy file's {@code run}, and stand-ins for the platform's agent, for
 * venues and for clients. All addresses are loopback addresses with free ports; all files are in a temporary folder.
 */
final class World implements Closeable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;
    private static final long LIMIT_MS = 110_000;

    final Path root;
    final Path folder;
    final long startNanos = System.nanoTime();
    private final BufferedWriter record;
    private final List<Closeable> open = new CopyOnWriteArrayList<>();

    /** {@code recordFile}: where each event is written. */
    World(Path root, Path recordFile) throws IOException {
        this.root = root;
        this.folder = Files.createTempDirectory("review-case-");
        this.record = Files.newBufferedWriter(recordFile);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** What a case does; returns its exit code. */
    interface Case {
        int play(World world) throws Exception;
    }

    /** Plays a case, which records in this file, and ends the process with its exit code, within two minutes in any case. */
    static void play(String recordFile, Case played) {
        thread(() -> {
            sleep(LIMIT_MS);
            System.exit(COULD_NOT_RUN);
        });
        int code = COULD_NOT_RUN;
        try (World world = new World(Path.of(System.getProperty("root")).toAbsolutePath(), Path.of(recordFile))) {
            try {
                code = played.play(world);
            } catch (Exception e) {
                world.note("the case could not run: %s", e);
            }
        } catch (IOException e) {
            System.err.println("no record can be written: " + e);
        }
        System.exit(code);
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    double now() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void note(String format, Object... arguments) {
        try {
            record.write(String.format(Locale.ROOT, "%8.3f  ", now()) + String.format(Locale.ROOT, format, arguments) + "\n");
            record.flush();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    interface Check {
        boolean holds() throws Exception;
    }

    /** Waits until this holds; false if it does not in the given time. */
    static boolean await(long withinMs, Check check) throws Exception {
        for (long end = System.nanoTime() + withinMs * 1_000_000; System.nanoTime() < end; sleep(10)) {
            if (check.holds()) {
                return true;
            }
        }
        return check.holds();
    }

    interface Body {
        void run() throws Exception;
    }

    static Thread thread(Body body) {
        Thread thread = new Thread(() -> {
            try {
                body.run();
            } catch (Exception e) {
                // The other side has closed the connection, or the case has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** A port that is free, and below those that the system gives to outgoing connections, so that it is still free later. */
    static int freePort() throws IOException {
        for (int tries = 0; tries < 200; tries++) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 30_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return port;
            } catch (IOException taken) {
                // Another one, then.
            }
        }
        throw new IOException("no free port");
    }

    static ServerSocket listen(int port) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress("127.0.0.1", port), 200);
        return server;
    }

    <T extends Closeable> T closeLater(T resource) {
        open.add(0, resource);
        return resource;
    }

    @Override
    public void close() {
        for (Closeable c : open) {
            try {
                c.close();
            } catch (IOException e) {
                // Nothing more can be done about it.
            }
        }
        open.clear();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted((a, b) -> b.compareTo(a)).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // The folder is gone already.
        }
    }

    // ---- HTTP ----

    /** A request or an answer that was read. */
    static final class Http {
        String first = "";
        final Map<String, String> headers = new HashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException();
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads one message, with a body as long as Content-Length says. */
    static Http read(InputStream in) throws IOException {
        Http message = new Http();
        message.first = line(in);
        for (String header = line(in); !header.isEmpty(); header = line(in)) {
            int colon = header.indexOf(':');
            message.headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
        }
        String length = message.header("Content-Length");
        if (!length.isEmpty()) {
            message.body = in.readNBytes(Integer.parseInt(length));
            if (message.body.length < Integer.parseInt(length)) {
                throw new EOFException();
            }
        }
        return message;
    }

    static void answer(OutputStream out, String status, String headers, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(("HTTP/1.1 " + status + "\r\n" + headers + (status.startsWith("204") ? "" : "Content-Length: "
                + bytes.length + "\r\n") + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        all.writeBytes(bytes);
        out.write(all.toByteArray());
        out.flush();
    }

    // ---- the platform ----

    /** The platform's agent: the list of endpoints, and the notices of messages that ended undelivered. */
    final class Platform implements Closeable {
        final ServerSocket server = listen(0);
        final Map<String, List<String>> notices = new ConcurrentHashMap<>();
        /** When the first notice of a message came. */
        final Map<String, Double> firstNotice = new ConcurrentHashMap<>();
        private final Map<String, String> instances = new LinkedHashMap<>();
        private long generation = 1;

        Platform() throws IOException {
            thread(() -> {
                while (true) {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    thread(() -> serve(socket));
                }
            });
            closeLater(this);
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        synchronized void list(String id, int port, long destination, String kind, String zone) {
            instances.put(id, String.format(Locale.ROOT, "{\"instanceId\":\"%s\",\"hostPort\":\"127.0.0.1:%d\",\"zone\":\"%s\","
                    + "\"machineType\":\"%s\",\"cell\":%d,\"lifecycle\":\"SERVING\",\"weight\":50.0,\"startedAtMs\":0}", id, port,
                    zone, kind, destination));
            generation++;
            notifyAll();
        }

        synchronized String all() {
            return "{\"generation\":" + generation + ",\"reset\":true,\"instances\":[" + String.join(",", instances.values())
                    + "]}";
        }

        private synchronized String changes(long after, long waitMs) throws InterruptedException {
            long end = System.nanoTime() + waitMs * 1_000_000;
            while (generation <= after && System.nanoTime() < end) {
                wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            }
            return generation > after ? all() : "{\"generation\":" + generation + ",\"reset\":false,\"instances\":[]}";
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    Http request = World.read(in);
                    if (request.first.startsWith("POST /reports")) {
                        for (String line : new String(request.body, StandardCharsets.UTF_8).split("\n")) {
                            Matcher ref = Pattern.compile("\"ref\":\"([^\"]*)\"").matcher(line);
                            Matcher result = Pattern.compile("\"result\":\"([^\"]*)\"").matcher(line);
                            if (ref.find() && result.find()) {
                                notices.computeIfAbsent(ref.group(1), r -> new CopyOnWriteArrayList<>()).add(result.group(1));
                                firstNotice.putIfAbsent(ref.group(1), now());
                                note("platform   notice id=%s result=%s", ref.group(1), result.group(1));
                            }
                        }
                        answer(socket.getOutputStream(), "204 No Content", "", "");
                    } else {
                        Matcher watch = Pattern.compile("after=(\\d+)&wait_ms=(\\d+)").matcher(request.first);
                        answer(socket.getOutputStream(), "200 OK", "Content-Type: application/json\r\n", watch.find()
                                ? changes(Long.parseLong(watch.group(1)), Long.parseLong(watch.group(2))) : all());
                    }
                }
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    // ---- venues ----

    /** What a venue has run: one entry for each call that it began, with its answer. */
    static final class Run {
        final String id;
        final String key;
        final String body;
        final double at;

        Run(String id, String key, String body, double at) {
            this.id = id;
            this.key = key;
            this.body = body;
            this.at = at;
        }
    }

    /** An endpoint over HTTP that runs each call once its last byte has come, and answers 200 after some time. */
    final class Venue implements Closeable {
        final String name;
        final ServerSocket server = listen(0);
        final List<Run> runs = new CopyOnWriteArrayList<>();
        /** When the first 200 was written for a message. */
        final Map<String, Double> delivered = new ConcurrentHashMap<>();
        volatile long answerMs;
        /** A call that is told to have less time left than this is out of time: it is answered 410 and does not run. */
        volatile long leastBudgetMs;
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();

        Venue(String name, long answerMs) throws IOException {
            this.name = name;
            this.answerMs = answerMs;
            thread(() -> {
                while (true) {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    thread(() -> serve(socket));
                }
            });
            closeLater(this);
        }

        int port() {
            return server.getLocalPort();
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    Http request = World.read(in);
                    if (Long.parseLong(request.header("X-Budget-Ms")) < leastBudgetMs) {
                        note("%-10s answers 410, out of time: id=%s X-Budget-Ms=%s", name, request.header("X-Call-Id"),
                                request.header("X-Budget-Ms"));
                        answer(socket.getOutputStream(), "410 Gone", "", "");
                        continue;
                    }
                    Run run = new Run(request.header("X-Call-Id"), request.header("Idempotency-Key"),
                            new String(request.body, StandardCharsets.ISO_8859_1), now());
                    runs.add(run);
                    note("%-10s runs id=%s key=%s body=%s", name, run.id, run.key, run.body.length() > 60 ? run.body.length()
                            + " octets" : run.body);
                    sleep(answerMs);
                    answer(socket.getOutputStream(), "200 OK", "", "");
                    delivered.putIfAbsent(run.id, now());
                }
            } finally {
                sockets.remove(socket);
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    // ---- the sender ----

    /** A class of messages in the settings. */
    static String messageClass(String name, String repeat, long aimMs, long giveUpMs, long windowMs) {
        return String.format(Locale.ROOT, "{\"aim_ms\":%d,\"dedup_scope\":\"all\",\"give_up_ms\":%d,\"late_worth\":0.3,"
                + "\"name\":\"%s\",\"repeat\":\"%s\",\"streaming\":false,\"window_ms\":%d,\"worth\":1.0}", aimMs, giveUpMs, name,
                repeat, windowMs);
    }

    /** The sender: started with the deploy file's {@code run} from the repository's root, with a folder that lasts. */
    final class Sender implements Closeable {
        final int port = freePort();
        final String name;
        final Map<String, String> environment = new HashMap<>();
        private final Path own;
        private final Path state;
        private final String run;
        private Process process;
        private int lives;

        /** {@code classes}: as {@link #messageClass} makes them, separated by commas. */
        Sender(Platform platform, String name, String classes, int maxOpen, int slots) throws IOException {
            this.name = name;
            own = Files.createDirectories(folder.resolve(name));
            state = Files.createDirectories(own.resolve("state"));
            Matcher command = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(
                    Files.readString(root.resolve("deploy/balancer.toml")));
            if (!command.find()) {
                throw new IOException("the deploy file has no run");
            }
            run = command.group(1);
            Path config = own.resolve("config.json");
            Files.writeString(config, "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\""
                    + platform.address() + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,"
                    + "\"sockets\":1024,\"disk_mb\":3},\"peers\":[],\"known\":" + platform.all() + ",\"settings\":"
                    + settings(classes, maxOpen, slots) + "}");
            environment.put("GW_NAME", name);
            environment.put("GW_LISTEN", "127.0.0.1:" + port);
            environment.put("GW_DISCOVERY", platform.address());
            environment.put("GW_STATE", state.toString());
            environment.put("GW_CONFIG", config.toString());
            environment.put("TMPDIR", Files.createDirectories(own.resolve("tmp")).toString());
            closeLater(this);
        }

        /** The object that the wire's page shows, for the site's own figures. */
        private String settings(String classes, int maxOpen, int slots) {
            return "{\"classes\":[" + classes + "],\"client_habits\":{\"marks_retry\":false},\"domain_type\":\"deliver\","
                    + "\"family_info\":{\"batch_by_kind\":[1,1],\"carriage\":[0.0],\"decay\":\"halves\","
                    + "\"separate_routes\":[false,false],\"turned_away_price\":0.03,\"workers\":" + slots + "},"
                    + "\"flavors\":[\"main-venue\",\"small-broker\"],\"fleet_size\":2,\"limits\":{\"cancel\":true,"
                    + "\"cpu_us_per_request\":0.0,\"cpu_us_per_s\":500000,\"dial_timeout_ms\":1000.0,\"keepalive_ms\":15000.0,"
                    + "\"max_open\":" + maxOpen + ",\"max_retry_after_ms\":2000.0,\"max_streams\":1,\"most_tries\":12,"
                    + "\"peers\":true,\"probes\":false,\"retry_after\":true,\"second_copies\":true},\"me\":0,\"my_zone\":0,"
                    + "\"objective_mix\":{\"whole\":0.6,\"worst_class\":0.0,\"worst_tenant\":0.1,\"worst_window\":0.3},"
                    + "\"over_share_worth\":0.1,\"registry_mode\":\"push\",\"reporting\":{\"fields\":[\"x0\",\"x1\"],"
                    + "\"how\":\"answers\"},\"round_ms\":5.0,\"rules\":{\"drain_grace_ms\":2000.0,\"fall_ms\":1500.0,"
                    + "\"fall_multiple\":2.0,\"grace_to_answer_ms\":20.0,\"must_ask_in_ms\":10000.0,\"start_capacity\":0.2,"
                    + "\"warm_after_ms\":12000.0},\"tenants\":[{\"allowance_per_s\":17.0,\"fraction\":1.0,\"name\":\"acme\"}],"
                    + "\"tier\":0,\"tiers\":[\"venues\"],\"value_by\":\"request\",\"weight_kind\":\"rough\","
                    + "\"zones\":[\"akl-dc1\"]}";
        }

        /** Sets an operator's file for AMQP: a queue of this broker is consumed, and its messages are orders for a destination. */
        void consume(AmqpBroker broker, String queue, String messageClass, long destination) throws IOException {
            Files.writeString(own.resolve("secret"), "secret\n");
            Path file = own.resolve("amqp.yaml");
            Files.writeString(file, "listen: 127.0.0.1:" + freePort() + "\n"
                    + "users:\n  - {name: desk, secret: \"pbkdf2-sha256:210000:AAAAAAAAAAAAAAAAAAAAAA==:"
                    + "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\", publish: [feed]}\n"
                    + "exchanges:\n  - name: feed\n    routes: [{key: " + queue + ", class: " + messageClass + ", destination: "
                    + destination + "}]\n"
                    + "inbound:\n  - {name: north, address: \"127.0.0.1:" + broker.port() + "\", user: sender, "
                    + "password_file: secret, queue: " + queue + ", exchange: feed, tenant: acme}\n");
            environment.put("SLIPFIELD_AMQP", file.toString());
        }

        Path log() {
            return own.resolve("sender-" + (lives - 1) + ".log");
        }

        /** Sets an operator's file by which clients may follow the ends of their orders. */
        void ends() throws IOException {
            Path file = own.resolve("clients.yaml");
            Files.writeString(file, "ends:\n  keep: 1m\n");
            environment.put("SLIPFIELD_CLIENTS", file.toString());
        }

        /** Sets an operator's file for AMQP, in which a user may publish orders for a destination; returns the port. */
        int amqp(String user, String password, String exchange, String messageClass, long destination) throws Exception {
            int amqpPort = freePort();
            byte[] salt = new byte[16];
            Base64.Encoder base64 = Base64.getEncoder();
            byte[] hash = SecretKeyFactory.getInstance("PBKDF2WithHmacSHA256").generateSecret(
                    new PBEKeySpec(password.toCharArray(), salt, 1000, 256)).getEncoded();
            Path file = own.resolve("amqp.yaml");
            Files.writeString(file, "listen: 127.0.0.1:" + amqpPort + "\n"
                    + "users:\n  - {name: " + user + ", secret: \"pbkdf2-sha256:1000:" + base64.encodeToString(salt) + ":"
                    + base64.encodeToString(hash) + "\", tenant: acme, publish: [" + exchange + "]}\n"
                    + "exchanges:\n  - name: " + exchange + "\n    routes: [{key: order, class: " + messageClass
                    + ", destination: " + destination + "}]\n");
            environment.put("SLIPFIELD_AMQP", file.toString());
            return amqpPort;
        }

        /** Starts it and waits until it answers that it is ready. */
        boolean start() throws Exception {
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile())
                    .redirectErrorStream(true).redirectOutput(own.resolve("sender-" + lives++ + ".log").toFile());
            builder.environment().putAll(environment);
            process = builder.start();
            note("sender     %s started, life %d", name, lives);
            boolean ready = await(30_000, () -> healthy(500));
            note("sender     %s %s", name, ready ? "is ready" : "is NOT ready");
            return ready;
        }

        boolean alive() {
            return process.isAlive();
        }

        boolean healthy(int withinMs) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", port), withinMs);
                socket.setSoTimeout(withinMs);
                socket.getOutputStream().write("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                return World.read(new BufferedInputStream(socket.getInputStream())).status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        @Override
        public void close() throws IOException {
            if (process != null) {
                process.destroyForcibly();
                try {
                    process.waitFor(10, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
        }
    }

    // ---- clients ----

    static byte[] order(String messageClass, String id, String key, long destination, long budgetMs, String extra, byte[] body) {
        byte[] head = ("POST /" + messageClass + " HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: " + id + "\r\nX-Call-Class: "
                + messageClass + "\r\nX-Caller: acme\r\nX-Budget-Ms: " + budgetMs + "\r\n"
                + (key.isEmpty() ? "" : "Idempotency-Key: " + key + "\r\n") + extra + "Content-Length: " + body.length
                + "\r\nX-Envelope: dest=" + destination + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    /** Asks the sender for a path; the answer. */
    static Http get(int port, String path, int waitMs) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), waitMs);
            socket.setSoTimeout(waitMs);
            socket.getOutputStream().write(("GET " + path + " HTTP/1.1\r\nHost: app.svc\r\n\r\n").getBytes(
                    StandardCharsets.US_ASCII));
            return read(new BufferedInputStream(socket.getInputStream()));
        }
    }

    /** Hands an order in on a connection of its own; the answer's status, or 0 if none came. */
    int handIn(int port, byte[] request, int waitMs) {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), waitMs);
            socket.setSoTimeout(waitMs);
            socket.getOutputStream().write(request);
            return World.read(new BufferedInputStream(socket.getInputStream())).status();
        } catch (IOException e) {
            return 0;
        }
    }
}
