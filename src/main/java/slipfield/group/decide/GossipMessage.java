package slipfield.group.decide;

import java.util.List;

/**
 * A datagram between two members.
 *
 * @param from the member that sent it
 * @param sequence the sender's number of the probe that it belongs to; an answer repeats the number of its request
 * @param target the member that the probe is about
 * @param rumors what the sender knows about members, starting with itself
 */
public record GossipMessage(Kind kind, int from, long sequence, int target, List<MembershipRumor> rumors) {
    /** The most rumors that fit into the 256 bytes that the platform carries. */
    public static final int MAX_RUMORS = 34;
    /** The most members that a message can name. */
    public static final int MAX_MEMBERS = 1 << 16;

    /** The purpose of a message. The wire carries the ordinal. */
    public enum Kind {
        /** Asks whether the receiver is there. */
        PING,
        /** The target is there. */
        ACK,
        /** Asks the receiver to ping the target and to pass its answer on. */
        PING_REQUEST,
        /** The receiver of a {@link #PING_REQUEST} is there, but the target did not answer it in time. */
        NACK
    }

    /** Copies the list. */
    public GossipMessage {
        rumors = List.copyOf(rumors);
    }
}
