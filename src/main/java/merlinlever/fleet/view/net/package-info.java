/** Connects the membership view to the event loop and to the datagrams of the membership protocol. */
package merlinlever.fleet.view.net;
