package merlinlever.shared;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class LettersTest {

    @Property(tries = 20_000, seed = "33")
    void aReaderTakesNothingOfWhatIsNoLetterAndWritesBackWhatIsOne(@ForAll long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        Lot lot = new Lot();
        for (int i = chance.nextInt(8); i >= 0; i--) {
            lot.merge(WordsTest.drawn(chance));
        }
        byte[] letter =
                switch (chance.nextInt(4)) {
                    case 0 -> Letters.sums(lot.sums());
                    case 1 -> Letters.lines(chance.nextLong(), lot.lines(-1));
                    case 2 -> Letters.words(Duration.ofSeconds(9), lot.words());
                    default -> Letters.want(lot.words().stream().map(Word::key).toList());
                };
        assertArrayEquals(letter, again(Letters.read(letter)), "a letter reads as what was written");
        byte[] spoilt = letter.clone();
        switch (chance.nextInt(3)) {
            case 0 -> spoilt[chance.nextInt(spoilt.length)] ^= (byte) (1 << chance.nextInt(8));
            case 1 -> spoilt = java.util.Arrays.copyOf(spoilt, chance.nextInt(spoilt.length + 9));
            default -> {
                for (int k = chance.nextInt(6); k >= 0; k--) {
                    spoilt[chance.nextInt(spoilt.length)] = (byte) chance.nextInt(256);
                }
            }
        }
        Words words = WordsTest.alone("b0", "b1");
        String before = words.digest();
        Object read = Letters.read(spoilt);
        words.came(Duration.ofMillis(20), "b1", spoilt);
        if (read == null) {
            assertEquals(before, words.digest(), "nothing is taken of what cannot be read whole");
            assertTrue(words.json().contains("\"malformed\":1"));
        } else {
            // There is one way to write what was read, so nothing was passed over in silence.
            assertArrayEquals(spoilt, again(read));
        }
    }

    private static byte[] again(Object letter) {
        assertNotEquals(null, letter);
        if (letter instanceof Letters.Sums sums) {
            return Letters.sums(sums.sums());
        } else if (letter instanceof Letters.Lines lines) {
            return Letters.lines(lines.whole(), lines.lines());
        } else if (letter instanceof Letters.Want want) {
            return Letters.want(want.keys());
        }
        List<Letters.Aged> words = ((Letters.Told) letter).words();
        Duration now = Duration.ofDays(2000);
        return Letters.words(
                now,
                words.stream()
                        .map(each -> each.word().born(now.minusMillis(each.ageMs())))
                        .toList());
    }
}
