package merlinlever.dns.wire;

import java.security.InvalidKeyException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.MalformedDnsException;
import merlinlever.dns.record.RecordTypes;

/**
 * Signatures of messages (RFC 8945), on the octets as they came. Times are Unix seconds and told by the caller, so that a
 * test and a replay have theirs.
 */
public final class Tsig {

    /** Errors of section 3. */
    public static final int BADSIG = 16, BADKEY = 17, BADTIME = 18, BADTRUNC = 22;
    /** Seconds that clocks may differ by. */
    public static final int FUDGE = 300;
    /** Algorithms by the names that are given at start. */
    private static final Map<String, String> ALGORITHMS = Map.of(
            "hmac-sha224",
            "HmacSHA224",
            "hmac-sha256",
            "HmacSHA256",
            "hmac-sha384",
            "HmacSHA384",
            "hmac-sha512",
            "HmacSHA512");

    /** A shared secret under its name. */
    public static final class TsigKey {
        private final byte[] name;
        private final byte[] algorithm;
        private final String mac;
        private final SecretKeySpec secret;

        /**
         * @param name on the wire, in lower case
         * @param algorithm such as hmac-sha256
         */
        public TsigKey(byte[] name, String algorithm, byte[] secret) throws MalformedDnsException {
            if (!ALGORITHMS.containsKey(algorithm)) {
                throw new MalformedDnsException("no algorithm " + algorithm + "; there are "
                        + String.join(
                                ", ", ALGORITHMS.keySet().stream().sorted().toList()));
            }
            if (secret.length < 16) {
                throw new MalformedDnsException("a secret of under 16 octets");
            }
            this.name = name;
            this.algorithm = DomainNames.absolute(algorithm);
            this.mac = ALGORITHMS.get(algorithm);
            this.secret = new SecretKeySpec(secret, mac);
        }

        public byte[] name() {
            return name;
        }

