package gradehub.scale;

import gradehub.scale.result.Slopes;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Prints how figures grow with the size of the fleet. */
@Command(
        name = "slopes",
        mixinStandardHelpOptions = true,
        description = "Prints how each figure grows with the size of the fleet, as CSV.")
final class SlopesCommand implements Callable<Integer> {

    @Parameters(paramLabel = "SUMMARY", arity = "1..*", description = "summary.csv files written by the model command")
    private List<Path> summaries;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        List<Slopes.LinearFit> slopes = new ArrayList<>();
        for (Path summary : summaries) {
            slopes.addAll(Slopes.read(summary));
        }
        Slopes.write(slopes, spec.commandLine().getOut());
        return 0;
    }
}
