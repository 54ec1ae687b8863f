import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/**
 * Runs the sender whose classes {@code archive.sh} archives, in a world of agent, one endpoint, and a client with
 * a few messages, all on free ports. What no message has passed through is not in the archive, and is loaded and
 * linked anew in the first seconds under load of each life; so a run in which none was taken ends with an error.
 * Arguments: the command that starts the sender, up to its jar; it runs in the folder {@code target/training}.
 */
public final class Training {
    private static final Path FOLDER = Path.of("target/training");
    private static String sender;
    private static String list;

    private static String entry(String id, int port, int cell) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"127.0.0.1:" + port + "\",\"zone\":\"a\",\"machineType\":"
                + "\"m\",\"cell\":" + cell + ",\"lifecycle\":\"SERVING\",\"weight\":9.0,\"startedAtMs\":0}";
    }

    private static void answer(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getRequestBody().readAllBytes();
        exchange.getResponseHeaders().set("X-Load-Report", "TEXT x0=0.5, x1=20");
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static void watch(HttpExchange exchange) throws IOException {
        try {
            Thread.sleep(exchange.getRequestURI().getQuery() == null ? 0 : 300);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        answer(exchange, 200, list);
    }

    private static HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create(sender + path)).timeout(Duration.ofSeconds(5));
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** Starts the sender with the ports of this run. */
    private static Process start(List<String> command, int world) throws IOException {
        int port = freePort();
        sender = "http://127.0.0.1:" + port + "/";
        list = "{\"generation\":2,\"reset\":true,\"instances\":[" + entry("e", world, 1) + "," + entry("shut", 1, 2)
                + "]}";
        Path config = FOLDER.resolve("config.json");
        Files.writeString(config, Files.readString(Path.of("deploy/training.json"))
                .replace("SENDER", "127.0.0.1:" + port).replace("WORLD", "127.0.0.1:" + world));
        List<String> all = new ArrayList<>(command);
        all.add("serve");
        ProcessBuilder builder = new ProcessBuilder(all).redirectErrorStream(true)
                .redirectOutput(FOLDER.resolve("log").toFile());
        builder.environment().putAll(Map.of("GW_CONFIG", config.toString(), "GW_STATE", FOLDER.toString(), "GW_NAME",
                "training", "GW_LISTEN", "127.0.0.1:" + port, "GW_DISCOVERY", "127.0.0.1:" + world));
        return builder.start();
    }

    public static void main(String[] args) throws Exception {
        HttpServer world = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        world.setExecutor(Executors.newCachedThreadPool());
        world.createContext("/v1/servers", Training::watch);
        world.createContext("/v1/messages", exchange -> answer(exchange, 200, "{}"));
        world.createContext("/reports", exchange -> answer(exchange, 204, ""));
        world.start();
        Process process = start(List.of(args), world.getAddress().getPort());
        HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        HttpRequest ready = request("healthz").build();
        for (int tries = 0; tries < 100; tries++) {
            try {
                client.send(ready, BodyHandlers.discarding());
                break;
            } catch (IOException notYet) {
                Thread.sleep(100);
            }
        }
        int taken = 0;
        for (int i = 0; i < 20; i++) {
            taken += client.send(request("c").header("X-Call-Id", "id-" + i)
                    .header("X-Call-Class", "c").header("X-Caller", "t").header("X-Budget-Ms", "1500")
                    .header("Idempotency-Key", "key-" + i).header("X-Envelope", "dest=" + (1 + i % 2))
                    .POST(HttpRequest.BodyPublishers.ofString("{}")).build(), BodyHandlers.discarding())
                    .statusCode() == 202 ? 1 : 0;
        }
        // Until the notices of what could not be delivered are out.
        Thread.sleep(2000);
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
        Thread.sleep(300);
        process.destroy();
        process.waitFor();
        System.exit(taken > 0 ? 0 : 1);
    }
}
