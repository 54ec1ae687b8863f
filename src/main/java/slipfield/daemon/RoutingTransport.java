package slipfield.daemon;

import java.net.SocketAddress;
import java.util.HashSet;
import java.util.Set;
import slipfield.core.Transport;
import slipfield.journal.PendingMessage;
import slipfield.policy.DeliveryPolicy;
import slipfield.transport.amqp.ConsumerAddress;

/** Two transports as one: an endpoint's address says which is its. */
final class RoutingTransport implements Transport {
    private final Transport network;
    private final Transport queues;
    private final Set<Long> consumers = new HashSet<>();

    RoutingTransport(Transport network, Transport queues) {
        this.network = network;
        this.queues = queues;
    }

    private Transport of(long endpoint) {
        return consumers.contains(endpoint) ? queues : network;
    }

    @Override
    public void start() {
        network.start();
        queues.start();
    }

    @Override
    public void updateEndpoint(long endpoint, SocketAddress address, boolean serving) {
        if (address instanceof ConsumerAddress) {
            consumers.add(endpoint);
        }
        of(endpoint).updateEndpoint(endpoint, address, serving);
    }

    @Override
    public void stop(long endpoint) {
        of(endpoint).stop(endpoint);
    }

    @Override
    public void forget(long endpoint) {
        of(endpoint).forget(endpoint);
        consumers.remove(endpoint);
    }

    @Override
    public Attempt attempt(PendingMessage held, int number, long endpoint, DeliveryPolicy.AttemptTiming within,
            long decidedNanos) {
        return of(endpoint).attempt(held, number, endpoint, within, decidedNanos);
    }

    @Override
    public void closeIdle(long endpoint) {
        of(endpoint).closeIdle(endpoint);
    }
}
