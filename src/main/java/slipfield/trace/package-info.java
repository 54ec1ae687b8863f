/**
 * An account of what the event loop does, for the people who look for where its time went. It is switched on by
 * a system property and costs nothing when off: its callers ask a constant before they name a class of it. It
 * uses nothing of the project.
 */
package slipfield.trace;
