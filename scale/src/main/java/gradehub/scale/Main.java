package gradehub.scale;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line: {@code model}, {@code check} and {@code slopes}. */
@Command(
        name = "gradehub-scale",
        mixinStandardHelpOptions = true,
        version = "gradehub-scale 0.1.0",
        description = "Experiments with the sidecar at the size of a whole fleet.",
        subcommands = {ModelCommand.class, CheckCommand.class, SlopesCommand.class},
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done",
            "1:the run has failed",
            "2:bad usage or a bad experiment file",
            "130:ended by an interrupt; what was measured is kept"
        })
public final class Main {

    /** Exit code of a run that failed. */
    static final int FAILED = 1;

    /** Exit code for bad usage and bad experiment files. */
    static final int BAD_USAGE = 2;

    private Main() {}

    /** Runs a command and exits with its code. */
    public static void main(String[] arguments) {
        System.exit(execute(arguments));
    }

    /** Runs a command and returns its exit code. */
    static int execute(String... arguments) {
        return new CommandLine(new Main())
                .setExecutionExceptionHandler((exception, commandLine, parsed) -> {
                    commandLine.getErr().println(commandLine.getColorScheme().errorText(message(exception)));
                    return exception instanceof BadExperimentException ? BAD_USAGE : FAILED;
                })
                .execute(arguments);
    }

    private static String message(Exception exception) {
        return exception.getMessage() == null ? exception.toString() : exception.getMessage();
    }
}
