package merlinlever.dns.wire;

import java.security.InvalidKeyException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.MalformedDnsException;
import merlinlever.dns.record.Octets;
import merlinlever.dns.record.RecordTypes;

/** Signatures of messages (RFC 8945). Times are Unix seconds and arguments, so that tests can choose them. */
public final class Tsig {

    /** The signature does not match (RFC 8945 section 3). */
    public static final int BADSIG = 16;
    /** The key is unknown. */
    public static final int BADKEY = 17;
    /** The time is too far from this side's. */
    public static final int BADTIME = 18;
    /** The signature is truncated further than is accepted. */
    public static final int BADTRUNC = 22;

    /** Seconds by which clocks may differ (RFC 8945 section 10). */
    public static final int FUDGE = 300;

    /** Octets of the time, 48 bits. */
    private static final int TIME_BYTES = 6;
    /** Octets of the data between algorithm and MAC: time, fudge, length of the MAC. */
    static final int BYTES_BEFORE_MAC = TIME_BYTES + 2 * Short.BYTES;
    /** Octets of the data beside algorithm, MAC and other data; behind the MAC: id, error, length of other data. */
    static final int FIXED_BYTES = BYTES_BEFORE_MAC + 3 * Short.BYTES;

    private static final int MIN_SECRET_BYTES = 16;
    /** Octets of the longest MAC, that of SHA-512. */
    private static final int MAX_MAC_BYTES = 64;
    /** Octets of a truncated MAC (RFC 8945 section 5.2.2.1). */
    private static final int MIN_MAC_BYTES = 10;
    /** Messages of a stream that may come unsigned in a row (RFC 8945 section 5.3.1). */
    private static final int MAX_UNSIGNED_MESSAGES = 99;

    private static final byte[] NO_OTHER_DATA = {};

    /** Names of the JDK by names of algorithms (RFC 8945 section 6). */
    private static final Map<String, String> ALGORITHMS = new TreeMap<>(Map.of(
            "hmac-sha224",
            "HmacSHA224",
            "hmac-sha256",
            "HmacSHA256",
            "hmac-sha384",
            "HmacSHA384",
            "hmac-sha512",
            "HmacSHA512"));

    /** A shared secret with its name. Immutable. */
    public static final class TsigKey {
        private final byte[] name;
        private final byte[] algorithm;
        private final String macName;
        private final SecretKeySpec secret;

        /**
         * Checks the algorithm and the length of the secret.
         *
         * @param name on the wire, in lower case
         * @param algorithm such as hmac-sha256
         */
        public TsigKey(byte[] name, String algorithm, byte[] secret) throws MalformedDnsException {
            if (!ALGORITHMS.containsKey(algorithm)) {
                throw new MalformedDnsException(
                        "no algorithm " + algorithm + "; there are " + String.join(", ", ALGORITHMS.keySet()));
            }
            if (secret.length < MIN_SECRET_BYTES) {
                throw new MalformedDnsException("a secret of under " + MIN_SECRET_BYTES + " octets");
            }
            this.name = name;
            this.algorithm = DomainNames.absolute(algorithm);
            this.macName = ALGORITHMS.get(algorithm);
            this.secret = new SecretKeySpec(secret, macName);
        }

        /** The name on the wire, in lower case. */
        public byte[] name() {
            return name;
        }

