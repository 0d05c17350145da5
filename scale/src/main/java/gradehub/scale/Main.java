package gradehub.scale;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Command line interface with the commands {@code model}, {@code check} and {@code slopes}. */
@Command(
        name = "gradehub-scale",
        mixinStandardHelpOptions = true,
        version = "gradehub-scale 0.1.0",
        description = "Simulates sidecars at the scale of a whole fleet.",
        subcommands = {ModelCommand.class, CheckCommand.class, SlopesCommand.class},
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:success",
            "1:failure",
            "2:invalid usage or invalid experiment file",
            "130:interrupted; results up to the interrupt are written"
        })
public final class Main {

    /** Exit code for failures other than invalid input. */
    static final int FAILED = 1;

    /** Exit code for invalid usage and rejected experiments. */
    static final int INVALID_INPUT = 2;

    private Main() {}

    /** Runs a command and exits the process with its exit code. */
    public static void main(String[] arguments) {
        System.exit(execute(arguments));
    }

    /** Runs a command and returns its exit code. */
    static int execute(String... arguments) {
        return new CommandLine(new Main())
                .setExecutionExceptionHandler((exception, commandLine, parsed) -> {
                    commandLine.getErr().println(commandLine.getColorScheme().errorText(message(exception)));
                    return exception instanceof InvalidExperimentException ? INVALID_INPUT : FAILED;
                })
                .execute(arguments);
    }

    private static String message(Exception exception) {
        return exception.getMessage() == null ? exception.toString() : exception.getMessage();
    }
}
