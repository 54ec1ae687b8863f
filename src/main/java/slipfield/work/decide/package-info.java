/**
 * Scheduling of background work: grades, budgets, dependencies between jobs, which jobs are shed and which kinds of work are
 * stopped. Pure logic: no I/O, no clock (callers pass the time).
 */
package slipfield.work.decide;
