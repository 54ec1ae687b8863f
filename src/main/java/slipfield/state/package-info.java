/**
 * Small files in the state folder besides the journal: what people look at, and what a next life may begin with. May use
 * {@code work} and {@code log}.
 */
package slipfield.state;
