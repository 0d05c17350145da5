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

/** Runs an experiment in the simulator; an interrupt ends the runs and keeps their measurements up to that point. */
@Command(
        name = "model",
        mixinStandardHelpOptions = true,
        description = "Runs an experiment with real balancing modules on a simulated clock.")
final class ModelCommand implements Callable<Integer> {

    @Mixin
    private ExperimentOptions options;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "directory for the result files; default: ${DEFAULT-VALUE}")
    private Path out = Path.of("target", "results");

    @Option(
            names = "--summary-only",
            description = "write the summary alone, without the files of seconds and services")
    private boolean summaryOnly;

    @Option(
            names = "--parallel",
            paramLabel = "N",
            description = "number of runs at the same time; default: ${DEFAULT-VALUE}")
    private int parallel = 1;

    private volatile boolean interrupted;

    @Override
    public Integer call() throws Exception {
        if (parallel < 1) {
            throw new ParameterException(spec.commandLine(), "--parallel: must be at least 1");
        }
        List<Experiment> experiments = options.experiments(parallel);
        CountDownLatch resultsWritten = new CountDownLatch(1);
        Thread shutdownHook = new Thread(() -> interruptRuns(resultsWritten), "interrupt");
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        try {
            runAll(experiments);
        } finally {
            resultsWritten.countDown();
        }
        if (interrupted) {
            return Main.FAILED;
        }
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
        return 0;
    }

    /** Shutdown hook: makes all runs stop within a simulated second, and waits until their results are written. */
    private void interruptRuns(CountDownLatch resultsWritten) {
        interrupted = true;
        try {
            resultsWritten.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Executes the runs, which share no state, and writes their results in the order of the experiments. */
    private void runAll(List<Experiment> experiments) throws IOException, InterruptedException, ExecutionException {
        ExecutorService executor = Executors.newFixedThreadPool(parallel);
        try (ResultFiles files = ResultFiles.create(out, summaryOnly)) {
            List<Future<RunResult>> futures = new ArrayList<>();
            for (Experiment experiment : experiments) {
                futures.add(executor.submit(() -> run(experiment)));
            }
            for (Future<RunResult> future : futures) {
                RunResult result = future.get();
                if (result != null) {
                    files.write(result);
                }
            }
        } finally {
            executor.shutdownNow();
        }
    }

    /** Runs one experiment; returns null if it had not started before the interrupt. */
    private RunResult run(Experiment experiment) {
        if (interrupted) {
            return null;
        }
        ProgressLog progress = new ProgressLog(experiment, () -> interrupted);
        RunResult result = new Simulation(experiment).run(progress);
        progress.logEnd(result);
        return result;
    }
}
