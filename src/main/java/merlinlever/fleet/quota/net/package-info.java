/** Exchange of lease requests and grants among the backends in membership datagrams. */
package merlinlever.fleet.quota.net;
