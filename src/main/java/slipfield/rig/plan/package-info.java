/**
 * What goes wrong when: faults, schedules of them (drawn from a seed, shrunk), and what a link does to the data that goes over
 * it. Pure: no I/O, no clock but the time told, all chance from a generator that is handed in. Uses nothing of the project.
 */
package slipfield.rig.plan;
