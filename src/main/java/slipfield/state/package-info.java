/** Small files in the state folder besides the journal: what people look at, and what a next life may begin with. */
package slipfield.state;
