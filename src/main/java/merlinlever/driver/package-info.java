/**
 * Drives one overload controller: {@link merlinlever.driver.ControllerDriver} maps its handles to the requests of a
 * {@link merlinlever.driver.DecisionHandler}, keeps its next wake-up and passes on its decisions. The backend, the
 * simulator's adapter, the DNS server and the host agent's API use it, each on its own loop's thread.
 */
package merlinlever.driver;
