/** Simulated peers of a backend inside the test harness: its agent, the records service and the load generator. */
package merlinlever.testing.faults.standins;
