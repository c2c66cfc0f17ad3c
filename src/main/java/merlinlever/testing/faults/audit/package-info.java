/** What is so against what the processes say, judged from outside them. */
package merlinlever.testing.faults.audit;
