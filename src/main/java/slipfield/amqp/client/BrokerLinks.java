package slipfield.amqp.client;

import io.netty.channel.EventLoop;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import slipfield.amqp.AmqpConfig;
import slipfield.amqp.ConsumerHandler;
import slipfield.amqp.PublishHandler;

/** All brokers elsewhere that the operator's file names. */
public final class BrokerLinks {
    private final EventLoop loop;
    private final List<BrokerPublisher> targets = new ArrayList<>();
    private final List<BrokerConsumer> sources = new ArrayList<>();

    /** Will publish to targets for one, and hand in what sources deliver at the other. */
    public BrokerLinks(EventLoop loop, AmqpConfig config, String epoch, ConsumerHandler consuming, PublishHandler publishing)
            throws IOException {
        this.loop = loop;
        for (AmqpConfig.Outbound out : config.outbound()) {
            targets.add(new BrokerPublisher(loop, out, context(out.broker()), config.limits(), consuming));
        }
        for (AmqpConfig.Inbound in : config.inbound()) {
            sources.add(new BrokerConsumer(loop, in, context(in.broker()), config.limits(), epoch, publishing));
        }
    }

    private static Optional<SslContext> context(AmqpConfig.Broker broker) throws IOException {
        if (broker.tls().isEmpty()) {
            return Optional.empty();
        }
        AmqpConfig.ClientTls tls = broker.tls().get();
        SslContextBuilder builder = SslContextBuilder.forClient().trustManager(tls.trust().toFile());
        if (tls.certificate().isPresent()) {
            builder.keyManager(tls.certificate().get().toFile(), tls.key().orElseThrow().toFile());
        }
        return Optional.of(builder.build());
    }

    /** Connects to all, and again whenever one is down. */
    public void dial() {
        loop.execute(() -> {
            targets.forEach(BrokerPublisher::dial);
            sources.forEach(BrokerConsumer::dial);
        });
    }

    /** Takes nothing more from sources; what is out to targets ends, or is lost with the process. */
    public void close() {
        sources.forEach(BrokerConsumer::close);
    }
}
