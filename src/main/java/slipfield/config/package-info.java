/**
 * What a sender is told by its environment and its configuration, read and checked. May use {@code policy}, whose
 * settings it makes, {@code log} and {@code retry}.
 */
package slipfield.config;
