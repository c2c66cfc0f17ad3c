/** A backend's sight of the fleet, over membership's datagrams. */
package merlinlever.view.net;
