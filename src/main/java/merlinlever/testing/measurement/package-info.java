/** Measures parts of the program against plain ones in one run, and keeps the results as tables and charts. */
package merlinlever.testing.measurement;
