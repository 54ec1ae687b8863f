package slipfield.standin;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

/** A scripted HTTP server on a loopback socket, and the plain client side: each step of it is in the script's hand. */
public final class Stub implements AutoCloseable {
    /** A request or an answer; {@code connection} numbers those of one server. */
    public record Message(String line, Map<String, String> headers, String body, int connection, long atNanos) {
        /** The value of a header, by its name in any case. */
        public String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** What is done when a request has come: write to the socket, close it, or nothing. */
    public interface Script {
        /** A request has come. */
        void come(Message request, Socket socket) throws Exception;
    }

    /** A connection on the loopback that is not up after so long waits for room in a queue, in ms. */
    private static final int FULL_AFTER_MS = 300;

    /** What has come, in order. */
    public final List<Message> requests = new CopyOnWriteArrayList<>();
    private final ServerSocket server;
    private final Thread accepting;
    /** Connections of its own that keep others from coming up. */
    private final List<Socket> before = new ArrayList<>();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile Script script;
    private int connections;
    private final AtomicInteger ended = new AtomicInteger();

    /** Listens on a free port, and does this with each request. */
    public Stub(Script script) throws IOException {
        this(script, 50);
        accepting.start();
    }

    private Stub(Script script, int backlog) throws IOException {
        this.script = script;
        this.server = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
        accepting = new Thread(this::accept);
        accepting.setDaemon(true);
    }

    /**
     * One at which connections come up only from {@link #open} on, though nobody is refused: the system's queue of those
     * that wait to be accepted is full until then, and it asks again after a second and more.
     */
    public static Stub late(Script script) throws IOException {
        Stub late = new Stub(script, 1);
        for (boolean up = true; up;) {
            Socket filler = new Socket();
            try {
                filler.connect(late.address(), FULL_AFTER_MS);
                late.before.add(filler);
            } catch (SocketTimeoutException full) {
                filler.close();
                up = false;
            }
        }
        return late;
    }

    /** A late one accepts from now on. */
    public void open() {
        accepting.start();
    }

    /** From now on this is done. */
    public void script(Script next) {
        script = next;
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    /** The same as text. */
    public String hostPort() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Connections that the other side has ended. */
    public int ended() {
        return ended.get();
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                sockets.add(socket);
                int number = connections++;
                daemon(() -> serve(socket, number));
            }
        } catch (IOException closed) {
            // Its time is over.
        }
    }

    private void serve(Socket socket, int number) {
        try {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Message m = read(in, number); m != null; m = read(in, number)) {
                requests.add(m);
                script.come(m, socket);
            }
        } catch (Exception gone) {
            // The other side went away, which is its right.
        } finally {
            ended.incrementAndGet();
        }
    }

    /** Reads one message with a content length; null at the end of the stream. */
    public static Message read(InputStream in, int number) throws IOException {
        String line = line(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String h = line(in); h != null && !h.isEmpty(); h = line(in)) {
            int cut = h.indexOf(':');
            headers.put(h.substring(0, cut).toLowerCase(Locale.ROOT), h.substring(cut + 1).trim());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Message(line, headers, new String(body, StandardCharsets.ISO_8859_1), number,
                System.nanoTime());
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            line.write(c);
        }
        return line.toString(StandardCharsets.ISO_8859_1).trim();
    }

    /** Writes this text. */
    public static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Writes this on every connection. */
    public void answerAll(String text) throws IOException {
        for (Socket socket : sockets) {
            write(socket, text);
        }
    }

    /** Answers with a status and further header lines, each closed by a line end. */
    public static Script status(int status, String headers) {
        return (request, socket) -> write(socket, "HTTP/1.1 " + status + " x\r\n" + headers
                + "Content-Length: 0\r\n\r\n");
    }

    /** Never answers. */
    public static Script silent() {
        return (request, socket) -> { };
    }

    /** Waits for something that must come about; how soon does not matter. */
    public static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + 30_000_000_000L;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("never came about: " + what);
            }
            Thread.sleep(2);
        }
    }

    /**
     * Nobody connects any more once it returns. Guards against a thread that still stands in accept when the socket is closed: on
     * a busy machine the system gives it one more connection before it is woken, and that would be served as if nothing were.
     */
    @Override
    public void close() throws IOException {
        server.close();
        try {
            accepting.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (Socket socket : sockets) {
            socket.close();
        }
        for (Socket socket : before) {
            socket.close();
        }
    }
}
