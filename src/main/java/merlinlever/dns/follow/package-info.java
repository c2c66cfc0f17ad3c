/** Decides how a name in a zone follows the live instances. No input or output. */
package merlinlever.dns.follow;
