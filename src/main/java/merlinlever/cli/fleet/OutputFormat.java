package merlinlever.cli.fleet;

/** The output formats of the commands. The constants are the values of the option {@code --output}. */
enum OutputFormat {
    /** Aligned columns for display. */
    table,
    /** JSON for further processing. */
    json
}
