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
 * A thread that hands a task to the loop may be suspended at any line, by the system or the runtime. The loop must
 * neither wait for it nor spin until it goes on. This test debugs a second process: it suspends the thread at each line
 * that it passes, and the loop's timers must keep running.
 */
class TaskHandOffTest {

    private static final int HAND_OFFS = 8;
    private static final long MAX_WAIT_NANOS = 3_000_000_000L;

    @Test
    void timersKeepRunningWhileTheHandingThreadIsSuspendedAtAnyLine() throws Exception {
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
                assertTrue(events != null, "nothing came from the second process");
                for (Event event : events) {
                    if (event instanceof ClassPrepareEvent ready) {
                        program = ready.referenceType();
                        EventRequest at = machine.eventRequestManager()
                                .createBreakpointRequest(
                                        program.methodsByName("handOff").get(0).location());
                        at.setSuspendPolicy(EventRequest.SUSPEND_EVENT_THREAD);
                        at.enable();
                    } else if (event instanceof BreakpointEvent begun) {
                        StepRequest step = machine.eventRequestManager()
                                .createStepRequest(begun.thread(), StepRequest.STEP_LINE, StepRequest.STEP_INTO);
                        step.setSuspendPolicy(EventRequest.SUSPEND_EVENT_THREAD);
                        step.enable();
                    } else if (event instanceof StepEvent at) {
                        boolean over = at.location().declaringType().equals(program)
                                && at.location().method().name().equals("main");
                        if (over) {
                            event.request().disable();
                            machine.eventRequestManager().deleteEventRequest(event.request());
                            handOffs++;
                        } else {
                            assertTimersKeepRunning(program, at);
                            suspendedLines++;
                        }
                    }
                }
                events.resume();
            }
            assertTrue(suspendedLines >= HAND_OFFS * 10, "held at " + suspendedLines + " lines alone");
        } finally {
            machine.exit(0);
        }
    }

    /** Waits for further runs of the timer while the thread is suspended. */
    private static void assertTimersKeepRunning(ReferenceType program, LocatableEvent at) throws InterruptedException {
        Field ticks = program.fieldByName("ticks");
        int before = ((IntegerValue) program.getValue(ticks)).value();
        long deadlineNanos = System.nanoTime() + MAX_WAIT_NANOS;
        while (((IntegerValue) program.getValue(ticks)).value() < before + 3) {
            assertTrue(
                    System.nanoTime() < deadlineNanos,
                    "the loop stands still while " + at.thread().name() + " is held at "
                            + at.location().declaringType().name() + "."
                            + at.location().method().name() + ", line "
                            + at.location().lineNumber());
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
