/** Who leads: terms, promises and leases among stated voters. Decisions alone. */
package merlinlever.election;
