/**
 * Background work: who does it, on the loop and on a small pool. What is done when is decided by {@code work.decide}. Knows
 * nothing of what the work is. May use Netty's loop and {@code log}.
 */
package slipfield.work;
