/** Edge nodes: heads parsed in place, one connection with at most one operation in hand, the listening side. */
package merlinlever.http;
