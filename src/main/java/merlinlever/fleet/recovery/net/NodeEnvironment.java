package merlinlever.fleet.recovery.net;

import java.util.function.LongSupplier;
import merlinlever.common.net.EventLoop;
import merlinlever.common.storage.StateDirectory;

/**
 * The resources of the host that a process uses.
 *
 * @param loop the event loop, on whose thread all callbacks run
 * @param directory the state directory, which the creator of this record closes
 * @param unixClock the Unix clock, in milliseconds
 */
public record NodeEnvironment(EventLoop loop, StateDirectory directory, LongSupplier unixClock) {}
