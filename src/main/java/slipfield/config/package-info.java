/**
 * Reads and checks a sender's environment variables and JSON configuration. May use {@code policy}, whose settings it creates,
 * {@code log} and {@code retry}.
 */
package slipfield.config;
