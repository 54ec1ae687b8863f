package slipfield.daemon;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import slipfield.amqp.AmqpConfig;
import slipfield.amqp.client.Brokers;
import slipfield.amqp.server.AmqpServer;
import slipfield.amqp.server.ConnectionReport;
import slipfield.config.BadInput;
import slipfield.config.Config;
import slipfield.core.AnswerChannel;
import slipfield.core.Directory;
import slipfield.core.Frontend;
import slipfield.core.MessageIntake;
import slipfield.core.Transport;
import slipfield.front.amqp.Publications;
import slipfield.journal.PendingAnswer;
import slipfield.state.BackgroundJsonFile;
import slipfield.work.Worker;
import slipfield.transport.amqp.Queues;

/** What AMQP adds to a sender. No class of it is loaded unless the operator's file is named. */
final class AmqpComponents {
    /** The outcome's and the directory's name. */
    static final String NAME = Publications.NAME;

    /** The file of what stands, in the state folder, written so often. */
    static final String VIEW = "amqp.json";
    private static final long VIEW_MS = 1000;
    private static final long VIEW_MS_EACH = 10;

    private final AmqpConfig config;
    private AmqpServer server;
    private Queues queues;
    private Publications publications;
    private final BackgroundJsonFile view;
    private EventLoop loop;
    private String epoch;

    private AmqpComponents(AmqpConfig config, Path state) {
        this.config = config;
        this.view = new BackgroundJsonFile(state.resolve(VIEW), "amqp.view_unwritable");
    }

    static AmqpComponents read(Path file, Config sender) throws IOException, BadInput {
        return new AmqpComponents(AmqpConfig.read(file, new AmqpConfig.Known(sender.classes(), sender.tenants(),
                sender.kinds(), sender.zones())), sender.state());
    }

    /** What the file holds. */
    record View(long writtenMs, List<ConnectionReport> connections) {
    }

    int rememberedIds() {
        return config.limits().knownIds();
    }

    Transport transport(Transport network, EventLoop loop, Worker worker, Transport.AttemptListener ends) {
        view.setWorker(worker);
        epoch = Long.toHexString(System.currentTimeMillis());
        server = new AmqpServer(loop, config, epoch);
        this.loop = loop;
        queues = new Queues(loop, config.limits().awayMs(), ends);
        return new RoutingTransport(network, queues);
    }

    AnswerChannel answerChannel(Consumer<PendingAnswer> heard) {
        publications = new Publications(server, config.routes(), heard);
        server.over(publications, queues);
        return publications;
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
        return publications.addresses();
    }

    Frontend frontend(MessageIntake desk) throws IOException {
        publications.over(desk, new Brokers(loop, config, epoch, queues, publications));
        writeView();
        return publications;
    }
}
