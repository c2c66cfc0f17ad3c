/**
 * The types through which the overload controller, {@link merlinlever.policy.OverloadController}, is called: a request
 * is submitted with its {@link merlinlever.controller.RequestAttributes}, its events go to its
 * {@link merlinlever.controller.RequestHandle}, and what is decided comes back as {@link merlinlever.controller.Decisions}.
 */
package merlinlever.controller;
