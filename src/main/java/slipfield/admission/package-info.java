/**
 * Admission control: a sender promises a final answer in time, so it accepts only as many messages as it can answer. Pure
 * logic: no I/O, no clock other than the time passed in, no dependency on the rest of the project.
 */
package slipfield.admission;
