/** Processes and connections of the host agent. */
package merlinlever.host.run;
