package gradehub.scale;

import gradehub.scale.experiment.Experiment;
import gradehub.scale.model.Simulation;
import gradehub.scale.result.RunResult;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/** Logs the beginning, the progress and the end of one run, and ends it when it is interrupted. */
final class ProgressLog implements Simulation.ProgressListener {

    private static final Logger LOG = LoggerFactory.getLogger(ProgressLog.class);
    private static final long PERIOD_NANOS = 5_000_000_000L;

    private final Experiment experiment;
    private final BooleanSupplier interrupted;
    private final long startedNanos = System.nanoTime();
    private long loggedNanos = startedNanos;

    ProgressLog(Experiment experiment, BooleanSupplier interrupted) {
        this.experiment = experiment;
        this.interrupted = interrupted;
        info().log("run begins");
    }

    @Override
    public boolean onProgress(double simulatedSeconds, long calls) {
        long nowNanos = System.nanoTime();
        if (nowNanos - loggedNanos >= PERIOD_NANOS) {
            loggedNanos = nowNanos;
            info().addKeyValue("simulatedSeconds", simulatedSeconds)
                    .addKeyValue("ofSeconds", experiment.totalSeconds())
                    .addKeyValue("calls", calls)
                    .addKeyValue("callsPerRealSecond", Math.round(calls / realSeconds(nowNanos)))
                    .log("progress");
        }
        return !interrupted.getAsBoolean();
    }

    void ended(RunResult result) {
        info().addKeyValue("complete", result.complete())
                .addKeyValue("realSeconds", realSeconds(System.nanoTime()))
                .addKeyValue("digest", result.digest())
                .log("run ends");
    }

    private double realSeconds(long nowNanos) {
        return (nowNanos - startedNanos) / 1e9;
    }

    private LoggingEventBuilder info() {
        return LOG.atInfo()
                .addKeyValue("experiment", experiment.name())
                .addKeyValue("size", experiment.fleet().upstreams())
                .addKeyValue("seed", experiment.seed());
    }
}
