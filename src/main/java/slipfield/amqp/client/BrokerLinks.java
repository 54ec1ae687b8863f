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

/** The links to all brokers in the operator's file. */
public final class BrokerLinks {
    private final EventLoop loop;
    private final List<BrokerPublisher> publishers = new ArrayList<>();
    private final List<BrokerConsumer> consumers = new ArrayList<>();

    /** Creates the links; outbound brokers become consumers, and messages from inbound ones are published to the handler. */
    public BrokerLinks(EventLoop loop, AmqpConfig config, String epoch, ConsumerHandler consumerHandler,
            PublishHandler publishHandler) throws IOException {
        this.loop = loop;
        for (AmqpConfig.Outbound out : config.outbound()) {
            publishers.add(new BrokerPublisher(loop, out, sslContext(out.broker()), config.limits(), consumerHandler));
        }
        for (AmqpConfig.Inbound in : config.inbound()) {
            consumers.add(new BrokerConsumer(loop, in, sslContext(in.broker()), config.limits(), epoch, publishHandler));
        }
    }

    private static Optional<SslContext> sslContext(AmqpConfig.Broker broker) throws IOException {
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

    /** Connects to all brokers, and reconnects whenever a link is lost. */
    public void dial() {
        loop.execute(() -> {
            publishers.forEach(BrokerPublisher::dial);
            consumers.forEach(BrokerConsumer::dial);
        });
    }

    /** Stops consuming. Messages that are published and not confirmed yet are settled, or lost with the process. */
    public void close() {
        consumers.forEach(BrokerConsumer::close);
    }
}
