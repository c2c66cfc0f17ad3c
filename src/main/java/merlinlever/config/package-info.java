/** Configuration files of everything but {@code serve}: YAML, checked against a JSON Schema before anything starts. */
package merlinlever.config;
