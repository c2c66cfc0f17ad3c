package merlinlever.replication;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class GossipCodecTest {

    @Property(tries = 20_000, seed = "33")
    void aReaderTakesNothingOfWhatIsNoLetterAndWritesBackWhatIsOne(@ForAll long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        EntryTable lot = new EntryTable();
        for (int i = chance.nextInt(8); i >= 0; i--) {
            lot.merge(ReplicatedStoreTest.drawn(chance));
        }
        byte[] letter =
                switch (chance.nextInt(4)) {
                    case 0 -> GossipCodec.sums(lot.sums());
                    case 1 -> GossipCodec.lines(chance.nextLong(), lot.lines(-1));
                    case 2 -> GossipCodec.words(Duration.ofSeconds(9), lot.words());
                    default -> GossipCodec.want(
                            lot.words().stream().map(StoredEntry::key).toList());
                };
        assertArrayEquals(letter, again(GossipCodec.read(letter)), "a letter reads as what was written");
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
        ReplicatedStore words = ReplicatedStoreTest.alone("b0", "b1");
        String before = words.digest();
        Object read = GossipCodec.read(spoilt);
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
        if (letter instanceof GossipCodec.BucketChecksums sums) {
            return GossipCodec.sums(sums.sums());
        } else if (letter instanceof GossipCodec.VersionList lines) {
            return GossipCodec.lines(lines.whole(), lines.lines());
        } else if (letter instanceof GossipCodec.EntryRequest want) {
            return GossipCodec.want(want.keys());
        }
        List<GossipCodec.AgedEntry> words = ((GossipCodec.EntryBatch) letter).words();
        Duration now = Duration.ofDays(2000);
        return GossipCodec.words(
                now,
                words.stream()
                        .map(each -> each.word().born(now.minusMillis(each.ageMs())))
                        .toList());
    }
}
