package slipfield.amqp.server;

import java.util.List;

/**
 * The state of a connection, for display.
 *
 * @param user empty until the client has logged in
 * @param paused whether it is not read because of too many unsettled messages
 * @param readsNothing whether the client does not read what it is sent
 */
public record ConnectionReport(String peer, String user, String state, boolean paused, boolean readsNothing,
        List<ChannelReport> channels) {
    /** A channel: publications without a final answer, consumers, and their unsettled deliveries ({@code out}). */
    public record ChannelReport(int number, int unconfirmed, int consumers, int out) {
    }

    /** Publications without a final answer on all channels. */
    public int unconfirmed() {
        return channels.stream().mapToInt(ChannelReport::unconfirmed).sum();
    }
}
