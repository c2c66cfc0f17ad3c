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

/** Signs messages and verifies their signatures (RFC 8945). Times are arguments in Unix seconds. */
public final class Tsig {

    /** Error BADSIG: the signature does not match (RFC 8945 section 3). */
    public static final int BADSIG = 16;
    /** Error BADKEY: the key is unknown. */
    public static final int BADKEY = 17;
    /** Error BADTIME: the time of signing differs from the local clock by more than the fudge. */
    public static final int BADTIME = 18;
    /** Error BADTRUNC: the MAC is truncated to fewer octets than permitted. */
    public static final int BADTRUNC = 22;

    /** Permitted clock difference in seconds (RFC 8945 section 10). */
    public static final int FUDGE = 300;

    /** Size of the time field in octets (48 bits). */
    private static final int TIME_BYTES = 6;
    /** Size in octets of the fixed fields before the MAC: time, fudge and length of the MAC. */
    static final int BYTES_BEFORE_MAC = TIME_BYTES + 2 * Short.BYTES;
    /**
     * Size in octets of all fixed fields of the data. The original id, the error and the length of the other data
     * follow the MAC.
     */
    static final int FIXED_BYTES = BYTES_BEFORE_MAC + 3 * Short.BYTES;

    private static final int MIN_SECRET_BYTES = 16;
    /** Size in octets of the longest MAC, that of SHA-512. */
    private static final int MAX_MAC_BYTES = 64;
    /** Minimum size in octets of a truncated MAC (RFC 8945 section 5.2.2.1). */
    private static final int MIN_MAC_BYTES = 10;
    /** Maximum number of consecutive unsigned messages in a stream (RFC 8945 section 5.3.1). */
    private static final int MAX_UNSIGNED_MESSAGES = 99;

    private static final byte[] NO_OTHER_DATA = {};

    /** Maps TSIG algorithm names to the algorithm names of the JDK (RFC 8945 section 6). */
    private static final Map<String, String> ALGORITHMS = new TreeMap<>(Map.of(
            "hmac-sha224",
            "HmacSHA224",
            "hmac-sha256",
            "HmacSHA256",
            "hmac-sha384",
            "HmacSHA384",
            "hmac-sha512",
            "HmacSHA512"));

    /** A named shared secret. Immutable. */
    public static final class TsigKey {
        private final byte[] name;
        private final byte[] algorithm;
        private final String macName;
        private final SecretKeySpec secret;

        /**
         * Creates a key.
         *
         * @param name the key name on the wire, in lower case
         * @param algorithm the algorithm name, for example hmac-sha256
         * @throws MalformedDnsException if the algorithm is unknown or the secret is too short
         */
        public TsigKey(byte[] name, String algorithm, byte[] secret) throws MalformedDnsException {
            if (!ALGORITHMS.containsKey(algorithm)) {
                throw new MalformedDnsException(
                        "unknown algorithm " + algorithm + "; supported: " + String.join(", ", ALGORITHMS.keySet()));
            }
            if (secret.length < MIN_SECRET_BYTES) {
                throw new MalformedDnsException("secret is shorter than " + MIN_SECRET_BYTES + " octets");
            }
            this.name = name;
            this.algorithm = DomainNames.absolute(algorithm);
            this.macName = ALGORITHMS.get(algorithm);
            this.secret = new SecretKeySpec(secret, macName);
        }

        /** Returns the key name on the wire, in lower case. */
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

    /** The accepted keys. Several keys can be valid at once, which permits key rotation without downtime. */
    public static final class TsigKeyRing {
        private final Map<String, TsigKey> byName = new LinkedHashMap<>();

        /** Creates a key ring. If several keys have the same name, the last one is used. */
        public TsigKeyRing(List<TsigKey> keys) {
            keys.forEach(key -> byName.put(DomainNames.text(key.name), key));
        }

        /** Returns the key with the name, or null if the name is unknown. */
        public TsigKey find(byte[] name) {
            return byName.get(DomainNames.text(name));
        }
    }

    /**
     * The result of verifying a signature.
     *
     * @param error 0 for a valid signature, or one of the error constants of this class
     * @param key the key, or null if the key is unknown
     * @param mac the MAC of the message; the signature of the response covers this MAC
     * @param time the time of signing, in Unix seconds
     */
    public record Verification(int error, TsigKey key, byte[] mac, long time) {}

