package merlinlever.dns.state;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class CopyOnWriteBTreeTest {

    private static byte[] key(SplittableRandom chance, int spread) {
        byte[] key = new byte[chance.nextInt(4)];
        for (int i = 0; i < key.length; i++) {
            key[i] = (byte) (chance.nextInt(spread) * 37);
        }
        return key;
    }

    private static void same(
            TreeMap<byte[], Integer> model, CopyOnWriteBTree<Integer> index, SplittableRandom chance, int spread) {
        assertEquals(model.size(), index.size());
        List<Map.Entry<byte[], Integer>> all = new ArrayList<>(model.entrySet());
        int[] at = {0};
        index.from(new byte[0], (key, value) -> {
            assertArrayEquals(all.get(at[0]).getKey(), key);
            assertEquals(all.get(at[0]++).getValue(), value);
            return true;
        });
        assertEquals(all.size(), at[0]);
        for (int i = 0; i < 20; i++) {
            byte[] key = key(chance, spread);
            assertEquals(model.get(key), index.get(key));
            same(model.floorEntry(key), index.floor(key));
            same(model.ceilingEntry(key), index.ceiling(key));
            byte[][] first = new byte[1][];
            index.from(key, (k, v) -> {
                first[0] = k;
                return false;
            });
            assertArrayEquals(model.ceilingKey(key), first[0]);
        }
    }

    private static void same(Map.Entry<byte[], Integer> wanted, CopyOnWriteBTree.Entry<Integer> found) {
        if (wanted == null) {
            assertNull(found);
        } else {
            assertArrayEquals(wanted.getKey(), found.key());
            assertEquals(wanted.getValue(), found.value());
        }
    }

    /** Against the plain sorted map, through growth, and down to nothing and up again; an old version stays what it was. */
    @Property(tries = 150, seed = "11")
    void isASortedMapWhoseVersionsStay(@ForAll long seed, @ForAll @IntRange(min = 2, max = 200) int spread) {
        SplittableRandom chance = new SplittableRandom(seed);
        TreeMap<byte[], Integer> model = new TreeMap<>(Arrays::compareUnsigned);
        CopyOnWriteBTree<Integer> index = CopyOnWriteBTree.empty();
        TreeMap<byte[], Integer> oldModel = null;
        CopyOnWriteBTree<Integer> old = null;
        for (int phase = 0; phase < 4; phase++) {
            int adds = phase % 2 == 0 ? 8 : 2;
            for (int i = 0; i < 600; i++) {
                byte[] key = key(chance, spread);
                if (phase % 2 == 1 && !model.isEmpty() && chance.nextInt(10) >= adds) {
                    byte[] there = model.ceilingKey(key);
                    key = there == null ? model.firstKey() : there;
                }
                if (chance.nextInt(10) < adds) {
                    model.put(key, i);
                    index = index.with(key, i);
                } else {
                    model.remove(key);
                    index = index.without(key);
                }
            }
            same(model, index, chance, spread);
            if (old != null) {
                same(oldModel, old, chance, spread);
            }
            oldModel = new TreeMap<>(model);
            old = index;
        }
        same(
                model,
                CopyOnWriteBTree.of(new ArrayList<>(model.keySet()), new ArrayList<>(model.values())),
                chance,
                spread);
    }
}
