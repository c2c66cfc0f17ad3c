package merlinlever.dns.state;

import java.util.Arrays;
import java.util.List;

/**
 * An immutable sorted map from octets to values: a tree of wide nodes, of which a change copies one path and shares the
 * rest. So each version of a zone costs what changed, and a reader of an old one is never disturbed.
 */
public final class CopyOnWriteBTree<V> {

    /** Entries of a node at the most; wider copies more a change, narrower reads more nodes a look. */
    private static final int WIDTH = 48;

    /** In a leaf the slots hold values; above, nodes, and each key is no greater than any below it. */
    private record Node(byte[][] keys, Object[] slots, boolean leaf) {
        int find(byte[] key) {
            int low = 0;
            int high = keys.length - 1;
            while (low <= high) {
                int middle = (low + high) >>> 1;
                int order = Arrays.compareUnsigned(keys[middle], key);
                if (order == 0) {
                    return middle;
                }
                if (order < 0) {
                    low = middle + 1;
                } else {
                    high = middle - 1;
                }
            }
            return -low - 1;
        }

        /** The slot below which the key belongs. */
        int child(byte[] key) {
            int at = find(key);
            return at >= 0 ? at : Math.max(0, -at - 2);
        }

        Node below(int slot) {
            return (Node) slots[slot];
        }
    }

    /** What a look finds. */
    public record Entry<V>(byte[] key, V value) {}

    /** Is shown entries in order; returns whether to go on. */
    public interface Visitor<V> {
        boolean visit(byte[] key, V value);
    }

    private static final Node NOTHING = new Node(new byte[0][], new Object[0], true);

    private final Node root;
    private final int size;

    private CopyOnWriteBTree(Node root, int size) {
        this.root = root;
        this.size = size;
    }

    public static <V> CopyOnWriteBTree<V> empty() {
        return new CopyOnWriteBTree<>(NOTHING, 0);
    }

    /** From entries whose keys rise strictly. */
    public static <V> CopyOnWriteBTree<V> of(List<byte[]> keys, List<V> values) {
        int count = keys.size();
        if (count == 0) {
            return empty();
        }
        // Three quarters full, so that the first changes split nothing.
        int fill = WIDTH * 3 / 4;
        Node[] level = new Node[(count + fill - 1) / fill];
        for (int i = 0; i < level.length; i++) {
            int from = (int) ((long) count * i / level.length);
            int to = (int) ((long) count * (i + 1) / level.length);
            level[i] = new Node(
                    keys.subList(from, to).toArray(new byte[0][]),
                    values.subList(from, to).toArray(),
                    true);
        }
        while (level.length > 1) {
            Node[] above = new Node[(level.length + fill - 1) / fill];
            for (int i = 0; i < above.length; i++) {
                Node[] part = Arrays.copyOfRange(level, (int) ((long) level.length * i / above.length), (int)
                        ((long) level.length * (i + 1) / above.length));
                above[i] = over(part);
            }
            level = above;
        }
        return new CopyOnWriteBTree<>(level[0], count);
    }

    private static Node over(Node... children) {
        byte[][] keys = new byte[children.length][];
        for (int i = 0; i < keys.length; i++) {
            keys[i] = children[i].keys[0];
        }
        return new Node(keys, Arrays.copyOf(children, children.length, Object[].class), false);
    }

    public int size() {
        return size;
    }

    // A node keeps values and children in one array of objects; the caller knows the type of the slot.
    @SuppressWarnings({"unchecked", "TypeParameterUnusedInFormals"})
    private static <V> V value(Object slot) {
        return (V) slot;
    }

    /** The value, or null. */
    public V get(byte[] key) {
        Node node = root;
        while (!node.leaf) {
            node = node.below(node.child(key));
        }
        int at = node.find(key);
        return at < 0 ? null : value(node.slots[at]);
    }

    /** The greatest entry that is no greater than the key, or null. */
    public Entry<V> floor(byte[] key) {
        Node node = root;
        while (!node.leaf) {
            node = node.below(node.child(key));
        }
        int at = node.find(key);
        at = at >= 0 ? at : -at - 2;
        if (at >= 0) {
            return new Entry<>(node.keys[at], value(node.slots[at]));
        }
        return size == 0 ? null : before(key);
    }

    /** Only where taking entries out has left a key above that is smaller than all below it. */
    private Entry<V> before(byte[] key) {
        Node left = null;
        Node node = root;
        while (!node.leaf) {
            int child = node.child(key);
            left = child > 0 ? node.below(child - 1) : left;
            node = node.below(child);
        }
        if (left == null) {
            return null;
        }
        while (!left.leaf) {
            left = left.below(left.slots.length - 1);
        }
        int last = left.keys.length - 1;
        return new Entry<>(left.keys[last], value(left.slots[last]));
    }

    /** The smallest entry that is no smaller than the key, or null. */
    public Entry<V> ceiling(byte[] key) {
        Node right = null;
        Node node = root;
        while (!node.leaf) {
            int child = node.child(key);
            right = child + 1 < node.slots.length ? node.below(child + 1) : right;
            node = node.below(child);
        }
        int at = node.find(key);
        at = at >= 0 ? at : -at - 1;
        if (at < node.keys.length) {
            return new Entry<>(node.keys[at], value(node.slots[at]));
        }
        if (right == null) {
            return null;
        }
        while (!right.leaf) {
            right = right.below(0);
        }
        return new Entry<>(right.keys[0], value(right.slots[0]));
    }

