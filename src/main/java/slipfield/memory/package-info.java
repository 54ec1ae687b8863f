/**
 * Accounts for the heap that peers make the sender hold, and decides who gives it back. {@link slipfield.memory.MemoryBudget} has
 * no I/O; {@link slipfield.memory.MemoryGuard} logs. This package uses only {@code log}.
 */
package slipfield.memory;
