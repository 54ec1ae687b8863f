/**
 * The core of a sender: the event loop, its iterations, message and endpoint numbers, pending messages, recovery of what an
 * earlier process left in the journal, and shutdown. It defines the ports {@link slipfield.core.Frontend}, {@link
 * slipfield.core.Transport}, {@link slipfield.core.Directory} and {@link slipfield.core.AnswerChannel}. It asks {@code policy}
 * for every decision and depends on no protocol.
 */
package slipfield.core;
