/**
 * Where endpoints come from: the platform's list. May use {@code core}, {@code agent}, {@code config}.
 */
package slipfield.directory;
