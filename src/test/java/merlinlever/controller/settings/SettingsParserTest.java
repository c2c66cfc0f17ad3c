package merlinlever.controller.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import merlinlever.common.json.Json;
import org.junit.jupiter.api.Test;

/** Tests parsing the settings from both of their formats, a configuration file and an enlistment line. */
class SettingsParserTest {

    private static final String CONFIGURATION_FILE =
            "{\"family-info\":{\"n-cores\":12,\"memory-kb\":11040.0,\"blowup\":4.0,\"kb-per-key\":18.85,"
                    + "\"gauges\":[\"cpu_busy\",\"runnable\",\"mem_used\",\"sockets\"],\"calls-by-class\":[true,false],"
                    + "\"say\":\"level\",\"below\":\"silent\",\"cold\":false},\"bounds\":{\"retry-after\":true},"
                    + "\"invariants\":{\"drain-grace\":2000.0,\"overload-factor\":8.0},\"tenants\":[],\"services\":["
                    + "{\"name\":\"buy\",\"semantics\":\"by_key\",\"aim\":350.0,\"hard-limit\":1140.0,\"gain\":4.0}]}";

    private static final String ENLISTMENT =
            "family-info.n-cores=12 family-info.memory-kb=11040.0 family-info.blowup=4.0"
                    + " family-info.kb-per-key=18.85 family-info.gauges=cpu_busy,runnable,mem_used,sockets"
                    + " family-info.calls-by-class=true,false family-info.say=level family-info.below=silent"
                    + " family-info.cold=false bounds.retry-after=true invariants.drain-grace=2000.0"
                    + " invariants.overload-factor=8.0 tenants= services.0.name=buy services.0.semantics=by_key"
                    + " services.0.aim=350.0 services.0.hard-limit=1140.0 services.0.gain=4.0";

    @Test
    void configurationFileAndEnlistmentGiveTheSameSettings() throws Json.MalformedJsonException {
        Map<String, String> enlistment = new HashMap<>();
        for (String field : ENLISTMENT.split(" ")) {
            int equals = field.indexOf('=');
            enlistment.put(field.substring(0, equals), field.substring(equals + 1));
        }
        RawSettings raw = RawSettings.of(Json.flatten(Json.parseObject(CONFIGURATION_FILE)));
        assertEquals(RawSettings.of(enlistment), raw);
        ControllerSettings settings = SettingsParser.parse(raw);
        assertEquals(
                RequestSemantics.IDEMPOTENT_BY_KEY,
                settings.priorityClasses().get(0).semantics());
        assertEquals(
                List.of(Gauge.CPU_BUSY, Gauge.RUN_QUEUE, Gauge.MEMORY, Gauge.CONNECTIONS),
                settings.server().gauges());
        assertEquals(List.of(), RawSettings.of(enlistment).unknownPaths());
    }

    /** A misspelled setting would silently have its default. */
    @Test
    void unknownNamesAreReported() {
        assertEquals(
                List.of("family-info.cpus"),
                RawSettings.of(Map.of("family-info.cpus", "3", "services.2.aim", "1"))
                        .unknownPaths());
    }
}
