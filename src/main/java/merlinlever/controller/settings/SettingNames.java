package merlinlever.controller.settings;

/**
 * The internal names of settings that more than one class reads; {@link SettingsTranslator} has the operators' names of
 * them.
 */
public final class SettingNames {

    /** The list of priority classes. */
    public static final String PRIORITY_CLASSES = "tariffs";

    /** The value of a class's {@code kind} whose requests may run more than once. */
    public static final String IDEMPOTENT = "retriable";

    /** The value of a class's {@code kind} whose requests carry an idempotency key. */
    public static final String IDEMPOTENT_BY_KEY = "fingerprinted";

    /** The value of a class's {@code kind} whose requests must not run more than once; the default. */
    public static final String NON_IDEMPOTENT = "binding";

    private SettingNames() {}

    /** The name of a setting of one priority class, by the index of the class. */
    public static String ofPriorityClass(int index, String setting) {
        return PRIORITY_CLASSES + "." + index + "." + setting;
    }
}
