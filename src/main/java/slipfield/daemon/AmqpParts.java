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
import slipfield.state.BackgroundJsonFile;
import slipfield.work.Worker;
import slipfield.transport.amqp.ConsumerTransport;

/** What AMQP adds to a sender. No class of it is loaded unless the operator's file is named. */
final class AmqpParts {
    /** The outcome's and the directory's name. */
    static final String NAME = PublisherFrontend.NAME;

    /** The file of what stands, in the state folder, written so often. */
    static final String VIEW = "amqp.json";
    private static final long VIEW_MS = 1000;
    private static final long VIEW_MS_EACH = 10;

    private final AmqpConfig config;
    private AmqpServer server;
    private ConsumerTransport queues;
    private PublisherFrontend publishers;
    private final BackgroundJsonFile view;
    private EventLoop loop;
    private String epoch;

    private AmqpParts(AmqpConfig config, Path state) {
        this.config = config;
        this.view = new BackgroundJsonFile(state.resolve(VIEW), "amqp.view_unwritable");
    }

    static AmqpParts read(Path file, Config sender) throws IOException, BadInput {
        return new AmqpParts(AmqpConfig.read(file, new AmqpConfig.KnownNames(sender.classes(), sender.tenants(),
                sender.kinds(), sender.zones())), sender.state());
    }

    /** What the file holds. */
    record View(long writtenMs, List<ConnectionReport> connections) {
    }

    int idsKnown() {
        return config.limits().knownIds();
    }

    Transport beside(Transport network, EventLoop loop, Worker worker, Transport.AttemptListener ends) {
        view.setWorker(worker);
        epoch = Long.toHexString(System.currentTimeMillis());
        server = new AmqpServer(loop, config, epoch);
        this.loop = loop;
        queues = new ConsumerTransport(loop, config.limits().awayMs(), ends);
        return new Ways(network, queues);
    }

    AnswerChannel outcome(Consumer<PendingAnswer> heard) {
        publishers = new PublisherFrontend(server, config.routes(), heard);
        server.setHandlers(publishers, queues);
        return publishers;
    }

    Directory directory() {
        return queues;
    }

    /** Connections, channels and what is unsettled; asked on the core's loop. */
    List<ConnectionReport> report() {
        return server.report();
    }

    /** Each second, and less often where much is to be told: a thousand connections of ten channels are a megabyte. */
    private void writeView() {
        List<ConnectionReport> now = report();
        long wallMs = System.currentTimeMillis();
        view.write(() -> new View(wallMs, now));
        loop.schedule(this::writeView, Math.max(VIEW_MS, now.size() * VIEW_MS_EACH), TimeUnit.MILLISECONDS);
    }

    List<InetSocketAddress> addresses() {
        return publishers.addresses();
    }

    Frontend front(MessageIntake desk) throws IOException {
        publishers.setIntake(desk, new BrokerLinks(loop, config, epoch, queues, publishers));
        writeView();
        return publishers;
    }
}
