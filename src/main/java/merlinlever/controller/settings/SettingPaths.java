package merlinlever.controller.settings;

/** Paths of the settings other than {@link NumberSetting} and {@link ClassNumberSetting}. */
final class SettingPaths {

    /** Path of the list of priority classes. */
    static final String CLASSES = "services";

    static final String CLASS_NAME = "name";
    static final String CLASS_SEMANTICS = "semantics";

    /** Path prefix of the active deployment profile. */
    static final String ACTIVE_PROFILE = "family-info.";
    /** Path prefix of the deployment profile that shadow mode compares with the active profile. */
    static final String SHADOW_PROFILE = "watch.";

    static final String GAUGES = "family-info.gauges";
    /** Whether the server starts cold. */
    static final String COLD = "family-info.cold";
    /** Whether a rejection may carry a Retry-After. */
    static final String RETRY_AFTER = "bounds.retry-after";
    /** Whether runs make downstream calls, as a list with one value per class. */
    static final String CALLS_BY_CLASS = "family-info.calls-by-class";
    /** Weights of an answer without the downstream call, as a list with one value per class. */
    static final String WEIGHTS_WITHOUT_CALL = "family-info.class-skip-worth";

    private SettingPaths() {}

    /** Returns the path of a setting of a priority class. */
    static String ofClass(int classIndex, String shortName) {
        return CLASSES + "." + classIndex + "." + shortName;
    }
}
