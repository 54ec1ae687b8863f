/**
 * Attempts at endpoints over HTTP/1.1, and the pool of connections to them. This package may use {@code core}, the dependencies
 * of {@code core}, and {@code socket}.
 */
package slipfield.transport.http;
