package slipfield.daemon;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.file.Path;
import java.util.function.Consumer;
import slipfield.amqp.server.AmqpConfig;
import slipfield.amqp.server.AmqpServer;
import slipfield.config.BadInput;
import slipfield.config.Config;
import slipfield.core.Desk;
import slipfield.core.Directory;
import slipfield.core.Front;
import slipfield.core.Outcome;
import slipfield.core.Transport;
import slipfield.front.amqp.Publications;
import slipfield.journal.Owed;
import slipfield.transport.amqp.Queues;

/** What AMQP adds to a sender. No class of it is loaded unless the operator's file is named. */
final class AmqpParts {
    /** The outcome's and the directory's name. */
    static final String NAME = Publications.NAME;

    private final AmqpConfig config;
    private AmqpServer server;
    private Queues queues;
    private Publications publications;

    private AmqpParts(AmqpConfig config) {
        this.config = config;
    }

    static AmqpParts read(Path file, Config sender) throws IOException, BadInput {
        return new AmqpParts(AmqpConfig.read(file, new AmqpConfig.Known(sender.classes(), sender.tenants(),
                sender.kinds(), sender.zones())));
    }

    int idsKnown() {
        return config.limits().knownIds();
    }

    Transport beside(Transport network, EventLoop loop, Transport.Ends ends) {
        server = new AmqpServer(loop, config, Long.toHexString(System.currentTimeMillis()));
        queues = new Queues(loop, config, ends);
        return new Ways(network, queues);
    }

    Outcome outcome(Consumer<Owed> heard) {
        publications = new Publications(server, config.routes(), heard);
        server.over(publications, queues);
        return publications;
    }

    Directory directory() {
        return queues;
    }

    Front front(Desk desk) {
        publications.over(desk);
        return publications;
    }
}