    /** Shows all entries from the key on, which may be empty. */
    public void from(byte[] key, Visitor<V> visitor) {
        walk(root, key, visitor);
    }

    private static <V> boolean walk(Node node, byte[] key, Visitor<V> visitor) {
        int at = key == null ? 0 : node.leaf ? node.find(key) : node.child(key);
        for (int i = at >= 0 ? at : -at - 1; i < node.slots.length; i++) {
            boolean on = node.leaf
                    ? visitor.visit(node.keys[i], CopyOnWriteBTree.<V>value(node.slots[i]))
                    : walk(node.below(i), i == at ? key : null, visitor);
            if (!on) {
                return false;
            }
        }
        return true;
    }

    /** The same with the key standing for the value. */
    public CopyOnWriteBTree<V> with(byte[] key, V value) {
        int before = size;
        int[] grown = {0};
        Node[] made = put(root, key, value, grown);
        return new CopyOnWriteBTree<>(made.length == 1 ? made[0] : over(made), before + grown[0]);
    }

    private static Node[] put(Node node, byte[] key, Object value, int[] grown) {
        if (node.leaf) {
            int at = node.find(key);
            if (at >= 0) {
                Object[] slots = node.slots.clone();
                slots[at] = value;
                return new Node[] {new Node(node.keys, slots, true)};
            }
            grown[0] = 1;
            return split(inserted(node, -at - 1, key, value));
        }
        int child = node.child(key);
        Node[] made = put(node.below(child), key, value, grown);
        Object[] slots = node.slots.clone();
        byte[][] keys = node.keys;
        slots[child] = made[0];
        if (Arrays.compareUnsigned(key, keys[child]) < 0) {
            keys = keys.clone();
            keys[child] = key;
        }
        Node changed = new Node(keys, slots, false);
        return made.length == 1 ? new Node[] {changed} : split(inserted(changed, child + 1, made[1].keys[0], made[1]));
    }

    private static Node inserted(Node node, int at, byte[] key, Object slot) {
        int count = node.keys.length;
        byte[][] keys = Arrays.copyOf(node.keys, count + 1);
        Object[] slots = Arrays.copyOf(node.slots, count + 1);
        System.arraycopy(node.keys, at, keys, at + 1, count - at);
        System.arraycopy(node.slots, at, slots, at + 1, count - at);
        keys[at] = key;
        slots[at] = slot;
        return new Node(keys, slots, node.leaf);
    }

    private static Node[] split(Node node) {
        int count = node.keys.length;
        if (count <= WIDTH) {
            return new Node[] {node};
        }
        return new Node[] {part(node, 0, count / 2), part(node, count / 2, count)};
    }

    private static Node part(Node node, int from, int to) {
        return new Node(Arrays.copyOfRange(node.keys, from, to), Arrays.copyOfRange(node.slots, from, to), node.leaf);
    }

    /** The same without the key. */
    public CopyOnWriteBTree<V> without(byte[] key) {
        if (get(key) == null) {
            return this;
        }
        Node made = take(root, key);
        while (made != null && !made.leaf && made.slots.length == 1) {
            made = made.below(0);
        }
        return new CopyOnWriteBTree<>(made == null ? NOTHING : made, size - 1);
    }

    private static Node take(Node node, byte[] key) {
        int at = node.leaf ? node.find(key) : node.child(key);
        Node below = node.leaf ? null : take(node.below(at), key);
        if (below != null) {
            Object[] slots = node.slots.clone();
            // Two thin neighbours become one, or a zone that is emptied and filled again would keep a tree of threads.
            int next = at + 1 < slots.length ? at + 1 : at - 1;
            if (next >= 0 && below.slots.length + node.below(next).slots.length <= WIDTH / 2) {
                int first = Math.min(at, next);
                Node a = first == at ? below : node.below(first);
                Node b = first == at ? node.below(next) : below;
                Node thinner = removed(node, first + 1);
                thinner.slots[first] = merged(a, b);
                return thinner;
            }
            slots[at] = below;
            return new Node(node.keys, slots, false);
        }
        return node.keys.length == 1 ? null : removed(node, at);
    }

    private static Node merged(Node a, Node b) {
        byte[][] keys = Arrays.copyOf(a.keys, a.keys.length + b.keys.length);
        Object[] slots = Arrays.copyOf(a.slots, keys.length);
        System.arraycopy(b.keys, 0, keys, a.keys.length, b.keys.length);
        System.arraycopy(b.slots, 0, slots, a.keys.length, b.keys.length);
        return new Node(keys, slots, a.leaf);
    }

    private static Node removed(Node node, int at) {
        int count = node.keys.length;
        byte[][] keys = Arrays.copyOf(node.keys, count - 1);
        Object[] slots = Arrays.copyOf(node.slots, count - 1);
        System.arraycopy(node.keys, at + 1, keys, at, count - 1 - at);
        System.arraycopy(node.slots, at + 1, slots, at, count - 1 - at);
        return new Node(keys, slots, node.leaf);
    }
}
