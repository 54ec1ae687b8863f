/**
 * The decisions of an AMQP peer: routing of publishes, publisher confirms, prefetch, heartbeats, back pressure, logins, and
 * the assembly of contents. Pure logic: no I/O, no buffers, no clock (callers pass the time).
 */
package slipfield.amqp.decide;
