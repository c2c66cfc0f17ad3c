package merlinlever.replication;

/** A letter to another, by its name; it may be lost, late, doubled or out of order. */
public record OutgoingMessage(String to, byte[] body) {}
