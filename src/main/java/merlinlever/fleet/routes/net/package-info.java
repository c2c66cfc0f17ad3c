/** Partner sites on the event loop: files that hold partners' tables, and calls that go to partners. */
package merlinlever.fleet.routes.net;
