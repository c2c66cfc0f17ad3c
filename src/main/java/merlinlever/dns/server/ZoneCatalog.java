package merlinlever.dns.server;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.RecordTypes;

/** Finds served zones by name. */
final class ZoneCatalog {

    private final Map<ByteArrayKey, ServedZone> zones = new HashMap<>();

    ZoneCatalog(List<ServedZone> served) {
        served.forEach(zone -> zones.put(new ByteArrayKey(zone.origin()), zone));
    }

    /** Returns the zone with the origin, or null. */
    ServedZone find(byte[] origin) {
        return zones.get(new ByteArrayKey(origin));
    }

    /** Returns the zone with the longest matching origin, or null if no zone serves the name and class. */
    ServedZone closest(byte[] name, int dclass) {
        if (dclass != RecordTypes.IN && dclass != RecordTypes.CLASS_ANY) {
            return null;
        }
        for (byte[] ancestor = name; ; ancestor = DomainNames.parent(ancestor)) {
            ServedZone zone = find(ancestor);
            if (zone != null || ancestor.length == 1) {
                return zone;
            }
        }
    }
}