    /**
     * A signed message.
     *
     * @param mac the MAC of the message; the signature of the response covers this MAC
     */
    public record SignedMessage(byte[] octets, byte[] mac) {}

    /** The fields of a TSIG record that its MAC covers (RFC 8945 section 4.3.3). */
    private record Variables(byte[] keyName, byte[] algorithm, long time, int fudge, int error, byte[] otherData) {

        static Variables of(TsigKey key, long time) {
            return new Variables(key.name, key.algorithm, time, FUDGE, 0, NO_OTHER_DATA);
        }

        static Variables of(DnsMessage.Signature signature) {
            return new Variables(
                    signature.keyName(),
                    signature.algorithm(),
                    signature.time(),
                    signature.fudge(),
                    signature.error(),
                    signature.otherData());
        }

        byte[] timers() {
            byte[] timers = new byte[TIME_BYTES + Short.BYTES];
            Octets.put16(timers, 0, (int) (time >> Integer.SIZE));
            Octets.put32(timers, Short.BYTES, time);
            Octets.put16(timers, TIME_BYTES, fudge);
            return timers;
        }

        void update(Mac mac) {
            mac.update(keyName);
            // Class ANY and a time to live of 0.
            byte[] classAndTtl = new byte[Short.BYTES + Integer.BYTES];
            Octets.put16(classAndTtl, 0, RecordTypes.CLASS_ANY);
            mac.update(classAndTtl);
            mac.update(algorithm);
            mac.update(timers());
            byte[] errorAndLength = new byte[2 * Short.BYTES];
            Octets.put16(errorAndLength, 0, error);
            Octets.put16(errorAndLength, Short.BYTES, otherData.length);
            mac.update(errorAndLength);
            mac.update(otherData);
        }
    }

    private Tsig() {}

    /**
     * Verifies the signature of a message.
     *
     * @param now Unix seconds
     * @param requestMac the MAC of the request if the message is a response, else null
     * @throws MalformedDnsException if the MAC has a length that is not permitted
     */
    public static Verification verify(DnsMessage message, TsigKeyRing keys, long now, byte[] requestMac)
            throws MalformedDnsException {
        DnsMessage.Signature signature = message.signature();
        TsigKey key = keys.find(signature.keyName());
        if (key == null || !Arrays.equals(key.algorithm, signature.algorithm())) {
            return new Verification(BADKEY, null, signature.mac(), signature.time());
        }
        Mac mac = key.newMac();
        updateWithPriorMac(mac, requestMac);
        mac.update(withoutTsigRecord(message));
        Variables.of(signature).update(mac);
        return checkMac(mac.doFinal(), key, signature, now);
    }

    private static Verification checkMac(byte[] expected, TsigKey key, DnsMessage.Signature signature, long now)
            throws MalformedDnsException {
        byte[] mac = signature.mac();
        // RFC 8945 section 5.2.2.1.
        if (mac.length > expected.length || mac.length < Math.max(MIN_MAC_BYTES, expected.length / 2)) {
            throw new MalformedDnsException("MAC size of " + mac.length + " octets is not permitted");
        }
        if (!MessageDigest.isEqual(Arrays.copyOf(expected, mac.length), mac)) {
            return new Verification(BADSIG, key, mac, signature.time());
        }
        if (Math.abs(now - signature.time()) > signature.fudge()) {
            return new Verification(BADTIME, key, mac, signature.time());
        }
        return new Verification(mac.length < expected.length ? BADTRUNC : 0, key, mac, signature.time());
    }

    private static void updateWithPriorMac(Mac mac, byte[] priorMac) {
        if (priorMac != null) {
            byte[] length = new byte[Short.BYTES];
            Octets.put16(length, 0, priorMac.length);
            mac.update(length);
            mac.update(priorMac);
        }
    }

    /** Restores the message as it was before signing: with the original id and without the TSIG record. */
    private static byte[] withoutTsigRecord(DnsMessage message) {
        byte[] octets = Arrays.copyOf(message.octets(), message.signature().offset());
        Octets.put16(octets, 0, message.signature().originalId());
        addToAdditionalCount(octets, -1);
        return octets;
    }

    private static void addToAdditionalCount(byte[] message, int difference) {
        int offset = MessageSection.ADDITIONAL.countOffset();
        Octets.put16(message, offset, Octets.u16(message, offset) + difference);
    }

