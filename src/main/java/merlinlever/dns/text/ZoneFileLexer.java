package merlinlever.dns.text;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import merlinlever.dns.record.MalformedDnsException;

/** Cuts the octets of a zone file into entries and these into words; knows of parentheses, quotes, escapes, comments. */
final class ZoneFileLexer {

    /** Words of one entry, and octets of one word, at the most. */
    static final int MOST_WORDS = 8_192;

    static final int MOST_WORD = 65_535 * 2;

    private final byte[] text;
    private int at;
    private int line = 1;

    /** Of the last entry: where it began, whether its first word was left out, its words. */
    private int startLine;

    private boolean blank;
    private final List<String> words = new ArrayList<>();

    ZoneFileLexer(byte[] text) {
        this.text = text;
    }

    int line() {
        return startLine;
    }

    /** Whether the entry began with a space: its owner is that of the entry before. */
    boolean blank() {
        return blank;
    }

    List<String> words() {
        return words;
    }

    /** Goes on to the next entry that holds a word; false at the end. After a fault it can be called again. */
    boolean next() throws MalformedDnsException {
        while (at < text.length) {
            entry();
            if (!words.isEmpty()) {
                return true;
            }
        }
        return false;
    }

    private void entry() throws MalformedDnsException {
        words.clear();
        startLine = line;
        blank = text[at] == ' ' || text[at] == '\t';
        int open = 0;
        int openedAt = 0;
        while (at < text.length) {
            byte c = text[at];
            if (c == '\n') {
                at++;
                line++;
                if (open == 0) {
                    return;
                }
            } else if (c == ' ' || c == '\t' || c == '\r') {
                at++;
            } else if (c == ';') {
                while (at < text.length && text[at] != '\n') {
                    at++;
                }
            } else if (c == '(') {
                if (open++ == 0) {
                    openedAt = line;
                }
                at++;
            } else if (c == ')') {
                at++;
                if (--open < 0) {
                    throw skip("a closing parenthesis without an opening one");
                }
            } else {
                if (words.isEmpty()) {
                    startLine = line;
                }
                word();
                if (words.size() > MOST_WORDS) {
                    throw skip("an entry of over " + MOST_WORDS + " words");
                }
            }
        }
        if (open > 0) {
            startLine = openedAt;
            throw new MalformedDnsException("a parenthesis is not closed");
        }
    }

    private void word() throws MalformedDnsException {
        int from = at;
        boolean quoted = text[at] == '"';
        if (quoted) {
            at++;
            while (at < text.length && text[at] != '"' && text[at] != '\n') {
                at += text[at] == '\\' && at + 1 < text.length && text[at + 1] != '\n' ? 2 : 1;
            }
            if (at >= text.length || text[at] != '"') {
                startLine = line;
                throw skip("a quote is not closed on its line");
            }
            at++;
        } else {
            while (at < text.length && " \t\r\n;()\"".indexOf(text[at]) < 0) {
                at += text[at] == '\\' && at + 1 < text.length && text[at + 1] != '\n' ? 2 : 1;
            }
        }
        if (at - from > MOST_WORD) {
            throw skip("a word of over " + MOST_WORD + " octets");
        }
        words.add(new String(text, from, at - from, StandardCharsets.ISO_8859_1));
    }

    /** Passes over the rest of the line, so that the entries behind it can be read and told of as well. */
    private MalformedDnsException skip(String reason) {
        while (at < text.length && text[at] != '\n') {
            at++;
        }
        if (at < text.length) {
            at++;
            line++;
        }
        return new MalformedDnsException(reason);
    }
}
