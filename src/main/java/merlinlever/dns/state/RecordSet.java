package merlinlever.dns.state;

import java.util.Arrays;
import java.util.function.Consumer;
import merlinlever.dns.record.ResourceRecord;

/** All records of one type at one name: one time to live (RFC 2181 section 5.2), the data sorted and each once. */
public final class RecordSet {

    final int type;
    final long ttl;
    final byte[][] data;

    private RecordSet(int type, long ttl, byte[][] data) {
        this.type = type;
        this.ttl = ttl;
        this.data = data;
    }

    /** Takes the array over; it is sorted here, and what comes twice is dropped. */
    public static RecordSet of(int type, long ttl, byte[]... data) {
        if (data.length > 1) {
            Arrays.sort(data, Arrays::compareUnsigned);
            int kept = 1;
            for (int i = 1; i < data.length; i++) {
                if (!Arrays.equals(data[i], data[kept - 1])) {
                    data[kept++] = data[i];
                }
            }
            data = kept == data.length ? data : Arrays.copyOf(data, kept);
        }
        return new RecordSet(type, ttl, data);
    }

    public int type() {
        return type;
    }

    /** Seconds. */
    public long ttl() {
        return ttl;
    }

    public int size() {
        return data.length;
    }

    public byte[] data(int index) {
        return data[index];
    }

    int find(byte[] one) {
        return Arrays.binarySearch(data, one, Arrays::compareUnsigned);
    }

    public boolean contains(byte[] one) {
        return find(one) >= 0;
    }

    RecordSet with(long newTtl, byte[] one) {
        int at = find(one);
        if (at >= 0) {
            return newTtl == ttl ? this : new RecordSet(type, newTtl, data);
        }
        byte[][] more = Arrays.copyOf(data, data.length + 1);
        at = -at - 1;
        System.arraycopy(data, at, more, at + 1, data.length - at);
        more[at] = one;
        return new RecordSet(type, newTtl, more);
    }

    /** Without the one; null where nothing is left. */
    RecordSet without(byte[] one) {
        int at = find(one);
        if (at < 0) {
            return this;
        }
        if (data.length == 1) {
            return null;
        }
        byte[][] fewer = Arrays.copyOf(data, data.length - 1);
        System.arraycopy(data, at + 1, fewer, at, fewer.length - at);
        return new RecordSet(type, ttl, fewer);
    }

    public boolean sameData(RecordSet other) {
        return other != null && type == other.type && Arrays.deepEquals(data, other.data);
    }

    boolean same(RecordSet other) {
        return this == other || (sameData(other) && ttl == other.ttl);
    }

    public void forEachRecord(byte[] owner, Consumer<ResourceRecord> taker) {
        for (byte[] one : data) {
            taker.accept(new ResourceRecord(owner, type, ttl, one));
        }
    }
}
