package slipfield.group.decide;

/** What a member is held to be; of two words of one incarnation the later one here goes before. */
public enum MemberState {
    /** It was heard, or somebody says so. */
    ALIVE,
    /** It did not answer somebody; it may say that it is there, by a later incarnation. */
    SUSPECT,
    /** It was suspected for so long that it would have said so. */
    DEAD,
    /** It said that it goes. */
    LEFT
}