        private Mac newMac() {
            try {
                Mac mac = Mac.getInstance(macName);
                mac.init(secret);
                return mac;
            } catch (NoSuchAlgorithmException | InvalidKeyException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** The keys that are accepted; several at once, so that one can replace another while in service. */
    public static final class TsigKeyRing {
        private final Map<String, TsigKey> byName = new LinkedHashMap<>();

        /** Keys by their names; the last of a name counts. */
        public TsigKeyRing(List<TsigKey> keys) {
            keys.forEach(key -> byName.put(DomainNames.text(key.name), key));
        }

        /** The key of the name, or null. */
        public TsigKey find(byte[] name) {
            return byName.get(DomainNames.text(name));
        }
    }

    /**
     * The result of verifying a signature.
     *
     * @param error 0, or one of the errors of this class
     * @param key null where it is unknown
     * @param mac of the message, which the signature of the response covers
     * @param time when it was signed
     */
    public record Verification(int error, TsigKey key, byte[] mac, long time) {}

    /**
     * A signed message.
     *
     * @param mac which the signature of the response covers
     */
    public record SignedMessage(byte[] octets, byte[] mac) {}

    /** The fields of a TSIG record beside the MAC; the MAC covers them (RFC 8945 section 4.3.3). */
    private record Variables(byte[] key, byte[] algorithm, long time, int fudge, int error, byte[] other) {

        static Variables of(TsigKey key, long time) {
            return new Variables(key.name, key.algorithm, time, FUDGE, 0, NO_OTHER_DATA);
        }

        static Variables of(DnsMessage.Signature signature) {
            return new Variables(
                    signature.key(),
                    signature.algorithm(),
                    signature.time(),
                    signature.fudge(),
                    signature.error(),
                    signature.other());
        }

        byte[] timers() {
            byte[] timers = new byte[TIME_BYTES + Short.BYTES];
            Octets.put16(timers, 0, (int) (time >> Integer.SIZE));
            Octets.put32(timers, Short.BYTES, time);
            Octets.put16(timers, TIME_BYTES, fudge);
            return timers;
        }

        void update(Mac mac) {
            mac.update(key);
            // The class ANY, and a time to live of 0.
            byte[] classAndTtl = new byte[Short.BYTES + Integer.BYTES];
            Octets.put16(classAndTtl, 0, RecordTypes.CLASS_ANY);
            mac.update(classAndTtl);
            mac.update(algorithm);
            mac.update(timers());
            byte[] errorAndLength = new byte[2 * Short.BYTES];
            Octets.put16(errorAndLength, 0, error);
            Octets.put16(errorAndLength, Short.BYTES, other.length);
            mac.update(errorAndLength);
            mac.update(other);
        }
    }

    private Tsig() {}

    /**
     * Verifies the signature of a message.
     *
     * @param now Unix seconds
     * @param requestMac the MAC of the request that the message answers, or null
     * @throws MalformedDnsException where the MAC has a length that is not allowed
     */
    public static Verification verify(DnsMessage message, TsigKeyRing keys, long now, byte[] requestMac)
            throws MalformedDnsException {
        DnsMessage.Signature signature = message.signature();
        TsigKey key = keys.find(signature.key());
        if (key == null || !Arrays.equals(key.algorithm, signature.algorithm())) {
            return new Verification(BADKEY, null, signature.mac(), signature.time());
        }
        Mac mac = key.newMac();
        updateWithPriorMac(mac, requestMac);
        mac.update(withoutSignature(message));
        Variables.of(signature).update(mac);
        return compare(mac.doFinal(), key, signature, now);
    }

    private static Verification compare(byte[] expected, TsigKey key, DnsMessage.Signature signature, long now)
            throws MalformedDnsException {
        byte[] mac = signature.mac();
        // RFC 8945 section 5.2.2.1.
        if (mac.length > expected.length || mac.length < Math.max(MIN_MAC_BYTES, expected.length / 2)) {
            throw new MalformedDnsException("a signature of " + mac.length + " octets");
        }
        if (!MessageDigest.isEqual(Arrays.copyOf(expected, mac.length), mac)) {
            return new Verification(BADSIG, key, mac, signature.time());
        }
        if (Math.abs(now - signature.time()) > signature.fudge()) {
            return new Verification(BADTIME, key, mac, signature.time());
        }
        return new Verification(mac.length < expected.length ? BADTRUNC : 0, key, mac, signature.time());
    }

    private static void updateWithPriorMac(Mac mac, byte[] prior) {
        if (prior != null) {
            byte[] length = new byte[Short.BYTES];
            Octets.put16(length, 0, prior.length);
            mac.update(length);
            mac.update(prior);
        }
    }

    /** The message as it was before it was signed: with its original id and one additional record less. */
    private static byte[] withoutSignature(DnsMessage message) {
        byte[] octets = Arrays.copyOf(message.octets(), message.signature().at());
        Octets.put16(octets, 0, message.signature().id());
        addToAdditionalCount(octets, -1);
        return octets;
    }

    private static void addToAdditionalCount(byte[] message, int difference) {
        int at = MessageSection.ADDITIONAL.countOffset();
        Octets.put16(message, at, Octets.u16(message, at) + difference);
    }

    /**
     * Signs a message.
     *
     * @param now Unix seconds
     * @param requestMac the MAC of the request that the message answers, or null
     */
    public static SignedMessage sign(byte[] message, TsigKey key, long now, byte[] requestMac) {
        return sign(message, key, Variables.of(key, now), requestMac);
    }

    /** Signs a response with the error BADTIME: the time of the request, and this side's time as other data (5.2.3). */
    public static SignedMessage signBadTime(
            byte[] message, TsigKey key, long requestTime, long now, byte[] requestMac) {
        byte[] ownTime = Arrays.copyOf(Variables.of(key, now).timers(), TIME_BYTES);
        Variables variables = new Variables(key.name, key.algorithm, requestTime, FUDGE, BADTIME, ownTime);
        return sign(message, key, variables, requestMac);
    }

    private static SignedMessage sign(byte[] message, TsigKey key, Variables variables, byte[] requestMac) {
        Mac mac = key.newMac();
        updateWithPriorMac(mac, requestMac);
        mac.update(message);
        variables.update(mac);
        byte[] signature = mac.doFinal();
        return new SignedMessage(withSignature(message, variables, signature), signature);
    }

    /** A response with the error BADKEY or BADSIG, which carries no MAC (RFC 8945 section 5.3.2). */
    public static byte[] unsignedError(byte[] message, DnsMessage.Signature request, int error) {
        Variables variables = new Variables(
                request.key(), request.algorithm(), request.time(), request.fudge(), error, NO_OTHER_DATA);
        return withSignature(message, variables, new byte[0]);
    }

    private static byte[] withSignature(byte[] message, Variables variables, byte[] mac) {
        byte[] algorithm = variables.algorithm;
        int dataLength = algorithm.length + FIXED_BYTES + mac.length + variables.other.length;
        int ownerEnd = message.length + variables.key.length;
        byte[] signed = Arrays.copyOf(message, ownerEnd + DnsMessage.RECORD_FIXED_BYTES + dataLength);
        System.arraycopy(variables.key, 0, signed, message.length, variables.key.length);
        Octets.put16(signed, ownerEnd, RecordTypes.TSIG);
        Octets.put16(signed, ownerEnd + Short.BYTES, RecordTypes.CLASS_ANY);
        int at = ownerEnd + DnsMessage.RECORD_FIXED_BYTES;
        Octets.put16(signed, at - Short.BYTES, dataLength);
        at = append(signed, at, algorithm);
        at = append(signed, at, variables.timers());
        at = append16(signed, at, mac.length);
        at = append(signed, at, mac);
        at = append16(signed, at, Octets.u16(message, 0));
        at = append16(signed, at, variables.error);
        at = append16(signed, at, variables.other.length);
        append(signed, at, variables.other);
        addToAdditionalCount(signed, 1);
        return signed;
    }

    private static int append(byte[] out, int at, byte[] octets) {
        System.arraycopy(octets, 0, out, at, octets.length);
        return at + octets.length;
    }

    private static int append16(byte[] out, int at, int value) {
        Octets.put16(out, at, value);
        return at + Short.BYTES;
    }

    /** Octets that a signature of the key adds at most. */
    public static int maxSignatureBytes(TsigKey key) {
        return key.name.length
                + DnsMessage.RECORD_FIXED_BYTES
                + key.algorithm.length
                + FIXED_BYTES
                + MAX_MAC_BYTES
                + TIME_BYTES;
    }

    /** The signatures of a stream of messages that answer one request (RFC 8945 section 5.3.1). */
    public static final class SignatureChain {
        private final TsigKey key;
        private byte[] priorMac;
        private boolean isFirst = true;
        /** Covers what was read since the last signature. */
        private Mac pending;

        private int unsignedMessages;

        /** A chain that begins with the MAC of the request. */
        public SignatureChain(TsigKey key, byte[] requestMac) {
            this.key = key;
            priorMac = requestMac;
        }

        /** Signs the next message of the stream, at a time in Unix seconds. */
        public byte[] sign(byte[] message, long now) {
            Mac mac = key.newMac();
            updateWithPriorMac(mac, priorMac);
            mac.update(message);
            Variables variables = Variables.of(key, now);
            updateWithVariables(mac, variables);
            priorMac = mac.doFinal();
            return withSignature(message, variables, priorMac);
        }

        /** The first signature covers all variables, the others the time alone. */
        private void updateWithVariables(Mac mac, Variables variables) {
            if (isFirst) {
                variables.update(mac);
            } else {
                mac.update(variables.timers());
            }
            isFirst = false;
        }

        /** Whether the next message of the stream is valid; up to 99 in a row may come unsigned. */
        public boolean verifyNext(DnsMessage message, long now) throws MalformedDnsException {
            if (pending == null) {
                pending = key.newMac();
                updateWithPriorMac(pending, priorMac);
            }
            DnsMessage.Signature signature = message.signature();
            if (signature == null) {
                pending.update(message.octets());
                return !isFirst && ++unsignedMessages <= MAX_UNSIGNED_MESSAGES;
            }
            if (!Arrays.equals(signature.key(), key.name) || !Arrays.equals(signature.algorithm(), key.algorithm)) {
                return false;
            }
            Mac mac = pending;
            pending = null;
            mac.update(withoutSignature(message));
            updateWithVariables(mac, Variables.of(signature));
            unsignedMessages = 0;
            byte[] expected = mac.doFinal();
            priorMac = signature.mac();
            return compare(expected, key, signature, now).error() == 0;
        }

        /** Whether the last message was signed, as the last of a stream has to be. */
        public boolean isComplete() {
            return !isFirst && unsignedMessages == 0;
        }
    }
}
