/**
 * What was taken on, across lives: messages, their attempts, who has to hear of their ends; records and their mending;
 * the reckoning of time between lives. May use {@code policy}, {@code log}, {@code retry} and {@code
 * trace}; knows no socket.
 */
package slipfield.journal;
