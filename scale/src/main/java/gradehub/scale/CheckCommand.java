package gradehub.scale;

import gradehub.scale.experiment.Experiment;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Checks an experiment file and prints the size, the duration and the estimated memory of each run. */
@Command(name = "check", mixinStandardHelpOptions = true, description = "Checks an experiment file without running it.")
final class CheckCommand implements Callable<Integer> {

    @Mixin
    private ExperimentOptions options;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        for (Experiment experiment : options.experiments(1)) {
            spec.commandLine()
                    .getOut()
                    .printf(
                            "%s: %d upstreams, %d services, seed %d, %.0f s, at most %d MB%n",
                            experiment.name(),
                            experiment.fleet().upstreams(),
                            experiment.fleet().services(),
                            experiment.seed(),
                            experiment.totalSeconds(),
                            MemoryLimit.estimate(experiment) / 1_000_000);
        }
        return 0;
    }
}
