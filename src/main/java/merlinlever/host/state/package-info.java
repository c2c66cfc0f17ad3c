/** Decides when instances are started, told to leave and given up, and what is so of each. No input or output. */
package merlinlever.host.state;
