/**
 * One directory of several sources: the platform's list, Consul, and a file of the operator's, merged by
 * {@code membership}; and what is kept of it on disk. May use {@code core}, {@code directory}, {@code directory.consul},
 * {@code membership}, {@code config} and {@code log}.
 */
package slipfield.directory.merged;
