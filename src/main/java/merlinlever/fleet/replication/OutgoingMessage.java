package merlinlever.fleet.replication;

/**
 * A message to another backend. Messages may be lost, delayed, duplicated or reordered.
 *
 * @param receiver name of the backend
 */
public record OutgoingMessage(String receiver, byte[] body) {}
