/**
 * Sources of endpoints: the platform's endpoint list. May use {@code core}, {@code agent}, {@code config},
 * {@code fleet}.
 */
package slipfield.directory;
