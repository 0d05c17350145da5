package gradehub.scale;

import gradehub.scale.experiment.Experiment;
import gradehub.scale.model.Simulation;
import gradehub.scale.result.RunResult;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/** Logs the start, the progress and the end of one run, and stops the run after an interrupt. */
final class ProgressLog implements Simulation.ProgressListener {

    private static final Logger LOG = LoggerFactory.getLogger(ProgressLog.class);
    private static final long LOG_PERIOD_NANOS = 5_000_000_000L;

    private final Experiment experiment;
    private final BooleanSupplier interrupted;
    private final long startNanos = System.nanoTime();
    private long lastLogNanos = startNanos;

    ProgressLog(Experiment experiment, BooleanSupplier interrupted) {
        this.experiment = experiment;
        this.interrupted = interrupted;
        infoEvent().log("run started");
    }

    @Override
    public boolean onProgress(double simulatedSeconds, long calls) {
        long nowNanos = System.nanoTime();
        if (nowNanos - lastLogNanos >= LOG_PERIOD_NANOS) {
            lastLogNanos = nowNanos;
            infoEvent()
                    .addKeyValue("simulatedSeconds", simulatedSeconds)
                    .addKeyValue("ofSeconds", experiment.totalSeconds())
                    .addKeyValue("calls", calls)
                    .addKeyValue("callsPerRealSecond", Math.round(calls / realSeconds(nowNanos)))
                    .log("progress");
        }
        return !interrupted.getAsBoolean();
    }

    void logEnd(RunResult result) {
        infoEvent()
                .addKeyValue("complete", result.complete())
                .addKeyValue("realSeconds", realSeconds(System.nanoTime()))
                .addKeyValue("digest", result.digest())
                .log("run ended");
    }

    private double realSeconds(long nowNanos) {
        return (nowNanos - startNanos) / 1e9;
    }

    private LoggingEventBuilder infoEvent() {
        return LOG.atInfo()
                .addKeyValue("experiment", experiment.name())
                .addKeyValue("size", experiment.fleet().upstreams())
                .addKeyValue("seed", experiment.seed());
    }
}
