/**
 * Runtime of the host agent: launches and monitors the processes of the instances of one machine, polls the status of
 * the instances, and polls the other agents. All code runs on the thread of the event loop.
 */
package merlinlever.host.run;
