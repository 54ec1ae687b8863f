/**
 * One endpoint list from several sources: the platform's list, Consul, and the operator's file, merged by {@code membership}, and
 * stored on disk. May use {@code core}, {@code directory}, {@code directory.consul},
 * {@code membership}, {@code config} and {@code log}.
 */
package slipfield.directory.merged;
