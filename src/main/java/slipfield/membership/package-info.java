/**
 * Decides which endpoints are members: merges the lists of several sources into one view, damps endpoints that flap, and
 * keeps a minimum of endpoints in each pool. Pure logic: no I/O, no clock other than the time passed in, no dependency on the
 * rest of the project. Which member a message goes to is decided by the decision module.
 */
package slipfield.membership;
