/**
 * Assembles a sender from its configuration, handles its signals, and warms up its code before it listens. May use every
 * package except {@code cli}, {@code sim} and {@code standin}.
 */
package slipfield.daemon;
