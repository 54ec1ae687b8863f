/**
 * What a client of senders decides: whether an order may be handed in again, where and when; how many are in flight; when
 * connections are made anew. Pure: no I/O, no clock but the time it is told, nothing of the rest of the project.
 */
package slipfield.client.decide;
