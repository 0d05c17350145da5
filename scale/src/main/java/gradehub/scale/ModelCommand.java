package gradehub.scale;

import gradehub.scale.experiment.Experiment;
import gradehub.scale.model.Simulation;
import gradehub.scale.result.ResultFiles;
import gradehub.scale.result.RunResult;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Plays an experiment in the model; an interrupt ends the run and keeps what was measured. */
@Command(
        name = "model",
        mixinStandardHelpOptions = true,
        description = "Plays an experiment with real decision modules on a simulated clock.")
final class ModelCommand implements Callable<Integer> {

    @Mixin
    private ExperimentOptions options;

    @Spec
    private CommandSpec spec;

    @Option(names = "--out", paramLabel = "DIR", description = "folder for the results; default: ${DEFAULT-VALUE}")
    private Path out = Path.of("target", "results");

    @Option(names = "--summary-only", description = "write no rows of seconds and services")
    private boolean summaryOnly;

    @Option(names = "--parallel", paramLabel = "N", description = "runs to play at once; default: ${DEFAULT-VALUE}")
    private int parallel = 1;

    private volatile boolean interrupted;

    @Override
    public Integer call() throws Exception {
        if (parallel < 1) {
            throw new ParameterException(spec.commandLine(), "--parallel: must be 1 at least");
        }
        List<Experiment> experiments = options.experiments(parallel);
        CountDownLatch written = new CountDownLatch(1);
        Thread hook = new Thread(() -> endRuns(written), "interrupt");
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            playAll(experiments);
        } finally {
            written.countDown();
        }
        if (interrupted) {
            return Main.FAILED;
        }
        Runtime.getRuntime().removeShutdownHook(hook);
        return 0;
    }

    /** Runs while the process is about to end: all runs stop within a simulated second, and results are written. */
    private void endRuns(CountDownLatch written) {
        interrupted = true;
        try {
            written.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The runs share nothing; results are written in the order of the experiments, whichever ends first. */
    private void playAll(List<Experiment> experiments) throws IOException, InterruptedException, ExecutionException {
        ExecutorService threads = Executors.newFixedThreadPool(parallel);
        try (ResultFiles files = ResultFiles.create(out, summaryOnly)) {
            List<Future<RunResult>> runs = new ArrayList<>();
            for (Experiment experiment : experiments) {
                runs.add(threads.submit(() -> play(experiment)));
            }
            for (Future<RunResult> run : runs) {
                RunResult result = run.get();
                if (result != null) {
                    files.write(result);
                }
            }
        } finally {
            threads.shutdownNow();
        }
    }

    /** Plays a run; null where it was not begun before the interrupt. */
    private RunResult play(Experiment experiment) {
        if (interrupted) {
            return null;
        }
        ProgressLog progress = new ProgressLog(experiment, () -> interrupted);
        RunResult result = new Simulation(experiment).run(progress);
        progress.ended(result);
        return result;
    }
}
