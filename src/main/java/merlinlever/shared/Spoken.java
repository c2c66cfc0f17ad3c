package merlinlever.shared;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** What a letter says, in words: for logs and drawings. */
public final class Spoken {

    /** Kinds of letters. */
    public enum Kind {
        SUMS,
        VERSIONS,
        WANT,
        WORDS,
        NOTHING
    }

    /** @param what in a few words; values as text, of a few letters at the most */
    public record Letter(Kind kind, String what) {}

    private static final int MOST = 20;

    private Spoken() {}

    public static Letter of(byte[] body) {
        Object letter = Letters.read(body);
        List<String> parts = new ArrayList<>();
        if (letter instanceof Letters.Sums) {
            return new Letter(Kind.SUMS, "sums of all I hold");
        } else if (letter instanceof Letters.Lines lines) {
            lines.lines()
                    .forEach(line -> parts.add(key(line.key()) + " " + line.incarnation() + "." + line.sequence()));
            return new Letter(
                    Kind.VERSIONS, parts.isEmpty() ? "I hold none there" : "I hold " + String.join(", ", parts));
        } else if (letter instanceof Letters.Want want) {
            want.keys().forEach(key -> parts.add(key(key)));
            return new Letter(Kind.WANT, "give me " + String.join(", ", parts));
        } else if (letter instanceof Letters.Told told) {
            told.words().forEach(each -> parts.add(of(each.word())));
            return new Letter(Kind.WORDS, String.join(", ", parts));
        }
        return new Letter(Kind.NOTHING, "not understood");
    }

    private static String key(Word.Key key) {
        return key.owner() + "'s " + key.topic();
    }

    private static String of(Word word) {
        String value = word.clashes()
                ? "claimed twice"
                : word.takenBack() ? "taken back" : new String(word.value(), StandardCharsets.UTF_8);
        return key(word.key()) + " " + word.incarnation() + "." + word.sequence() + ": "
                + (value.length() > MOST ? value.substring(0, MOST) + "..." : value);
    }
}
