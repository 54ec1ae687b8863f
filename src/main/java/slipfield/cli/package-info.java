/**
 * The command line, on picocli: first runs, load measurements, a look into a journal. May use every package; the sender
 * that {@code serve} runs loads no class of it.
 */
package slipfield.cli;
