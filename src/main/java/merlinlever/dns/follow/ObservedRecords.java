package merlinlever.dns.follow;

import java.util.List;
import merlinlever.dns.record.ResourceRecord;

/**
 * What a server says of the name.
 *
 * @param serial of the zone
 * @param claims the TXT records where the claim stands
 * @param records the address and service records at the name
 */
public record ObservedRecords(long serial, List<ResourceRecord> claims, List<ResourceRecord> records) {}
