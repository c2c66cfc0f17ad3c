package merlinlever.controller.settings;

/** The paths of the settings that are no numbers; {@link NumberSetting} and {@link ClassNumberSetting} have the others. */
final class SettingPaths {

    /** The list of priority classes. */
    static final String CLASSES = "services";

    static final String CLASS_NAME = "name";
    static final String CLASS_SEMANTICS = "semantics";

    /** The prefix of the deployment profile in force. */
    static final String PROFILE_IN_FORCE = "family-info.";
    /** The prefix of the deployment profile that shadow mode compares with the one in force. */
    static final String SHADOW_PROFILE = "watch.";

    static final String GAUGES = "family-info.gauges";
    /** Whether the server has just started. */
    static final String COLD = "family-info.cold";
    /** Whether a rejection may carry a Retry-After. */
    static final String RETRY_AFTER = "bounds.retry-after";
    /** For each class, whether its runs make downstream calls. */
    static final String CALLS_BY_CLASS = "family-info.calls-by-class";
    /** For each class, what an answer without the downstream call is worth. */
    static final String WEIGHTS_WITHOUT_CALL = "family-info.class-skip-worth";

    private SettingPaths() {}

    /** The path of a setting of one priority class. */
    static String ofClass(int classIndex, String shortName) {
        return CLASSES + "." + classIndex + "." + shortName;
    }
}
