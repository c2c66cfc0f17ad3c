/** The fleet as one: who is there, how far a backend's word goes, and what it may do then. Decisions alone. */
package merlinlever.view;
