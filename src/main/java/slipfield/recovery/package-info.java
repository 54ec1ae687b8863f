/**
 * Decides in which order, and in batches of which size, the messages of the previous process are processed after a restart.
 * Pure logic: no I/O, no clock, no dependency on the rest of the project.
 */
package slipfield.recovery;
