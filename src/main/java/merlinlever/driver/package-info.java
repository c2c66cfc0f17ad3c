/**
 * Drives one overload controller: {@link merlinlever.driver.ControllerDriver} owns the controller, the mapping of its
 * handles to the requests of a {@link merlinlever.driver.DecisionHandler}, and its next wake-up. The backend, the
 * simulator's adapter, the DNS server and the host agent's API use it, each on its own loop's thread.
 */
package merlinlever.driver;
