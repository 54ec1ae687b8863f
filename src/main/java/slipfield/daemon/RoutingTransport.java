package slipfield.daemon;

import java.net.SocketAddress;
import java.util.HashSet;
import java.util.Set;
import slipfield.core.Transport;
import slipfield.journal.PendingMessage;
import slipfield.policy.DeliveryPolicy;
import slipfield.transport.amqp.ConsumerAddress;

/** Combines two transports: consumers of AMQP queues are reached by one, all other endpoints by the network transport. */
final class RoutingTransport implements Transport {
    private final Transport network;
    private final Transport queues;
    private final Set<Long> queueEndpoints = new HashSet<>();

    RoutingTransport(Transport network, Transport queues) {
        this.network = network;
        this.queues = queues;
    }

    private Transport transportOf(long endpoint) {
        return queueEndpoints.contains(endpoint) ? queues : network;
    }

    @Override
    public void start() {
        network.start();
        queues.start();
    }

    @Override
    public void updateEndpoint(long endpoint, SocketAddress address, boolean serving) {
        if (address instanceof ConsumerAddress) {
            queueEndpoints.add(endpoint);
        }
        transportOf(endpoint).updateEndpoint(endpoint, address, serving);
    }

    @Override
    public void stop(long endpoint) {
        transportOf(endpoint).stop(endpoint);
    }

    @Override
    public void forget(long endpoint) {
        transportOf(endpoint).forget(endpoint);
        queueEndpoints.remove(endpoint);
    }

    @Override
    public Attempt attempt(PendingMessage message, int number, long endpoint, DeliveryPolicy.AttemptTiming timing,
            long decidedNanos) {
        return transportOf(endpoint).attempt(message, number, endpoint, timing, decidedNanos);
    }

    @Override
    public void closeIdle(long endpoint) {
        transportOf(endpoint).closeIdle(endpoint);
    }
}
