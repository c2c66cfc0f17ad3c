package merlinlever.host.run;

import java.time.Duration;

/**
 * Event of an instance.
 *
 * @param number sequence number among the events of the agent, from 1
 * @param at time of the event on the clock of the agent
 * @param text description for operators
 */
public record InstanceEvent(long number, Duration at, String instance, String text) {}
