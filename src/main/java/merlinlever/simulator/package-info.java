/**
 * The adapter between the bench's line protocol, on which servers are simulated, and their controllers: decodes events,
 * encodes decisions and decides nothing.
 */
package merlinlever.simulator;
