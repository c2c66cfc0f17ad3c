/** Simulated peers of a backend in the test harness: the agent, the records service and the load generator. */
package merlinlever.testing.faults.standins;
