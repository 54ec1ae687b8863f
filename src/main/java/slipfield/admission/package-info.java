/**
 * Whether a message is taken on: a sender promises an end in time, and takes on less than it can end. It decides
 * from what it is told: no I/O, no clock but the time that it is told, nothing of the rest of the project.
 */
package slipfield.admission;
