/**
 * The sender's accepted messages, kept across restarts: messages, their attempts and the recipients of their final answers;
 * the record format and the correction of damaged records; the clock by which times are moved from one process to the next.
 * May use {@code policy}, {@code log}, {@code retry} and {@code trace}; knows no socket.
 */
package slipfield.journal;
