/**
 * Sockets as the program uses them, so that a system call that fails for a moment ends one connection attempt and nothing else.
 * Uses {@code log} alone.
 */
package slipfield.socket;
