package merlinlever.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import merlinlever.json.Json;
import net.jqwik.api.Example;

/** The two forms in which the same is stated at start. */
class SettingsTranslatorTest {

    @Example
    void aConfigurationAndASetupLineSayTheSame() throws Json.MalformedJsonException {
        String json = "{\"family-info\":{\"n-cores\":12,\"memory-kb\":11040.0,\"blowup\":4.0,\"kb-per-key\":18.85,"
                + "\"gauges\":[\"cpu_busy\",\"runnable\",\"mem_used\",\"sockets\"],\"calls-by-class\":[true,false],"
                + "\"say\":\"level\",\"below\":\"silent\",\"cold\":false},\"bounds\":{\"retry-after\":true},"
                + "\"invariants\":{\"drain-grace\":2000.0,\"overload-factor\":8.0},\"tenants\":[],\"services\":["
                + "{\"name\":\"buy\",\"semantics\":\"by_key\",\"aim\":350.0,\"hard-limit\":1140.0,\"gain\":4.0}]}";
        String setup = "family-info.n-cores=12 family-info.memory-kb=11040.0 family-info.blowup=4.0"
                + " family-info.kb-per-key=18.85 family-info.gauges=cpu_busy,runnable,mem_used,sockets"
                + " family-info.calls-by-class=true,false family-info.say=level family-info.below=silent"
                + " family-info.cold=false bounds.retry-after=true invariants.drain-grace=2000.0"
                + " invariants.overload-factor=8.0 tenants= services.0.name=buy services.0.semantics=by_key"
                + " services.0.aim=350.0 services.0.hard-limit=1140.0 services.0.gain=4.0";
        Map<String, String> line = new HashMap<>();
        for (String pair : setup.split(" ")) {
            line.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
        }
        Map<String, String> ours = SettingsTranslator.translate(Json.flat(Json.object(json)));
        assertEquals(SettingsTranslator.translate(line), ours);
        assertEquals("fingerprinted", ours.get("tariffs.0.kind"));
        assertEquals("busy,run-queue,memory,connections", ours.get("server.gauges"));
        assertEquals(List.of(), SettingsTranslator.unknown(line));
    }

    /** A name that changed would fall back to a default in silence. */
    @Example
    void aNameThatIsNotKnownIsFound() {
        assertEquals(
                List.of("family-info.cpus"),
                SettingsTranslator.unknown(Map.of("family-info.cpus", "3", "services.2.aim", "1")));
    }
}
