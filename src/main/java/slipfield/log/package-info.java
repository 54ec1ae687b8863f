/**
 * Lines for the people on call. Uses nothing.
 */
package slipfield.log;
