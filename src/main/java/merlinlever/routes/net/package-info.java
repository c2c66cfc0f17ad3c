/** Calls to partner sites, behind the same seam as those to the own records service. */
package merlinlever.routes.net;
