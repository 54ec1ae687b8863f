/**
 * The decisions of a client of senders: whether an order may be submitted again, to which sender and when; how many
 * submissions are in flight; when connections are reopened. Pure logic: no I/O, no clock (callers pass the time), and no
 * dependency on the rest of the project.
 */
package slipfield.client.decide;
