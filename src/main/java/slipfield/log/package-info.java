/**
 * Events for the people on call: SLF4J over the JDK's logging, laid out as text or as JSON. Uses nothing of the project.
 */
package slipfield.log;
