/**
 * Traces what the event loop does, for developers who look for where its time went. It is switched on by system properties and
 * costs nothing when off: its callers check a constant before they use a class of it. It depends on no other package of the
 * project.
 */
package slipfield.trace;
