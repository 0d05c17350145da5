package gradehub.scale;

import gradehub.scale.experiment.Experiment;
import gradehub.scale.model.Simulation;
import gradehub.scale.result.ResultFiles;
import gradehub.scale.result.RunResult;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Plays an experiment in the model; an interrupt ends the run and keeps what was measured. */
@Command(
        name = "model",
        mixinStandardHelpOptions = true,
        description = "Plays an experiment with real decision modules on a simulated clock.")
final class ModelCommand implements Callable<Integer> {

    private static final Logger LOG = LoggerFactory.getLogger(ModelCommand.class);
    private static final long PROGRESS_NANOS = 5_000_000_000L;

    @Mixin
    private ExperimentOptions options;

    @Option(names = "--out", paramLabel = "DIR", description = "folder for the results; default: ${DEFAULT-VALUE}")
    private Path out = Path.of("target", "results");

    @Option(names = "--summary-only", description = "write no rows of seconds and services")
    private boolean summaryOnly;

    private volatile boolean interrupted;
    private long toldNanos;

    @Override
    public Integer call() throws Exception {
        List<Experiment> experiments = options.experiments();
        CountDownLatch written = new CountDownLatch(1);
        Thread hook = new Thread(() -> endRun(written), "interrupt");
        Runtime.getRuntime().addShutdownHook(hook);
        try (ResultFiles files = ResultFiles.create(out, summaryOnly)) {
            for (Experiment experiment : experiments) {
                if (!interrupted) {
                    files.add(play(experiment));
                }
            }
        } finally {
            written.countDown();
        }
        if (interrupted) {
            return Main.FAILED;
        }
        Runtime.getRuntime().removeShutdownHook(hook);
        return 0;
    }

    /** Runs while the process is about to end: the run stops within a simulated second and its results are written. */
    private void endRun(CountDownLatch written) {
        interrupted = true;
        try {
            written.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private RunResult play(Experiment experiment) {
        LOG.atInfo()
                .addKeyValue("experiment", experiment.name())
                .addKeyValue("size", experiment.fleet().upstreams())
                .addKeyValue("seed", experiment.seed())
                .log("run begins");
        long startedNanos = System.nanoTime();
        toldNanos = startedNanos;
        RunResult result =
                new Simulation(experiment).run((seconds, calls) -> goOn(experiment, startedNanos, seconds, calls));
        LOG.atInfo()
                .addKeyValue("experiment", experiment.name())
                .addKeyValue("size", result.size())
                .addKeyValue("seed", result.seed())
                .addKeyValue("complete", result.complete())
                .addKeyValue("realSeconds", (System.nanoTime() - startedNanos) / 1e9)
                .addKeyValue("digest", result.digest())
                .log("run ends");
        return result;
    }

    private boolean goOn(Experiment experiment, long startedNanos, double seconds, long calls) {
        long nowNanos = System.nanoTime();
        if (nowNanos - toldNanos >= PROGRESS_NANOS) {
            toldNanos = nowNanos;
            LOG.atInfo()
                    .addKeyValue("simulatedSeconds", seconds)
                    .addKeyValue("ofSeconds", experiment.totalSeconds())
                    .addKeyValue("calls", calls)
                    .addKeyValue("callsPerRealSecond", Math.round(calls * 1e9 / (nowNanos - startedNanos)))
                    .log("progress");
        }
        return !interrupted;
    }
}
