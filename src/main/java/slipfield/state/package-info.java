/**
 * Small files in the state folder besides the journal: files for display, and files that the process after a restart may read.
 * May use {@code work} and {@code log}.
 */
package slipfield.state;
