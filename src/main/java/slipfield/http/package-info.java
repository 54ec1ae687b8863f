/** What the HTTP/1.1 clients and servers of this program share: limits on received messages. It uses only Netty. */
package slipfield.http;
