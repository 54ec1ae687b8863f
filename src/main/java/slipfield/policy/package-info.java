/**
 * Decides which attempts a sender makes: when, to which endpoint, and when a message gets its final answer. The code is
 * deterministic: it does no I/O, reads no clock but the time passed to it, and depends on no other package of this program.
 */
package slipfield.policy;
