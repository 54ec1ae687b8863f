/**
 * The frontend through which clients submit messages over HTTP/1.1. It may use {@code core} and its dependencies, and
 * {@code socket}.
 */
package slipfield.front.http;
