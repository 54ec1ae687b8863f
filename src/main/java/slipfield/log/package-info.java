/**
 * Log events for operators: SLF4J over the JDK's logging, as text or as JSON. It depends on no other package of the project.
 */
package slipfield.log;
