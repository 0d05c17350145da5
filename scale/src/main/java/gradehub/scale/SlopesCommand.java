package gradehub.scale;

import gradehub.scale.result.Slopes;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Tells how figures grow with the size of the fleet. */
@Command(
        name = "slopes",
        mixinStandardHelpOptions = true,
        description = "Prints each figure of a summary as slope times size, with the range of the slope.")
final class SlopesCommand implements Callable<Integer> {

    @Parameters(paramLabel = "SUMMARY", description = "a summary.csv that the model has written")
    private Path summary;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        Slopes.read(summary).forEach(line -> spec.commandLine().getOut().println(line));
        return 0;
    }
}
