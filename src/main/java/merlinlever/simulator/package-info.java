/**
 * Adapter between the line protocol of the simulator and the controllers of simulated servers: decodes events and
 * encodes decisions. {@link merlinlever.simulator.WireHost}, which {@code cli.Main} starts, owns the controllers by
 * server name. The adapter runs on the main thread, in the simulator's virtual time.
 */
package merlinlever.simulator;
