package review2;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What the cases of the second review share: the record, real senders started by the deploy file's command, and stand-ins for an
 * agent, venues and clients. The stand-ins use the JDK's sockets only. All addresses are loopback addresses.
 */
final class Lab implements Closeable {
    // Exit codes that a JVM which can't start does not use; run.sh translates them.
    static final int HELD = 20;
    static final int BROKEN = 21;
    static final int NOT_RUN = 22;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path root;
    final Path temp;
    private final long startNanos = System.nanoTime();
    private final PrintWriter record;
    private final List<Closeable> open = new CopyOnWriteArrayList<>();

    Lab(Path folder) throws IOException {
        root = Path.of("").toAbsolutePath();
        temp = Files.createTempDirectory("review-2-");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        say("trouble " + (trouble ? "on" : "off"));
    }

    interface Body {
        int run(Lab lab) throws Exception;
    }

    /** Runs a case and exits with its result: a case that fails for a reason of its own could not run. */
    static void run(String[] args, Body body) {
        int result = NOT_RUN;
        try {
            Lab lab = new Lab(Path.of(args[0]));
            try {
                result = body.run(lab);
                lab.say("result " + (result == HELD ? "the rule held" : result == BROKEN ? "the rule was broken" : "not run"));
            } catch (Exception e) {
                lab.say("result not run: " + e);
            } finally {
                lab.close();
            }
        } catch (IOException e) {
            System.err.println(e);
        }
        System.exit(result);
    }

    double now() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    synchronized void say(String line) {
        String text = String.format(Locale.ROOT, "%9.1f ms  %s", now(), line);
        record.println(text);
        System.out.println(text);
    }

    /** Into the record only: one line of many. */
    synchronized void note(String line) {
        record.println(String.format(Locale.ROOT, "%9.1f ms  %s", now(), line));
    }

    static void sleep(double ms) {
        try {
            Thread.sleep(Math.max(0, Math.round(ms)));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    void sleepUntil(double at) {
        sleep(at - now());
    }

    <T extends Closeable> T track(T closeable) {
        open.add(closeable);
        return closeable;
    }

    static void thread(Runnable body) {
        Thread thread = new Thread(body);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public synchronized void close() {
        for (Closeable c : open) {
            try {
                c.close();
            } catch (IOException e) {
                // It is gone already.
            }
        }
        open.clear();
        try (Stream<Path> files = Files.exists(temp) ? Files.walk(temp) : Stream.empty()) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException e) {
            // The folder is a temporary one.
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return probe.getLocalPort();
        }
    }

    // ---- HTTP ----

    /** A request or an answer: its first line, its fields by lower-case name, and its body. */
    record Http(String line, Map<String, String> fields, byte[] body) {
        String field(String name) {
            return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        /** Reads one with a Content-Length, or without a body; null at the end of the stream. */
        static Http read(InputStream in) throws IOException {
            String line = readLine(in);
            if (line == null) {
                return null;
            }
            Map<String, String> fields = new LinkedHashMap<>();
            for (String f = readLine(in); f == null || !f.isEmpty(); f = readLine(in)) {
                if (f == null) {
                    throw new EOFException();
                }
                int colon = f.indexOf(':');
                fields.put(f.substring(0, colon).toLowerCase(Locale.ROOT), f.substring(colon + 1).trim());
            }
            byte[] body = in.readNBytes(Integer.parseInt(fields.getOrDefault("content-length", "0")));
            return new Http(line, fields, body);
        }

        private static String readLine(InputStream in) throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0) {
                    return null;
                }
                line.write(b);
            }
            return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
        }

        static byte[] answer(int status, String fields, String body) {
            byte[] text = body.getBytes(StandardCharsets.UTF_8);
            String head = "HTTP/1.1 " + status + " X\r\n" + fields
                    + (status == 204 ? "" : "Content-Length: " + text.length + "\r\n") + "\r\n";
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
            all.writeBytes(text);
            return all.toByteArray();
        }
    }

    /** A stand-in server: one thread for each connection, one request at a time on it. */
    abstract static class Server implements Closeable {
        private volatile ServerSocket listener;
        final int port;
        private final List<Socket> connections = new CopyOnWriteArrayList<>();
        /** Connections that came up so far. */
        final AtomicInteger accepted = new AtomicInteger();

        Server(Lab lab) throws IOException {
            this(lab, 256);
        }

        /** {@code backlog}: how many connections the system makes before they are accepted. */
        Server(Lab lab, int backlog) throws IOException {
            listener = listen(0, backlog);
            port = listener.getLocalPort();
            lab.track(this);
        }

        /** To be called when the stand-in is complete. */
        void start() {
            ServerSocket current = listener;
            thread(() -> accept(current));
        }

