/** The exchange of lease requests and grants among the backends, over membership's datagrams. */
package merlinlever.fleet.quota.net;
