/** The decision module, {@link merlinlever.Control}, and the few small types through which it is called. */
package merlinlever;
