/** Budgets among the backends: promises, questions for shares and their answers, over membership's datagrams. */
package merlinlever.quota.net;