    /**
     * Signs a message.
     *
     * @param now Unix seconds
     * @param requestMac the MAC of the request if the message is a response, else null
     */
    public static SignedMessage sign(byte[] message, TsigKey key, long now, byte[] requestMac) {
        return sign(message, key, Variables.of(key, now), requestMac);
    }

    /** Signs a response with the error BADTIME; the other data holds the local time (RFC 8945 section 5.2.3). */
    public static SignedMessage signBadTime(
            byte[] message, TsigKey key, long requestTime, long now, byte[] requestMac) {
        byte[] localTime = Arrays.copyOf(Variables.of(key, now).timers(), TIME_BYTES);
        Variables variables = new Variables(key.name, key.algorithm, requestTime, FUDGE, BADTIME, localTime);
        return sign(message, key, variables, requestMac);
    }

    private static SignedMessage sign(byte[] message, TsigKey key, Variables variables, byte[] requestMac) {
        Mac mac = key.newMac();
        updateWithPriorMac(mac, requestMac);
        mac.update(message);
        variables.update(mac);
        byte[] signature = mac.doFinal();
        return new SignedMessage(withTsigRecord(message, variables, signature), signature);
    }

    /** Adds a TSIG record without a MAC to a response with the error BADKEY or BADSIG (RFC 8945 section 5.3.2). */
    public static byte[] unsignedError(byte[] message, DnsMessage.Signature request, int error) {
        Variables variables = new Variables(
                request.keyName(), request.algorithm(), request.time(), request.fudge(), error, NO_OTHER_DATA);
        return withTsigRecord(message, variables, new byte[0]);
    }

    private static byte[] withTsigRecord(byte[] message, Variables variables, byte[] mac) {
        byte[] algorithm = variables.algorithm;
        int dataLength = algorithm.length + FIXED_BYTES + mac.length + variables.otherData.length;
        int ownerEnd = message.length + variables.keyName.length;
        byte[] signed = Arrays.copyOf(message, ownerEnd + DnsMessage.RECORD_FIXED_BYTES + dataLength);
        System.arraycopy(variables.keyName, 0, signed, message.length, variables.keyName.length);
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
        at = append16(signed, at, variables.otherData.length);
        append(signed, at, variables.otherData);
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

    /** Returns the maximum size in octets of a TSIG record of the key. */
    public static int maxSignatureBytes(TsigKey key) {
        return key.name.length
                + DnsMessage.RECORD_FIXED_BYTES
                + key.algorithm.length
                + FIXED_BYTES
                + MAX_MAC_BYTES
                + TIME_BYTES;
    }

    /** Signs or verifies the stream of messages that answers one request (RFC 8945 section 5.3.1). */
    public static final class SignatureChain {
        private final TsigKey key;
        private byte[] priorMac;
        private boolean isFirst = true;
        /** Covers the messages received since the last signature; null if there are none. */
        private Mac pending;

        private int unsignedMessages;

        /** Creates a chain that starts with the MAC of the request. */
        public SignatureChain(TsigKey key, byte[] requestMac) {
            this.key = key;
            priorMac = requestMac;
        }

        /**
         * Signs the next message of the stream.
         *
         * @param now Unix seconds
         */
        public byte[] sign(byte[] message, long now) {
            Mac mac = key.newMac();
            updateWithPriorMac(mac, priorMac);
            mac.update(message);
            Variables variables = Variables.of(key, now);
            updateWithVariables(mac, variables);
            priorMac = mac.doFinal();
            return withTsigRecord(message, variables, priorMac);
        }

        /** Adds all variables to the first signature, and only the time fields to later ones. */
        private void updateWithVariables(Mac mac, Variables variables) {
            if (isFirst) {
                variables.update(mac);
            } else {
                mac.update(variables.timers());
            }
            isFirst = false;
        }

        /** Whether the next message of the stream is valid. Up to 99 consecutive messages may be unsigned. */
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
            if (!Arrays.equals(signature.keyName(), key.name) || !Arrays.equals(signature.algorithm(), key.algorithm)) {
                return false;
            }
            Mac mac = pending;
            pending = null;
            mac.update(withoutTsigRecord(message));
            updateWithVariables(mac, Variables.of(signature));
            unsignedMessages = 0;
            byte[] expected = mac.doFinal();
            priorMac = signature.mac();
            return checkMac(expected, key, signature, now).error() == 0;
        }

        /** Whether the stream can end here: its last message has to be signed. */
        public boolean isComplete() {
            return !isFirst && unsignedMessages == 0;
        }
    }
}
