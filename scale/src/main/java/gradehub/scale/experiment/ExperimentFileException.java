package gradehub.scale.experiment;

/** An experiment file that cannot be run; the message names line, column and field. */
public final class ExperimentFileException extends Exception {

    private static final long serialVersionUID = 1L;

    private final int line;
    private final int column;
    private final String field;

    /** An error at a place of the file; {@code field} is the dotted path of the field, empty for the whole file. */
    public ExperimentFileException(int line, int column, String field, String problem) {
        super("line " + line + ", column " + column + ": " + (field.isEmpty() ? "" : field + ": ") + problem);
        this.line = line;
        this.column = column;
        this.field = field;
    }

    /** The line of the error, from 1. */
    public int line() {
        return line;
    }

    /** The column of the error, from 1. */
    public int column() {
        return column;
    }

    /** The dotted path of the field, such as {@code fleet.regions[0].name}. */
    public String field() {
        return field;
    }
}
