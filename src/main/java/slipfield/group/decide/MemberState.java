package slipfield.group.decide;

/**
 * The assumed state of a member. Of two rumors about the same incarnation, the one with the later constant supersedes the
 * other. Messages carry the ordinal.
 */
public enum MemberState {
    /** It was heard, or another member reports that it is there. */
    ALIVE,
    /** It did not answer a probe. It may refute that with a later incarnation. */
    SUSPECT,
    /** It was suspected for a time in which it would have refuted that. */
    DEAD,
    /** It has announced that it leaves. */
    LEFT
}
