/**
 * The types through which the overload controller, {@link merlinlever.policy.OverloadController}, is called: a request
 * is submitted with its {@link merlinlever.RequestAttributes}, its events go to its
 * {@link merlinlever.RequestHandle}, and what is decided comes back as {@link merlinlever.Decisions}.
 */
package merlinlever;
