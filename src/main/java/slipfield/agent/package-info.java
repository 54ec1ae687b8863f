/**
 * HTTP client of the platform's agent on the local machine, which serves the endpoint list and receives notices.
 */
package slipfield.agent;