        private static ServerSocket listen(int port, int backlog) throws IOException {
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), backlog);
            return socket;
        }

        private void accept(ServerSocket from) {
            while (true) {
                try {
                    Socket socket = from.accept();
                    socket.setTcpNoDelay(true);
                    connections.add(socket);
                    accepted.incrementAndGet();
                    thread(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        /** The connection that the current thread serves. */
        private static final ThreadLocal<Socket> CURRENT = new ThreadLocal<>();

        /**
         * Whether the peer has closed the connection that the current thread serves; waits up to {@code ms} for that. The peer has
         * one request out, so that nothing else comes.
         */
        static boolean closedByPeer(int ms) throws IOException {
            Socket socket = CURRENT.get();
            socket.setSoTimeout(ms);
            try {
                return socket.getInputStream().read() < 0;
            } catch (java.net.SocketTimeoutException e) {
                return false;
            } finally {
                socket.setSoTimeout(0);
            }
        }

        private void serve(Socket socket) {
            CURRENT.set(socket);
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                for (Http request = Http.read(in); request != null; request = Http.read(in)) {
                    answer(request, out);
                }
            } catch (IOException | RuntimeException e) {
                // The peer has closed the connection, or the stand-in has.
            } finally {
                connections.remove(socket);
            }
        }

        abstract void answer(Http request, OutputStream out) throws IOException;

        String address() {
            return "127.0.0.1:" + port;
        }

        /** The process dies: its connections are reset, new ones are refused. */
        void crash() throws IOException {
            listener.close();
            for (Socket s : connections) {
                s.setSoLinger(true, 0);
                s.close();
            }
        }

        /** The process is there again, at the same address. */
        void restart() throws IOException {
            listener = listen(port, 256);
            start();
        }

        @Override
        public void close() throws IOException {
            crash();
        }
    }

    // ---- the platform ----

    /** An entry of discovery's list. */
    record Entry(String id, String address, int cell, String kind, String state, double weight, long startedAtMs) {
        String json() {
            return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + address + "\",\"zone\":\"akl-dc1\",\"machineType\":\"" + kind
                    + "\",\"cell\":" + cell + ",\"lifecycle\":\"" + state + "\",\"weight\":" + weight + ",\"startedAtMs\":"
                    + startedAtMs + "}";
        }

        Entry as(String newState) {
            return new Entry(id, address, cell, kind, newState, weight, startedAtMs);
        }
    }

    /** The agent of one sender's machine: list, watch and notices. It answers at once, unless discovery is down. */
    static final class Agent extends Server {
        private final Lab lab;
        private final String sender;
        private final Map<String, Entry> entries = new TreeMap<>();
        private final Map<String, Integer> changedAt = new TreeMap<>();
        private int generation = 1;
        private boolean down;
        /** Notices: the time and the result, by id. */
        final Map<String, List<String>> notices = new ConcurrentHashMap<>();
        final Map<String, Double> noticedAt = new ConcurrentHashMap<>();
        /** When each endpoint's last state was written to the sender. */
        final Map<String, Double> toldAt = new ConcurrentHashMap<>();

        Agent(Lab lab, String sender, List<Entry> first) throws IOException {
            super(lab);
            this.lab = lab;
            this.sender = sender;
            first.forEach(e -> entries.put(e.id(), e));
            first.forEach(e -> changedAt.put(e.id(), 1));
            start();
        }

        /** Discovery has told the agent of a change. */
        synchronized void change(Entry... changed) {
            generation++;
            for (Entry e : changed) {
                entries.put(e.id(), e);
                changedAt.put(e.id(), generation);
                lab.note("agent of " + sender + " has " + e.id() + " " + e.state());
            }
            notifyAll();
        }

        synchronized void down(boolean now) {
            down = now;
            notifyAll();
        }

        synchronized String list(int after) {
            StringBuilder list = new StringBuilder();
            for (Entry e : entries.values()) {
                boolean named = after == 0 ? !e.state().equals("DELETED") : changedAt.get(e.id()) > after;
                list.append(named ? (list.length() == 0 ? "" : ",") + e.json() : "");
            }
            return "{\"generation\":" + generation + ",\"reset\":" + (after == 0) + ",\"instances\":[" + list + "]}";
        }

        @Override
        void answer(Http request, OutputStream out) throws IOException {
            String path = request.line().split(" ")[1];
            if (path.equals("/reports")) {
                for (String line : new String(request.body(), StandardCharsets.UTF_8).split("\n")) {
                    Matcher m = Pattern.compile("\"ref\":\"([^\"]*)\",\"result\":\"([^\"]*)\"").matcher(line);
                    if (m.find()) {
                        notices.computeIfAbsent(m.group(1), k -> new CopyOnWriteArrayList<>()).add(m.group(2));
                        noticedAt.putIfAbsent(m.group(1), lab.now());
                        lab.note("notice from " + sender + ": " + m.group(1) + " " + m.group(2));
                    }
                }
                out.write(Http.answer(204, "", ""));
                return;
            }
            int after = number(path, "after");
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(number(path, "wait_ms"));
            byte[] answer;
            synchronized (this) {
                while (down || after == generation && System.nanoTime() < end) {
                    try {
                        wait(10);
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                }
                answer = Http.answer(200, "", list(after));
                out.write(answer);
                for (Entry e : entries.values()) {
                    if (after == 0 || changedAt.get(e.id()) > after) {
                        toldAt.put(e.id() + " " + e.state(), lab.now());
                        lab.note("told to " + sender + ": " + e.id() + " " + e.state());
                    }
                }
            }
        }

        private static int number(String path, String name) {
            Matcher m = Pattern.compile("[?&]" + name + "=(\\d+)").matcher(path);
            return m.find() ? Integer.parseInt(m.group(1)) : 0;
        }
    }

    // ---- senders ----

    /** Settings like those of the pages' example; the figures that a case needs otherwise are replaced in the text. */
    static final String SETTINGS = """
            {"classes":[{"aim_ms":2000.0,"dedup_scope":"all","give_up_ms":24000.0,"late_worth":0.3,"name":"order","repeat":"keyed",
            "streaming":false,"window_ms":10000.0,"worth":1.0}],
            "client_habits":{"marks_retry":false},"domain_type":"deliver",
            "family_info":{"batch_by_kind":[1,1],"carriage":[0.0],"decay":"halves","separate_routes":[false,false],
            "turned_away_price":0.03,"workers":10},
            "flavors":["main-venue","small-broker"],"fleet_size":3,
            "limits":{"cancel":true,"cpu_us_per_request":0.0,"cpu_us_per_s":500000,"dial_timeout_ms":1000.0,"keepalive_ms":15000.0,
            "max_open":158,"max_retry_after_ms":2000.0,"max_streams":1,"most_tries":12,"peers":true,"probes":false,
            "retry_after":true,"second_copies":true},
            "me":0,"my_zone":0,"over_share_worth":0.1,"registry_mode":"push",
            "reporting":{"fields":["x0","x1"],"how":"answers"},"round_ms":5.0,
            "rules":{"drain_grace_ms":2000.0,"fall_ms":1500.0,"fall_multiple":2.0,"grace_to_answer_ms":20.0,
            "must_ask_in_ms":10000.0,"start_capacity":0.2,"warm_after_ms":12000.0},
            "tenants":[{"allowance_per_s":41.0,"fraction":1.0,"name":"retail-online"}],
            "tier":0,"tiers":["venues"],"value_by":"request","weight_kind":"rough","zones":["akl-dc1"]}""";

    /** A real sender: the deploy file's command `run`, from the repository's root. */
    final class Sender implements Closeable {
        final String name;
        final int port;
        final Agent agent;
        final Path folder;
        private final String settings;
        /** The operator's file for AMQP, or null. */
        Path amqp;
        private Process process;

        Sender(String name, Agent agent, String settings) throws IOException {
            this.name = name;
            this.agent = agent;
            this.settings = settings;
            this.port = freePort();
            this.folder = Files.createDirectories(temp.resolve(name));
            Files.createDirectories(folder.resolve("state"));
            configure(agent, agent.list(0));
            track(this);
        }

        String address() {
            return "127.0.0.1:" + port;
        }

        private Path config() {
            return folder.resolve("config.json");
        }

        void configure(Agent discovery, String known) throws IOException {
            int peer = freePort();
            Files.writeString(config(), "{\"name\":\"" + name + "\",\"listen\":\"" + address() + "\",\"discovery\":\""
                    + discovery.address() + "\",\"seed\":\"" + Long.toHexString(System.nanoTime() & 0xffffffffffffL) + "\",\n"
                    + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3},\n"
                    + "\"peer_listen\":\"127.0.0.1:" + peer + "\",\"peers\":[\"127.0.0.1:" + peer + "\"],\n"
                    + "\"known\":" + known + ",\n\"settings\":" + settings + "}\n");
        }

        void start() throws IOException {
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                    .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
            if (!run.find()) {
                throw new IOException("the deploy file has no run");
            }
            Path tmp = Files.createDirectories(folder.resolve("tmp" + System.nanoTime()));
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1)).directory(root.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()));
            Map<String, String> env = builder.environment();
            env.put("GW_NAME", name);
            env.put("GW_LISTEN", address());
            env.put("GW_DISCOVERY", agent.address());
            env.put("GW_STATE", folder.resolve("state").toString());
            env.put("GW_CONFIG", config().toString());
            env.put("TMPDIR", tmp.toString());
            if (amqp != null) {
                env.put("SLIPFIELD_AMQP", amqp.toString());
            }
            process = builder.start();
            say(name + " started, process " + process.pid());
        }

        /** Waits until the sender answers 200 to a health check. */
        void awaitReady(double limitMs) throws IOException {
            double end = now() + limitMs;
            while (now() < end) {
                try (Socket s = connect()) {
                    s.getOutputStream().write("GET /healthz HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n".getBytes());
                    Http answer = Http.read(new BufferedInputStream(s.getInputStream()));
                    if (answer != null && answer.status() == 200) {
                        say(name + " ready");
                        return;
                    }
                } catch (IOException e) {
                    // It does not listen yet.
                }
                if (!process.isAlive()) {
                    throw new IOException(name + " ended with " + process.exitValue());
                }
                sleep(20);
            }
            throw new IOException(name + " was not ready in time");
        }

        boolean alive() {
            return process != null && process.isAlive();
        }

        int exitValue() {
            return process.exitValue();
        }

        void signal(String signal) throws IOException {
            say(name + " gets SIG" + signal);
            try {
                new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        void kill() throws IOException {
            say(name + " gets SIGKILL");
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        Socket connect() throws IOException {
            Socket s = new Socket();
            s.setTcpNoDelay(true);
            s.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 400);
            s.setSoTimeout(400);
            return s;
        }

        @Override
        public void close() throws IOException {
            if (process != null && process.isAlive()) {
                process.destroyForcibly();
            }
            if (System.getenv("KEEP_LOG") != null) {
                Files.copy(folder.resolve("log"), Path.of(System.getenv("KEEP_LOG"), name + ".log"),
                        java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            }
        }
    }

    // ---- clients ----

    /** A client that keeps its connections, sends one request at a time on each and waits 400 ms for the answer. */
    static final class Client {
        private final Lab lab;
        private final Sender sender;
        private final List<Socket> idle = new ArrayList<>();
        /** Status of each message's answer by id, 0 where none came. */
        final Map<String, Integer> answers = new ConcurrentHashMap<>();
        final Map<String, Double> sentAt = new ConcurrentHashMap<>();

        Client(Lab lab, Sender sender) {
            this.lab = lab;
            this.sender = sender;
        }

        static String request(String id, int dest, long budgetMs, String messageClass) {
            String body = "order " + id;
            return "POST /" + messageClass + " HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: " + id + "\r\nX-Call-Class: " + messageClass
                    + "\r\nX-Caller: retail-online\r\nX-Budget-Ms: " + budgetMs + "\r\nIdempotency-Key: key-" + id
                    + "\r\nContent-Length: " + body.length() + "\r\nX-Envelope: dest=" + dest + "\r\n\r\n" + body;
        }

        /** Hands in a message on a thread of its own. */
        void handIn(String id, int dest, long budgetMs) {
            thread(() -> submit(id, dest, budgetMs, "order"));
        }

        int submit(String id, int dest, long budgetMs, String messageClass) {
            Socket s = null;
            sentAt.put(id, lab.now());
            int status = 0;
            try {
                synchronized (idle) {
                    s = idle.isEmpty() ? null : idle.remove(idle.size() - 1);
                }
                boolean fresh = s == null;
                s = fresh ? sender.connect() : s;
                Http answer = ask(s, request(id, dest, budgetMs, messageClass));
                if (answer == null && !fresh) {
                    // The sender closed the connection between requests: once more on a new one.
                    s.close();
                    s = sender.connect();
                    answer = ask(s, request(id, dest, budgetMs, messageClass));
                }
                status = answer == null ? 0 : answer.status();
                if (answer != null && !answer.field("connection").equalsIgnoreCase("close")) {
                    synchronized (idle) {
                        idle.add(s);
                    }
                } else {
                    s.close();
                }
            } catch (IOException e) {
                try {
                    if (s != null) {
                        s.close();
                    }
                } catch (IOException e2) {
                    // Closed already.
                }
            }
            answers.put(id, status);
            lab.note("client: " + id + " for dest " + dest + " answered " + status);
            return status;
        }

        private static Http ask(Socket s, String request) throws IOException {
            try {
                BufferedOutputStream out = new BufferedOutputStream(s.getOutputStream());
                out.write(request.getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
                return Http.read(new BufferedInputStream(s.getInputStream()));
            } catch (java.net.SocketTimeoutException e) {
                throw e;
            } catch (IOException e) {
                return null;
            }
        }
    }
}
