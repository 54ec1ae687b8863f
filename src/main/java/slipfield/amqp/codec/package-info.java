/**
 * The AMQP 0-9-1 wire format: methods, content, field tables and reply codes, encoded to and decoded from Netty buffers. Holds
 * no connection state beyond the decoding of frames, and may use only Netty's buffers and codecs.
 */
package slipfield.amqp.codec;
