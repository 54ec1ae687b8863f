/**
 * Runs background work, on the event loop and on a small thread pool; {@code work.decide} decides what runs when. Knows nothing
 * of what the work does. May use Netty's event loop and {@code log}.
 */
package slipfield.work;
