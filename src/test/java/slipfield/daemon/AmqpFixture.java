package slipfield.daemon;

import com.rabbitmq.client.Connection;
import com.rabbitmq.client.ConnectionFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeoutException;
import slipfield.amqp.Secret;
import slipfield.amqp.server.ConnectionReport;
import slipfield.config.Config;
import slipfield.standin.TrialWorld;

/** Runs a sender with AMQP in this process, with one venue over HTTP (destination 1) and a queue (destination 7). */
final class AmqpFixture implements AutoCloseable {
    static final String PASSWORD = "secret of tests";
    static final String QUEUE = "venue-7";
    static final String EXCHANGE = "orders";
    private static final long GIVE_UP_MS = 24_000;
    /** Hashed with cost 1, so that it is checked at once: these tests don't test the cost of logins, and clients wait 5 s. */
    private static final String HASHED = Secret.of(PASSWORD, 1).toString();
    private static final int HANDSHAKE_MS = 120_000;

    final TrialWorld world;
    final Path folder;
    Daemon daemon;

    AmqpFixture(Path folder) throws Exception {
        this(folder, "limits: {heartbeat: 10s}\n");
    }

    /** {@code more}: further settings of the file, besides listener, users, exchanges and queues. */
    AmqpFixture(Path folder, String more) throws Exception {
        this(folder, more, GIVE_UP_MS);
    }

    AmqpFixture(Path folder, String more, long giveUpMs) throws Exception {
        this.folder = folder;
        world = new TrialWorld(folder, new TrialWorld.Size(1, 1e6, 0, giveUpMs, 4000, 256));
        Files.writeString(folder.resolve("amqp.yaml"), file("127.0.0.1:0", more));
        Files.createDirectories(folder.resolve("state"));
    }

    static String file(String listen, String more) {
        return """
                listen: %s
                users:
                  - {name: desk, secret: "%s", tenant: desk, publish: [orders]}
                  - {name: broker, secret: "%s", consume: [venue-7]}
                exchanges:
                  - name: orders
                    routes:
                      - {key: order.*, class: order, destination_word: 2}
                      - {key: once.*, class: once, destination_word: 2}
                queues:
                  - {name: venue-7, destination: 7, kind: m, zone: a}
                """.formatted(listen, HASHED, HASHED) + more;
    }

    AmqpFixture start() throws Exception {
        daemon = new Daemon(Config.read(Map.of("GW_CONFIG", folder.resolve("config.json").toString(), "GW_STATE",
                folder.resolve("state").toString(), "SLIPFIELD_AMQP", folder.resolve("amqp.yaml").toString())));
        daemon.start();
        return this;
    }

    InetSocketAddress address() {
        return daemon.addresses().get(1);
    }

    List<ConnectionReport> report() {
        return daemon.amqpConnections();
    }

    static ConnectionFactory factory(String user, int port) {
        ConnectionFactory factory = new ConnectionFactory();
        factory.setHost("127.0.0.1");
        factory.setPort(port);
        factory.setUsername(user);
        factory.setPassword(PASSWORD);
        factory.setAutomaticRecoveryEnabled(false);
        factory.setHandshakeTimeout(HANDSHAKE_MS);
        return factory;
    }

    Connection connect(String user) throws IOException, TimeoutException {
        return factory(user, address().getPort()).newConnection();
    }

    @Override
    public void close() {
        if (daemon != null) {
            daemon.kill();
        }
        world.close();
    }
}
