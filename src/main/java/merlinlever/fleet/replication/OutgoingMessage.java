package merlinlever.fleet.replication;

/** A message to another backend, by its name. It may be lost, delayed, duplicated or reordered. */
public record OutgoingMessage(String receiver, byte[] body) {}
