package merlinlever.fleet.recovery.net;

import java.util.function.LongSupplier;
import merlinlever.common.net.EventLoop;
import merlinlever.common.storage.StateDirectory;

/**
 * What a process runs on.
 *
 * @param loop the event loop, on whose thread everything runs
 * @param directory where the state is kept; stays its owner's to close
 * @param unixClock the Unix clock, in milliseconds
 */
public record NodeEnvironment(EventLoop loop, StateDirectory directory, LongSupplier unixClock) {}
