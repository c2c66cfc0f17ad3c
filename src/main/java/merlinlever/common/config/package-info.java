/**
 * Configuration files of all commands except {@code serve}: YAML files, validated against a JSON Schema before the
 * command starts. The entry point is {@link merlinlever.common.config.ConfigFile}. {@code serve} reads JSON without a
 * schema library and does not load this package.
 */
package merlinlever.common.config;
