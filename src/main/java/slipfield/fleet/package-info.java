/**
 * Rules that keep many senders from overloading a service that they share: when discovery is asked again. Pure logic: no I/O,
 * no clock of its own, no dependency on the rest of the project.
 */
package slipfield.fleet;
