/**
 * Where final answers go: the platform's notices. May use {@code core}, {@code journal}, {@code agent}.
 */
package slipfield.outcome;
