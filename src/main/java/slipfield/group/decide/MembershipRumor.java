package slipfield.group.decide;

/**
 * What is said of a member.
 *
 * @param member its number, from 0
 * @param state what it is held to be
 * @param incarnation of its own making: a later one goes before all that is said of earlier ones; 0 to 2^32 - 1
 */
public record MembershipRumor(int member, MemberState state, long incarnation) {
    /** Whether it goes before another word of the same member. */
    boolean supersedes(MembershipRumor other) {
        return incarnation != other.incarnation ? incarnation > other.incarnation
                : state.ordinal() > other.state.ordinal();
    }
}
