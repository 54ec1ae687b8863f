/**
 * The decision module: its interface and its decisions. Pure: no I/O, no clock but the time that it is told, no
 * other package of this program.
 */
package slipfield.policy;
