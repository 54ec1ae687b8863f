/**
 * The front by which clients hand messages in over HTTP/1.1. May use {@code core} and what that uses, and {@code socket}.
 */
package slipfield.front.http;
