/**
 * The channel for notices to the platform of messages that ended undelivered. May use {@code core}, {@code journal} and {@code
 * agent}.
 */
package slipfield.outcome;
