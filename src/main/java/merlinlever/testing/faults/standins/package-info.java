/** Stand-ins for the parties round a backend, in the harness's process: the agent that runs operations, and callers. */
package merlinlever.testing.faults.standins;
