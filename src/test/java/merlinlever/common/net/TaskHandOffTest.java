package merlinlever.common.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.jdi.Bootstrap;
import com.sun.jdi.Field;
import com.sun.jdi.IntegerValue;
import com.sun.jdi.ReferenceType;
import com.sun.jdi.VirtualMachine;
import com.sun.jdi.connect.Connector;
import com.sun.jdi.connect.LaunchingConnector;
import com.sun.jdi.event.BreakpointEvent;
import com.sun.jdi.event.ClassPrepareEvent;
import com.sun.jdi.event.Event;
import com.sun.jdi.event.EventSet;
import com.sun.jdi.event.LocatableEvent;
import com.sun.jdi.event.StepEvent;
import com.sun.jdi.request.ClassPrepareRequest;
import com.sun.jdi.request.EventRequest;
import com.sun.jdi.request.StepRequest;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against a loop that waits for a thread suspended inside {@link EventLoop#execute}. The test debugs a second
 * process, suspends the submitting thread at each line of the method, and expects the loop's timers to keep running.
 */
class TaskHandOffTest {

    private static final int HAND_OFFS = 8;
    private static final long MAX_WAIT_NANOS = 3_000_000_000L;

    @Test
    void timersKeepRunningWhileTheSubmittingThreadIsSuspendedAtAnyLine() throws Exception {
        VirtualMachine machine = launch();
        try {
            ClassPrepareRequest classPrepareRequest =
                    machine.eventRequestManager().createClassPrepareRequest();
            classPrepareRequest.addClassFilter(TaskHandOffProgram.class.getName());
            classPrepareRequest.setSuspendPolicy(EventRequest.SUSPEND_ALL);
            classPrepareRequest.enable();
            machine.resume();
            ReferenceType program = null;
            int handOffs = 0;
            int suspendedLines = 0;
            while (handOffs < HAND_OFFS) {
                EventSet events = machine.eventQueue().remove(60_000);
                assertTrue(events != null, "no debugger event from the second process");
                for (Event event : events) {
                    if (event instanceof ClassPrepareEvent prepared) {
                        program = prepared.referenceType();
                        EventRequest breakpoint = machine.eventRequestManager()
                                .createBreakpointRequest(
                                        program.methodsByName("handOff").get(0).location());
                        breakpoint.setSuspendPolicy(EventRequest.SUSPEND_EVENT_THREAD);
                        breakpoint.enable();
                    } else if (event instanceof BreakpointEvent breakpointHit) {
                        StepRequest stepRequest = machine.eventRequestManager()
                                .createStepRequest(
                                        breakpointHit.thread(), StepRequest.STEP_LINE, StepRequest.STEP_INTO);
                        stepRequest.setSuspendPolicy(EventRequest.SUSPEND_EVENT_THREAD);
                        stepRequest.enable();
                    } else if (event instanceof StepEvent step) {
                        boolean returned = step.location().declaringType().equals(program)
                                && step.location().method().name().equals("main");
                        if (returned) {
                            event.request().disable();
                            machine.eventRequestManager().deleteEventRequest(event.request());
                            handOffs++;
                        } else {
                            assertTimersKeepRunning(program, step);
                            suspendedLines++;
                        }
                    }
                }
                events.resume();
            }
            assertTrue(suspendedLines >= HAND_OFFS * 10, "suspended at only " + suspendedLines + " lines");
        } finally {
            machine.exit(0);
        }
    }

    /** Asserts that the periodic timer keeps running while the submitting thread is suspended. */
    private static void assertTimersKeepRunning(ReferenceType program, LocatableEvent event)
            throws InterruptedException {
        Field ticks = program.fieldByName("ticks");
        int before = ((IntegerValue) program.getValue(ticks)).value();
        long deadlineNanos = System.nanoTime() + MAX_WAIT_NANOS;
        while (((IntegerValue) program.getValue(ticks)).value() < before + 3) {
            assertTrue(
                    System.nanoTime() < deadlineNanos,
                    "the loop is blocked while " + event.thread().name() + " is suspended at "
                            + event.location().declaringType().name() + "."
                            + event.location().method().name() + ", line "
                            + event.location().lineNumber());
            Thread.sleep(1);
        }
    }

    private static VirtualMachine launch() throws Exception {
        LaunchingConnector connector = Bootstrap.virtualMachineManager().defaultConnector();
        Map<String, Connector.Argument> arguments = connector.defaultArguments();
        arguments.get("main").setValue(TaskHandOffProgram.class.getName());
        arguments.get("options").setValue("-cp " + String.join(":", List.of("target/classes", "target/test-classes")));
        assertTrue(Files.isDirectory(Path.of("target/test-classes")));
        return connector.launch(arguments);
    }
}
