/**
 * Many senders as processes, and a network between all parties that can be cut, slowed, and made to lose: {@code
 * rig.plan} says what goes wrong when, {@code rig.check} says from what the parties saw whether the rules held, and this
 * package carries the first out and hands the second its record. It stands on the stand-ins and on nothing of the sender
 * but its command; the sender loads none of it.
 */
package slipfield.rig;
