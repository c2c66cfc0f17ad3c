/**
 * The host agent at work: launches and watches the processes of one machine's instances, polls them, and asks the other
 * agents. Everything runs on the thread of the event loop.
 */
package merlinlever.host.run;
