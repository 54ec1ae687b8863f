/**
 * Endpoints and their health from Consul's HTTP API, version 1, and the sender's registration in Consul. Everything here runs
 * on a separate event loop, because reading answers of several megabytes would delay the core's loop. May use
 * {@code agent}, {@code config}, {@code membership} and {@code log}.
 */
package slipfield.directory.consul;
