/**
 * Membership: which agents or backends there are, by what they tell each other (SWIM: A. Das, I. Gupta, A. Motivala, 2002, with its
 * suspicion and incarnations; local health of A. Dadgar, J. Phillips, J. Currey, Lifeguard, 2017). {@link
 * merlinlever.fleet.membership.MemberTable} is what each believes, {@link merlinlever.fleet.membership.SwimProtocol} whom it pings when; neither
 * does input or output. {@link merlinlever.fleet.membership.net.MembershipTransport} carries them, and messages of other protocols, in UDP
 * datagrams.
 */
package merlinlever.fleet.membership;
