/**
 * The rules, read off a record of what venues, desks and the platform saw, and off nothing that a sender says of itself. Pure;
 * uses the stand-ins' word for what was seen.
 */
package slipfield.rig.check;
