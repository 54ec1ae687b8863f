package slipfield.group.decide;

import java.util.List;

/**
 * A datagram between two members.
 *
 * @param kind what it is for
 * @param from who sent it
 * @param round the sender's number of the probe that it belongs to; an answer has that of its question
 * @param target whom the probe is about
 * @param rumors what the sender says of members, its own first
 */
public record GossipMessage(Kind kind, int from, long round, int target, List<MembershipRumor> rumors) {
    /** Words that fit the 256 bytes that the platform carries. */
    public static final int MAX_RUMORS = 34;
    /** Members that a note can name. */
    public static final int MAX_MEMBERS = 1 << 16;

    /** What a note is for. */
    public enum Kind {
        /** Is the receiver there? */
        PING,
        /** The target is. */
        ACK,
        /** Let the receiver ask the target, and pass its answer on. */
        PING_REQUEST,
        /** The receiver of an {@link #PING_REQUEST} is there, and has not heard of the target in its time. */
        NACK
    }

    /** Takes a copy of the words. */
    public GossipMessage {
        rumors = List.copyOf(rumors);
    }
}
