package merlinlever.shared;

/** A letter to another, by its name; it may be lost, late, doubled or out of order. */
public record Carry(String to, byte[] body) {}
