/**
 * Which agents there are, by what they tell each other (SWIM: A. Das, I. Gupta, A. Motivala, 2002; its suspicion and
 * incarnations; local health of A. Dadgar, J. Phillips, J. Currey, Lifeguard, 2017). {@link merlinlever.membership.Views} is
 * what each believes, {@link merlinlever.membership.Members} whom it asks when; neither does input or output.
 */
package merlinlever.membership;
