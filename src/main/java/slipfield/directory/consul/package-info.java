/**
 * Endpoints and their health from Consul's HTTP API, version 1, and the sender's own registration there. All of it runs on
 * an event loop of its own: answers may be megabytes, and the core's loop is not held up to read them. May use
 * {@code agent}, {@code config}, {@code membership} and {@code log}.
 */
package slipfield.directory.consul;
