package slipfield.amqp.server;

import java.util.List;

/**
 * A connection as people see it.
 *
 * @param user empty until it has logged in
 * @param paused it is not read, since too much of it is unsettled
 * @param readsNothing it does not take what it is sent
 */
public record ConnectionReport(String peer, String user, String state, boolean paused, boolean readsNothing,
        List<ChannelReport> channels) {
    /** A channel: publishes without an end, consumers, and deliveries that are out to them. */
    public record ChannelReport(int number, int unconfirmed, int consumers, int out) {
    }

    /** Publishes without an end, of all its channels. */
    public int unconfirmed() {
        return channels.stream().mapToInt(ChannelReport::unconfirmed).sum();
    }
}
