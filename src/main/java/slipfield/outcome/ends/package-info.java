/**
 * Final answers to clients that follow them over HTTP: kept until heard, bounded by time, number and size. May use {@code
 * core}, {@code journal}, {@code config}, {@code settings} and {@code log}. Off unless an operator's file sets it up.
 */
package slipfield.outcome.ends;
