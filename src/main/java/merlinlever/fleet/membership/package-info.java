/**
 * Gossip-based membership of agents and backends (SWIM: A. Das, I. Gupta, A. Motivala, 2002, with suspicion and
 * incarnations; Lifeguard: A. Dadgar, J. Phillips, J. Currey, 2017, with local health).
 * {@link merlinlever.fleet.membership.MemberTable} holds the member records and
 * {@link merlinlever.fleet.membership.SwimProtocol} probes the members; neither does I/O.
 * {@link merlinlever.fleet.membership.net.MembershipTransport} sends and receives the messages, including messages of
 * other protocols, in UDP datagrams.
 */
package merlinlever.fleet.membership;
