package merlinlever.cli;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import merlinlever.fleet.quota.FleetQuota;

/**
 * Reads the fleet quotas from the configuration of {@code serve}: the list {@code budgets}. Everything is checked here, as
 * {@code serve} loads no schema library.
 */
final class FleetQuotaParser {

    private static final String LIST = "budgets.";
    private static final double MAX_QUOTA = 1e9;
    private static final double DEFAULT_CLOCK_DRIFT = 0.01;
    private static final double MAX_CLOCK_DRIFT = 0.2;
    private static final Duration MIN_DURATION = Duration.ofMillis(200);
    private static final Duration MAX_DURATION = Duration.ofMinutes(10);
    /** What is limited where a quota names no priority class: the calls to the records service. */
    private static final String CALLS = "calls";

    private final ConfigurationValues values;
    private final Predicate<String> isPriorityClass;

    private FleetQuotaParser(ConfigurationValues values, Predicate<String> isPriorityClass) {
        this.values = values;
        this.isPriorityClass = isPriorityClass;
    }

    /**
     * All quotas in the order of the file, empty where there are none.
     *
     * @param isPriorityClass whether the backend has a priority class of that name
     */
    static List<FleetQuota> parse(ConfigurationValues values, Predicate<String> isPriorityClass)
            throws InvalidConfigurationException {
        FleetQuotaParser parser = new FleetQuotaParser(values, isPriorityClass);
        List<FleetQuota> quotas = new ArrayList<>();
        while (values.has(LIST + quotas.size() + ".name")) {
            quotas.add(parser.quota(LIST + quotas.size() + "."));
        }
        return quotas;
    }

    private FleetQuota quota(String prefix) throws InvalidConfigurationException {
        String name = values.text(prefix + "name", "");
        String per = values.text(prefix + "per", "");
        double whole = values.number(prefix + "whole", -1);
        double drift = values.number(prefix + "drift", DEFAULT_CLOCK_DRIFT);
        Map<String, Integer> weights = weights(prefix + "weights.");
        String limited = values.text(prefix + "of", CALLS);
        if (!name.matches("[a-z0-9-]{1,20}")) {
            throw invalid(prefix + "name has 1 to 20 of a-z, 0-9 and -, not " + name);
        }
        if (!per.equals("second") && !per.equals("at-once")) {
            throw invalid(prefix + "per is second or at-once, not '" + per + "'");
        }
        if (!(whole >= 0 && whole <= MAX_QUOTA) || whole != Math.rint(whole)) {
            throw invalid(prefix + "whole is to be a whole number from 0 to " + (long) MAX_QUOTA);
        }
        if (!(drift >= 0 && drift <= MAX_CLOCK_DRIFT)) {
            throw invalid(prefix + "drift is to be from 0 to " + MAX_CLOCK_DRIFT);
        }
        if (!limited.equals(CALLS) && !isPriorityClass.test(limited)) {
            throw invalid(prefix + "of is calls or a tariff, not " + limited);
        }
        return new FleetQuota(
                name,
                limited,
                (long) whole,
                per.equals("second") ? FleetQuota.QuotaKind.PER_SECOND : FleetQuota.QuotaKind.CONCURRENT,
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
                    throw invalid(path + " is to be from 1 to 9999");
                }
                weightByHolder.put(path.substring(prefix.length()), Integer.parseInt(text));
            }
        }
        return weightByHolder;
    }

    private static InvalidConfigurationException invalid(String reason) {
        return new InvalidConfigurationException("the configuration's " + reason);
    }

    /** A duration such as 500ms or 2s, from 200 ms to 10 minutes. */
    static Duration duration(ConfigurationValues values, String path, String defaultText)
            throws InvalidConfigurationException {
        String text = values.text(path, defaultText);
        if (!text.matches("[0-9]{1,6}(ms|s)")) {
            throw invalid(path + " is a span such as 500ms or 2s, not '" + text + "'");
        }
        Duration duration = text.endsWith("ms")
                ? Duration.ofMillis(Long.parseLong(text.substring(0, text.length() - "ms".length())))
                : Duration.ofSeconds(Long.parseLong(text.substring(0, text.length() - "s".length())));
        if (duration.compareTo(MIN_DURATION) < 0 || duration.compareTo(MAX_DURATION) > 0) {
            throw invalid(path + " is to be from 200ms to 600s");
        }
        return duration;
    }
}
