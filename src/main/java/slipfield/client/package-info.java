/**
 * What a desk embeds to hand orders in at senders: one final answer each, within its time. Stands in a jar of its own with
 * {@code client.decide} and nothing else of this program; may use Netty, Jackson, snakeyaml-engine and SLF4J.
 */
package slipfield.client;
