/**
 * Configuration files of every command but {@code serve}: YAML, validated against a JSON Schema before anything starts.
 * The entry point is {@link merlinlever.common.config.ConfigFile}. {@code serve} reads JSON without a schema library
 * and loads nothing of this package.
 */
package merlinlever.common.config;
