/**
 * Group membership among senders, over the datagrams that the platform carries between them: the wire format. Which members are
 * alive is decided in {@code group.decide}. Nothing in the sender uses this package yet.
 */
package slipfield.group;
