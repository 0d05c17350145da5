package gradehub.scale.experiment;

/** Thrown for an invalid experiment file; the message gives the line, the column and the field. */
public final class ExperimentFileException extends Exception {

    private static final long serialVersionUID = 1L;

    private final int line;
    private final int column;
    private final String field;

    /**
     * Creates an exception for an error at a position in the file.
     *
     * @param field dotted path of the field; empty if the error concerns the whole file
     */
    public ExperimentFileException(int line, int column, String field, String problem) {
        super("line " + line + ", column " + column + ": " + (field.isEmpty() ? "" : field + ": ") + problem);
        this.line = line;
        this.column = column;
        this.field = field;
    }

    /** Line of the error; the first is 1. */
    public int line() {
        return line;
    }

    /** Column of the error; the first is 1. */
    public int column() {
        return column;
    }

    /** Dotted path of the field, such as {@code fleet.regions[0].name}; empty if the error concerns the whole file. */
    public String field() {
        return field;
    }
}
