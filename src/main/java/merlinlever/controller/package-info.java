/**
 * Interface types of the overload controller, {@link merlinlever.policy.OverloadController}. A request is submitted
 * with its {@link merlinlever.controller.RequestAttributes}, later events of the request are reported to its
 * {@link merlinlever.controller.RequestHandle}, and the controller returns {@link merlinlever.controller.Decisions}.
 */
package merlinlever.controller;
