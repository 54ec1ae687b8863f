/**
 * Steps of a start that are tried again while the system fails for a moment. Uses {@code log} alone.
 */
package slipfield.retry;
