package merlinlever.host.run;

import java.time.Duration;

/**
 * Something that happened to an instance.
 *
 * @param number counts the events of the agent from 1
 * @param at the time since the start of the agent's clock
 * @param text for operators
 */
public record InstanceEvent(long number, Duration at, String instance, String text) {}
