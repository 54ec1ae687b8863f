/**
 * Which endpoints are members: the word of several sources made into one view, with damping of flaps and a floor under
 * each pool. Pure: no I/O, and no clock but the time it is told. Uses nothing of the project. Where a message goes is
 * still the decision module's affair.
 */
package slipfield.membership;
