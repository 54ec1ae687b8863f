/**
 * Stand-ins on loopback for what a sender meets: a scripted server, and what is built on it. Tests, first runs and
 * load measurements share them; the sender itself never loads one.
 */
package slipfield.standin;
