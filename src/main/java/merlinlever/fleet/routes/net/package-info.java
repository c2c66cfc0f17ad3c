/** Network and file access for partner routes: reads the tables of partners from files, and sends calls to partners. */
package merlinlever.fleet.routes.net;
