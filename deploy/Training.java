import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.Executors;

/**
 * The world of the sender whose classes {@code archive.sh} archives: agent, one endpoint, and a client with a
 * few messages. What no message has passed through is not in the archive, and is loaded and linked anew in the
 * first seconds under load of each life.
 */
public final class Training {
    private static final String SENDER = "http://127.0.0.1:47979/";
    private static final int PORT = 47980;
    private static final String LIST = "{\"generation\":2,\"reset\":true,\"instances\":[" + entry("e", PORT, 1) + ","
            + entry("shut", 1, 2) + "]}";

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
        answer(exchange, 200, LIST);
    }

    private static HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create(SENDER + path)).timeout(Duration.ofSeconds(5));
    }

    public static void main(String[] args) throws Exception {
        HttpServer world = HttpServer.create(new InetSocketAddress("127.0.0.1", PORT), 0);
        world.setExecutor(Executors.newCachedThreadPool());
        world.createContext("/v1/servers", Training::watch);
        world.createContext("/v1/messages", exchange -> answer(exchange, 200, "{}"));
        world.createContext("/reports", exchange -> answer(exchange, 204, ""));
        world.start();
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
        for (int i = 0; i < 20; i++) {
            client.send(request("c").header("X-Call-Id", "id-" + i)
                    .header("X-Call-Class", "c").header("X-Caller", "t").header("X-Budget-Ms", "1500")
                    .header("Idempotency-Key", "key-" + i).header("X-Envelope", "dest=" + (1 + i % 2))
                    .POST(HttpRequest.BodyPublishers.ofString("{}")).build(), BodyHandlers.discarding());
        }
        // Until the notices of what could not be delivered are out.
        Thread.sleep(2000);
        System.exit(0);
    }
}
