/**
 * What is done first with the messages that an earlier life held, and how much of it in one turn of the loop.
 * It decides from what it is told: no I/O, no clock, nothing of the rest of the project.
 */
package slipfield.recovery;
