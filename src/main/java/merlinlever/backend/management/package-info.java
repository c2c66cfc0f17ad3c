/** The management endpoint, which reports an instance's state on an address of its own; absent unless configured. */
package merlinlever.backend.management;
