/**
 * Attempts at endpoints over HTTP/1.1, and the connections kept to them. May use {@code core} and what that uses, and {@code socket}.
 */
package slipfield.transport.http;
