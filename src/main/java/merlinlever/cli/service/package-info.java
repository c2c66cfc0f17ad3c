/**
 * Shared parts of the long-running commands that use libraries: options, logging, event loop and shutdown on SIGTERM.
 */
package merlinlever.cli.service;
