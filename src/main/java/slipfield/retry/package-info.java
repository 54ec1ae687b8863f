/**
 * Retries steps of the startup that fail because of a temporary system error. Depends on {@code log} only.
 */
package slipfield.retry;
