/** The membership view on the event loop and membership's datagrams. */
package merlinlever.fleet.view.net;
