/** The few small types through which the decision module, {@link merlinlever.policy.Control}, is called. */
package merlinlever;
