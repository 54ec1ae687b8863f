package slipfield.group.decide;

/**
 * The state that is reported for a member.
 *
 * @param member its number, from 0
 * @param state its reported state
 * @param incarnation set only by the member itself, 0 to 2^32 - 1; a later one supersedes every report about earlier ones
 */
public record MembershipRumor(int member, MemberState state, long incarnation) {
    /** Returns whether this rumor is newer than another one about the same member. */
    boolean supersedes(MembershipRumor other) {
        return incarnation != other.incarnation ? incarnation > other.incarnation
                : state.ordinal() > other.state.ordinal();
    }
}
