/**
 * What every long-running command of the libraries shares: its options, its logging, its event loop and its shutdown on
 * SIGTERM.
 */
package merlinlever.cli.service;
