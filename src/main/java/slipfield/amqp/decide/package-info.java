/**
 * What an AMQP peer is decided by: where a publish goes, what is confirmed and when, who may have another delivery, who is
 * alive, who waits, who logs in. Pure: no I/O, no buffers, and no clock but the time it is told.
 */
package slipfield.amqp.decide;
