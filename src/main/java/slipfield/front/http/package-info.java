/**
 * The front by which clients hand messages in over HTTP/1.1. May use {@code core} and what that uses.
 */
package slipfield.front.http;