        Mac start() {
            try {
                Mac made = Mac.getInstance(mac);
                made.init(secret);
                return made;
            } catch (NoSuchAlgorithmException | InvalidKeyException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** Several keys at once, so that one can follow another in service. */
    public static final class TsigKeyRing {
        private final Map<String, TsigKey> byName = new LinkedHashMap<>();

        public TsigKeyRing(List<TsigKey> keys) {
            keys.forEach(key -> byName.put(DomainNames.text(key.name), key));
        }

        public TsigKey find(byte[] name) {
            return byName.get(DomainNames.text(name));
        }
    }

    /**
     * What a look at a signature found.
     *
     * @param error 0, or one of the errors; {@code key} is null where it is not known
     * @param mac of the message, for what answers it
     */
    public record Verification(int error, TsigKey key, byte[] mac, long time) {}

    private Tsig() {}

    /** The message's signature against the keys; {@code prior} is the MAC of what it answers, or null. */
    public static Verification verify(DnsMessage message, TsigKeyRing keys, long now, byte[] prior)
            throws MalformedDnsException {
        DnsMessage.Signature signature = message.signature();
        TsigKey key = keys.find(signature.key());
        if (key == null || !Arrays.equals(key.algorithm, signature.algorithm())) {
            return new Verification(BADKEY, null, signature.mac(), signature.time());
        }
        Mac mac = key.start();
        prior(mac, prior);
        unsigned(mac, message);
        variables(mac, key, signature.time(), signature.fudge(), signature.error(), signature.other());
        return verdict(mac.doFinal(), key, signature, now);
    }

    private static Verification verdict(byte[] made, TsigKey key, DnsMessage.Signature signature, long now)
            throws MalformedDnsException {
        byte[] mac = signature.mac();
        // Section 5.2.2.1.
        if (mac.length > made.length || mac.length < Math.max(10, made.length / 2)) {
            throw new MalformedDnsException("a signature of " + mac.length + " octets");
        }
        if (!MessageDigest.isEqual(Arrays.copyOf(made, mac.length), mac)) {
            return new Verification(BADSIG, key, mac, signature.time());
        }
        if (Math.abs(now - signature.time()) > signature.fudge()) {
            return new Verification(BADTIME, key, mac, signature.time());
        }
        return new Verification(mac.length < made.length ? BADTRUNC : 0, key, mac, signature.time());
    }

    private static void prior(Mac mac, byte[] prior) {
        if (prior != null) {
            mac.update(new byte[] {(byte) (prior.length >> 8), (byte) prior.length});
            mac.update(prior);
        }
    }

    /** The message as it was before it was signed: its first id, one additional record less. */
    private static void unsigned(Mac mac, DnsMessage message) {
        byte[] octets = Arrays.copyOf(message.octets(), message.signature().at());
        put16(octets, 0, message.signature().id());
        put16(octets, 10, ((octets[10] & 0xff) << 8 | (octets[11] & 0xff)) - 1);
        mac.update(octets);
    }

    private static void put16(byte[] octets, int at, int value) {
        octets[at] = (byte) (value >> 8);
        octets[at + 1] = (byte) value;
    }

    private static byte[] times(long time, int fudge) {
        byte[] times = new byte[8];
        put16(times, 0, (int) (time >> 32));
        put16(times, 2, (int) (time >> 16));
        put16(times, 4, (int) time);
        put16(times, 6, fudge);
        return times;
    }

    private static void variables(Mac mac, TsigKey key, long time, int fudge, int error, byte[] other) {
        mac.update(key.name);
        mac.update(new byte[] {0, (byte) RecordTypes.CLASS_ANY, 0, 0, 0, 0});
        mac.update(key.algorithm);
        mac.update(times(time, fudge));
        mac.update(new byte[] {(byte) (error >> 8), (byte) error, (byte) (other.length >> 8), (byte) other.length});
        mac.update(other);
    }

    /** A signed message. */
    public record SignedMessage(byte[] octets, byte[] mac) {}

    public static SignedMessage sign(byte[] message, TsigKey key, long now, byte[] prior) {
        return sign(message, key, now, prior, 0, new byte[0]);
    }

    /** Signs an answer that tells of a bad time, with this side's own (section 5.2.3). */
    public static SignedMessage signBadTime(byte[] message, TsigKey key, long theirs, long now, byte[] prior) {
        return sign(message, key, theirs, prior, BADTIME, Arrays.copyOf(times(now, 0), 6));
    }

    private static SignedMessage sign(byte[] message, TsigKey key, long time, byte[] prior, int error, byte[] other) {
        Mac mac = key.start();
        prior(mac, prior);
        mac.update(message);
        variables(mac, key, time, FUDGE, error, other);
        byte[] made = mac.doFinal();
        return new SignedMessage(appended(message, key.name, key.algorithm, time, FUDGE, made, error, other), made);
    }

    /** An answer that tells of a key or a signature that does not hold carries no MAC (section 5.3.2). */
    public static byte[] unsignedError(byte[] message, DnsMessage.Signature theirs, int error) {
        return appended(
                message,
                theirs.key(),
                theirs.algorithm(),
                theirs.time(),
                theirs.fudge(),
                new byte[0],
                error,
                new byte[0]);
    }

    private static byte[] appended(
            byte[] message, byte[] key, byte[] algorithm, long time, int fudge, byte[] mac, int error, byte[] other) {
        int length = algorithm.length + 16 + mac.length + other.length;
        byte[] out = Arrays.copyOf(message, message.length + key.length + 10 + length);
        int at = message.length;
        System.arraycopy(key, 0, out, at, key.length);
        at += key.length;
        put16(out, at, RecordTypes.TSIG);
        put16(out, at + 2, RecordTypes.CLASS_ANY);
        put16(out, at + 8, length);
        at += 10;
        System.arraycopy(algorithm, 0, out, at, algorithm.length);
        at += algorithm.length;
        System.arraycopy(times(time, fudge), 0, out, at, 8);
        put16(out, at + 8, mac.length);
        at += 10;
        System.arraycopy(mac, 0, out, at, mac.length);
        at += mac.length;
        out[at] = message[0];
        out[at + 1] = message[1];
        put16(out, at + 2, error);
        put16(out, at + 4, other.length);
        System.arraycopy(other, 0, out, at + 6, other.length);
        put16(out, 10, ((message[10] & 0xff) << 8 | (message[11] & 0xff)) + 1);
        return out;
    }

    /** Octets that a signature of the key adds at the most. */
    public static int room(TsigKey key) {
        return key.name.length + 10 + key.algorithm.length + 16 + 64 + 6;
    }

    /** The signatures of a stream of messages that answer one (section 5.3.1). */
    public static final class SignatureChain {
        private final TsigKey key;
        private byte[] prior;
        private boolean first = true;
        private Mac pending;
        private int unsigned;

        /** @param asked the MAC of the question */
        public SignatureChain(TsigKey key, byte[] asked) {
            this.key = key;
            prior = asked;
        }

        public byte[] sign(byte[] message, long now) {
            Mac mac = key.start();
            prior(mac, prior);
            mac.update(message);
            if (first) {
                variables(mac, key, now, FUDGE, 0, new byte[0]);
            } else {
                mac.update(times(now, FUDGE));
            }
            first = false;
            prior = mac.doFinal();
            return appended(message, key.name, key.algorithm, now, FUDGE, prior, 0, new byte[0]);
        }

        /** Whether the next message of the stream holds; up to 99 in a row may come unsigned. */
        public boolean verifyNext(DnsMessage message, long now) throws MalformedDnsException {
            if (pending == null) {
                pending = key.start();
                prior(pending, prior);
            }
            DnsMessage.Signature signature = message.signature();
            if (signature == null) {
                pending.update(message.octets());
                return !first && ++unsigned <= 99;
            }
            if (!Arrays.equals(signature.key(), key.name) || !Arrays.equals(signature.algorithm(), key.algorithm)) {
                return false;
            }
            Mac mac = pending;
            pending = null;
            unsigned(mac, message);
            if (first) {
                variables(mac, key, signature.time(), signature.fudge(), signature.error(), signature.other());
            } else {
                mac.update(times(signature.time(), signature.fudge()));
            }
            first = false;
            unsigned = 0;
            byte[] made = mac.doFinal();
            prior = signature.mac();
            return verdict(made, key, signature, now).error() == 0;
        }

        /** Whether the last message was signed, as the last of a stream has to be. */
        public boolean isComplete() {
            return !first && unsigned == 0;
        }
    }
}
