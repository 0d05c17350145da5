package gradehub.scale.model;

import gradehub.scale.experiment.Experiment;
import gradehub.scale.experiment.Fault;
import gradehub.scale.result.RunResult;

/** Runs one experiment on a simulated clock. The same experiment with the same seed gives the same result. */
public final class Simulation {

    /** Receives the progress of a run. */
    @FunctionalInterface
    public interface ProgressListener {
        /** Called after each simulated second, with all calls made so far; returns false to stop the run. */
        boolean onProgress(double simulatedSeconds, long calls);
    }

    private final SimulationContext context;

    /** Builds the fleet; {@link #run} starts it. */
    public Simulation(Experiment experiment) {
        this(new SimulationContext(experiment));
    }

    Simulation(SimulationContext context) {
        this.context = context;
    }

    /** Runs the experiment to its end, or until {@code listener} stops it, and returns the measurements. */
    public RunResult run(ProgressListener listener) {
        start();
        long endMicros = SimulationContext.toMicros(context.experiment.totalSeconds());
        boolean running = true;
        while (running && context.queue.nowMicros() < endMicros) {
            context.queue.runUntil(
                    Math.min(endMicros, context.queue.nowMicros() + SimulationContext.MICROS_PER_SECOND));
            double simulatedSeconds = context.queue.nowMicros() / (double) SimulationContext.MICROS_PER_SECOND;
            running = listener.onProgress(simulatedSeconds, context.measurements.totalCalls);
        }
        return Figures.compute(context, context.queue.nowMicros() >= endMicros);
    }

    private void start() {
        for (SimulatedSidecar sidecar : context.sidecars) {
            sidecar.start(0, context.listService.fullList(sidecar.machine()));
        }
        RootClients.start(context);
        FaultSchedule faults = new FaultSchedule(context);
        for (Fault fault : context.experiment.faults()) {
            faults.add(fault);
        }
    }
}
