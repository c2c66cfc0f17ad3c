/** What an instance tells of itself to whoever manages it, on an address of its own; absent unless configured. */
package merlinlever.management;
