/**
 * The HTTP connection to the platform's agent on this machine, over which its list is watched and its notices are sent.
 */
package slipfield.agent;
