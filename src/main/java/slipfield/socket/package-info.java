/**
 * TCP channels for Netty that limit the effect of a transient system call failure to one connection attempt. This package uses
 * only {@code log}.
 */
package slipfield.socket;
