/**
 * AMQP 0-9-1 on the wire: its methods, content, field tables and reply codes, as frames of Netty's buffers. It keeps no
 * state of a connection and may use Netty's buffers and codecs alone.
 */
package slipfield.amqp.codec;
