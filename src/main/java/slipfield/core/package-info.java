/**
 * The event loop, its turns, the numbering, the messages in hand, taking up what an earlier life held, and the end. It
 * owns the ports: {@link slipfield.core.Frontend}, {@link slipfield.core.Transport}, {@link slipfield.core.Directory},
 * {@link slipfield.core.AnswerChannel}. It asks {@code policy} for every decision and knows no protocol.
 */
package slipfield.core;
