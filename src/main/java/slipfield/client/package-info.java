/**
 * The client library: submits orders to senders and gives each exactly one final answer within its time limit. It is packaged
 * in a separate jar with {@code client.decide} and nothing else of this program; it may use Netty, Jackson, snakeyaml-engine
 * and SLF4J.
 */
package slipfield.client;
