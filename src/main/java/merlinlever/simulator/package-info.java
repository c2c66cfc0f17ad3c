/**
 * The adapter between the line protocol of the simulator and the controllers of its simulated servers: decodes events,
 * encodes decisions and decides nothing. {@link merlinlever.simulator.WireHost} owns the controllers by server name;
 * {@code cli.Main} starts it. Everything runs on the main thread, in the simulator's virtual time.
 */
package merlinlever.simulator;
