package merlinlever.net;

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
import net.jqwik.api.Example;

/**
 * A thread that hands a task to the loop may be held for any time at any line of it: the machine runs another one, or
 * the runtime stops it. The loop must neither wait for it nor turn round and round until it goes on. Here a second
 * process is looked into: the one thread is held at each line that it passes, and the loop's timers have to go on.
 */
class TaskHandOffTest {

    private static final int HAND_OVERS = 8;
    private static final long LONGEST = 3_000_000_000L;

    @Example
    void theLoopGoesOnWhereverAHandOverIsHeld() throws Exception {
        VirtualMachine machine = launch();
        try {
            ClassPrepareRequest prepared = machine.eventRequestManager().createClassPrepareRequest();
            prepared.addClassFilter(TaskHandOffProgram.class.getName());
            prepared.setSuspendPolicy(EventRequest.SUSPEND_ALL);
            prepared.enable();
            machine.resume();
            ReferenceType type = null;
            int handOvers = 0;
            int held = 0;
            while (handOvers < HAND_OVERS) {
                EventSet set = machine.eventQueue().remove(60_000);
                assertTrue(set != null, "nothing came from the second process");
                for (Event event : set) {
                    if (event instanceof ClassPrepareEvent ready) {
                        type = ready.referenceType();
                        EventRequest at = machine.eventRequestManager()
                                .createBreakpointRequest(
                                        type.methodsByName("handOver").get(0).location());
                        at.setSuspendPolicy(EventRequest.SUSPEND_EVENT_THREAD);
                        at.enable();
                    } else if (event instanceof BreakpointEvent begun) {
                        StepRequest step = machine.eventRequestManager()
                                .createStepRequest(begun.thread(), StepRequest.STEP_LINE, StepRequest.STEP_INTO);
                        step.setSuspendPolicy(EventRequest.SUSPEND_EVENT_THREAD);
                        step.enable();
                    } else if (event instanceof StepEvent at) {
                        boolean over = at.location().declaringType().equals(type)
                                && at.location().method().name().equals("main");
                        if (over) {
                            event.request().disable();
                            machine.eventRequestManager().deleteEventRequest(event.request());
                            handOvers++;
                        } else {
                            goesOn(type, at);
                            held++;
                        }
                    }
                }
                set.resume();
            }
            assertTrue(held >= HAND_OVERS * 10, "held at " + held + " lines alone");
        } finally {
            machine.exit(0);
        }
    }

    /** Waits for another turn of the timer while the thread is held. */
    private static void goesOn(ReferenceType type, LocatableEvent at) throws InterruptedException {
        Field ticks = type.fieldByName("ticks");
        int before = ((IntegerValue) type.getValue(ticks)).value();
        long until = System.nanoTime() + LONGEST;
        while (((IntegerValue) type.getValue(ticks)).value() < before + 3) {
            assertTrue(
                    System.nanoTime() < until,
                    "the loop stands still while " + at.thread().name() + " is held at "
                            + at.location().declaringType().name() + "."
                            + at.location().method().name() + ", line "
                            + at.location().lineNumber());
            Thread.sleep(1);
        }
    }

    private static VirtualMachine launch() throws Exception {
        LaunchingConnector connector = Bootstrap.virtualMachineManager().defaultConnector();
        Map<String, Connector.Argument> given = connector.defaultArguments();
        given.get("main").setValue(TaskHandOffProgram.class.getName());
        given.get("options").setValue("-cp " + String.join(":", List.of("target/classes", "target/test-classes")));
        assertTrue(Files.isDirectory(Path.of("target/test-classes")));
        return connector.launch(given);
    }
}
