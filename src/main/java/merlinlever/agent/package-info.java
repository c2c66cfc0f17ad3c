/** The render farm agent, which runs the operations: its notices, and the link to it. */
package merlinlever.agent;
