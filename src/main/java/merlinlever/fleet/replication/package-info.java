/**
 * State that the backends of a fleet share: a store of versioned entries, each written by its owner alone and
 * replicated by gossip until all replicas are equal ({@link merlinlever.fleet.replication.ReplicatedStore}), and
 * registers that are written once for the whole fleet by consensus ({@link merlinlever.fleet.replication.PaxosNode}).
 * The package contains protocol logic only: time and received messages are passed in, outgoing messages and pending
 * writes are returned.
 */
package merlinlever.fleet.replication;
