package slipfield.daemon;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import slipfield.amqp.AmqpConfig;
import slipfield.amqp.client.BrokerLinks;
import slipfield.amqp.server.AmqpServer;
import slipfield.amqp.server.ConnectionReport;
import slipfield.config.BadInput;
import slipfield.config.Config;
import slipfield.core.AnswerChannel;
import slipfield.core.Directory;
import slipfield.core.Frontend;
import slipfield.core.MessageIntake;
import slipfield.core.Transport;
import slipfield.front.amqp.PublisherFrontend;
import slipfield.journal.PendingAnswer;
import slipfield.memory.MemoryGuard;
import slipfield.state.BackgroundJsonFile;
import slipfield.work.Worker;
import slipfield.transport.amqp.ConsumerTransport;

/** The components that AMQP adds to a sender. Their classes are loaded only if the operator has set a file for AMQP. */
final class AmqpComponents {
    /** The name of the answer channel and of the directory. */
    static final String NAME = PublisherFrontend.NAME;

    /** The status file of the AMQP connections, in the state folder. */
    static final String VIEW = "amqp.json";
    /** Least time between two writes of the file, in ms. */
    private static final long VIEW_MS = 1000;
    /** Time between two writes per connection, in ms, if that is more than {@link #VIEW_MS}. */
    private static final long VIEW_MS_EACH = 10;

    private final AmqpConfig config;
    private final MemoryGuard memory;
    private AmqpServer server;
    private ConsumerTransport queues;
    private PublisherFrontend publishers;
    private final BackgroundJsonFile view;
    private EventLoop loop;
    private String epoch;

    private AmqpComponents(AmqpConfig config, Path state, MemoryGuard memory) {
        this.config = config;
        this.memory = memory;
        this.view = new BackgroundJsonFile(state.resolve(VIEW), "amqp.view_unwritable");
    }

    static AmqpComponents read(Path file, Config sender, MemoryGuard memory) throws IOException, BadInput {
        return new AmqpComponents(AmqpConfig.read(file, new AmqpConfig.KnownNames(sender.classes(), sender.tenants(),
                sender.kinds(), sender.zones())), sender.state(), memory);
    }

    /** The content of the status file. */
    record View(long writtenMs, List<ConnectionReport> connections) {
    }

    int rememberedIds() {
        return config.limits().knownIds();
    }

    Transport transport(Transport network, EventLoop loop, Worker worker, Transport.AttemptListener listener) {
        view.setWorker(worker);
        epoch = Long.toHexString(System.currentTimeMillis());
        server = new AmqpServer(loop, config, epoch, memory);
        this.loop = loop;
        queues = new ConsumerTransport(loop, config.limits().awayMs(), listener);
        return new RoutingTransport(network, queues);
    }

    AnswerChannel answerChannel(Consumer<PendingAnswer> acknowledged) {
        publishers = new PublisherFrontend(server, config.routes(), acknowledged);
        server.setHandlers(publishers, queues);
        return publishers;
    }

    Directory directory() {
        return queues;
    }

    /** Each connection with its channels and unsettled messages; to be called on the sender's event loop. */
    List<ConnectionReport> report() {
        return server.report();
    }

    /** Writes the file each second, less often with many connections: 1000 connections of 10 channels make 1 MB. */
    private void writeView() {
        List<ConnectionReport> now = report();
        long wallMs = System.currentTimeMillis();
        view.write(() -> new View(wallMs, now));
        loop.schedule(this::writeView, Math.max(VIEW_MS, now.size() * VIEW_MS_EACH), TimeUnit.MILLISECONDS);
    }

    List<InetSocketAddress> addresses() {
        return publishers.addresses();
    }

    Frontend frontend(MessageIntake messageIntake) throws IOException {
        publishers.setIntake(messageIntake, new BrokerLinks(loop, config, epoch, queues, publishers));
        writeView();
        return publishers;
    }
}
