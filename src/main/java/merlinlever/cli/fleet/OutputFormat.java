package merlinlever.cli.fleet;

/** The forms in which the commands print what they found. The constants are the values of the option {@code --output}. */
enum OutputFormat {
    /** Aligned columns for people. */
    table,
    /** JSON for programs. */
    json
}
