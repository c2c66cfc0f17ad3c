package merlinlever.common.json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class JsonTest {

    @Test
    void valuesAreParsed() throws Json.MalformedJsonException {
        assertEquals(
                Map.of("a", Arrays.asList(1L, -2.5, 1e3, true, false, null), "b", Map.of("c", "x\n\u00e9\"")),
                Json.parse(" {\"a\":[1,-2.5,1e3,true,false,null],\"b\":{\"c\":\"x\\n\\u00e9\\\"\"}} "));
        assertEquals(List.of(), Json.parse("[]"));
        assertEquals(
                "{a.0.b=1, c=1,2, d.e=true}",
                Json.flatten(Json.parseObject("{\"a\":[{\"b\":1}],\"c\":[1,2],\"d\":{\"e\":true}}"))
                        .toString());
    }

    @Test
    void malformedTextIsRejected() {
        for (String malformed : new String[] {
            "",
            "{",
            "[1,]",
            "{\"a\"}",
            "01",
            "1.",
            "--1",
            "tru",
            "\"a",
            "\"\\x\"",
            "\"\\u12\"",
            "\"\u0001\"",
            "1 2",
            "{a:1}",
            "[".repeat(100),
            "+1",
            "NaN"
        }) {
            assertThrows(Json.MalformedJsonException.class, () -> Json.parse(malformed), malformed);
        }
    }

    @Property(tries = 500, seed = "45")
    void quotedTextIsParsedBack(@ForAll String text) throws Json.MalformedJsonException {
        assertEquals(text, Json.parse(Json.quote(text)));
    }
}
