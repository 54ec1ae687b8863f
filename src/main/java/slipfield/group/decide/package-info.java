/**
 * Failure detection among the senders of a fleet: the SWIM protocol with incarnations and suspicion (Das, Gupta and Motivala
 * 2002) and awareness of the member's own slowness (Dadgar, Phillips and Currey 2018, "Lifeguard"). Members reach no
 * agreement; each has a view of its own, with the age of what it knows. Pure logic: no I/O, no clock other than the time passed
 * in, no dependency on the rest of the project.
 */
package slipfield.group.decide;
