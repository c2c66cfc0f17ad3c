/**
 * State that the backends of a fleet share: a store of versioned entries, each written by its owner alone and replicated by gossip until all
 * replicas are equal ({@link merlinlever.fleet.replication.ReplicatedStore}), and registers that are written once for the whole fleet by
 * consensus ({@link merlinlever.fleet.replication.PaxosNode}). Protocol logic only: time, messages and writes are passed in and out.
 */
package merlinlever.fleet.replication;
