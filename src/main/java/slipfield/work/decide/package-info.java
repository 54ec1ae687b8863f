/** Which background work is done when: grades, budgets, dependencies, what is shed and what is stopped. Pure. */
package slipfield.work.decide;
