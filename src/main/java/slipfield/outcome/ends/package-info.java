/**
 * Final answers for clients that poll for them over HTTP: retained until acknowledged, up to limits of time, number and size.
 * May use {@code core}, {@code journal}, {@code config}, {@code settings} and {@code log}. Off unless an operator's file
 * enables it.
 */
package slipfield.outcome.ends;
