/** Questions, updates and transfers to other servers, on the house's loop. */
package merlinlever.dns.client;
