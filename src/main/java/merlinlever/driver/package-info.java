/**
 * Driver of one overload controller. {@link merlinlever.driver.ControllerDriver} owns the controller, its next wake-up,
 * and the mapping of its handles to the requests of a {@link merlinlever.driver.DecisionHandler}. The backend, the
 * simulator's adapter, the DNS server and the host agent's API each use a driver on the thread of their event loop.
 */
package merlinlever.driver;
