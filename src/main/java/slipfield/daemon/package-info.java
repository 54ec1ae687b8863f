/**
 * A sender with its parts: what is built from a configuration, the signals, and the rehearsal before it listens. May
 * use every package but {@code cli}, {@code sim} and {@code standin}.
 */
package slipfield.daemon;
