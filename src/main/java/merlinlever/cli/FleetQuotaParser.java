package merlinlever.cli;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import merlinlever.fleet.quota.FleetQuota;

/**
 * Parses the fleet quotas from the list {@code budgets} in the configuration of {@code serve}. Validates every value,
 * since {@code serve} loads no schema library.
 */
final class FleetQuotaParser {

    private static final String PREFIX = "budgets.";
    private static final double MAX_QUOTA = 1e9;
    private static final double DEFAULT_CLOCK_DRIFT = 0.01;
    private static final double MAX_CLOCK_DRIFT = 0.2;
    private static final Duration MIN_DURATION = Duration.ofMillis(200);
    private static final Duration MAX_DURATION = Duration.ofMinutes(10);
    /** Resource of a quota that limits the calls to the records service rather than a priority class. */
    private static final String CALLS_RESOURCE = "calls";

    private final ConfigurationValues values;
    private final Predicate<String> isPriorityClass;

    private FleetQuotaParser(ConfigurationValues values, Predicate<String> isPriorityClass) {
        this.values = values;
        this.isPriorityClass = isPriorityClass;
    }

    /**
     * Returns all quotas in the order of the file; empty if there are none.
     *
     * @param isPriorityClass tests whether the backend has a priority class with the given name
     */
    static List<FleetQuota> parse(ConfigurationValues values, Predicate<String> isPriorityClass)
            throws InvalidConfigurationException {
        FleetQuotaParser parser = new FleetQuotaParser(values, isPriorityClass);
        List<FleetQuota> quotas = new ArrayList<>();
        while (values.has(PREFIX + quotas.size() + ".name")) {
            quotas.add(parser.quota(PREFIX + quotas.size() + "."));
        }
        return quotas;
    }

    private FleetQuota quota(String prefix) throws InvalidConfigurationException {
        String name = values.text(prefix + "name", "");
        String kind = values.text(prefix + "per", "");
        double total = values.number(prefix + "whole", -1);
        double drift = values.number(prefix + "drift", DEFAULT_CLOCK_DRIFT);
        Map<String, Integer> weights = weights(prefix + "weights.");
        String resource = values.text(prefix + "of", CALLS_RESOURCE);
        if (!name.matches("[a-z0-9-]{1,20}")) {
            throw invalid(prefix + "name has to have 1 to 20 characters of a-z, 0-9 and -, but is " + name);
        }
        if (!kind.equals("second") && !kind.equals("at-once")) {
            throw invalid(prefix + "per is '" + kind + "'; allowed: second, at-once");
        }
        if (!(total >= 0 && total <= MAX_QUOTA) || total != Math.rint(total)) {
            throw invalid(prefix + "whole has to be an integer from 0 to " + (long) MAX_QUOTA);
        }
        if (!(drift >= 0 && drift <= MAX_CLOCK_DRIFT)) {
            throw invalid(prefix + "drift has to be from 0 to " + MAX_CLOCK_DRIFT);
        }
        if (!resource.equals(CALLS_RESOURCE) && !isPriorityClass.test(resource)) {
            throw invalid(prefix + "of has to be calls or the name of a tariff, but is " + resource);
        }
        return new FleetQuota(
                name,
                resource,
                (long) total,
                kind.equals("second") ? FleetQuota.QuotaKind.PER_SECOND : FleetQuota.QuotaKind.CONCURRENT,
                duration(values, prefix + "lease", "2s"),
                drift,
                duration(values, prefix + "longest", "5s"),
                weights);
    }

    private Map<String, Integer> weights(String prefix) throws InvalidConfigurationException {
        Map<String, Integer> weightByHolder = new TreeMap<>();
        for (String path : values.paths()) {
            if (path.startsWith(prefix)) {
                String text = values.text(path, "");
                if (!text.matches("[1-9][0-9]{0,3}")) {
                    throw invalid(path + " has to be from 1 to 9999");
                }
                weightByHolder.put(path.substring(prefix.length()), Integer.parseInt(text));
            }
        }
        return weightByHolder;
    }

    private static InvalidConfigurationException invalid(String reason) {
        return new InvalidConfigurationException("the configuration's " + reason);
    }

    /** Parses a duration such as 500ms or 2s, from 200 ms to 10 minutes. */
    static Duration duration(ConfigurationValues values, String path, String defaultText)
            throws InvalidConfigurationException {
        String text = values.text(path, defaultText);
        if (!text.matches("[0-9]{1,6}(ms|s)")) {
            throw invalid(path + " is '" + text + "'; allowed: a duration such as 500ms or 2s");
        }
        Duration duration = text.endsWith("ms")
                ? Duration.ofMillis(Long.parseLong(text.substring(0, text.length() - "ms".length())))
                : Duration.ofSeconds(Long.parseLong(text.substring(0, text.length() - "s".length())));
        if (duration.compareTo(MIN_DURATION) < 0 || duration.compareTo(MAX_DURATION) > 0) {
            throw invalid(path + " has to be from 200ms to 600s");
        }
        return duration;
    }
}
