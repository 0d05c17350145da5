package gradehub.scale.model;

import gradehub.scale.experiment.Experiment;
import gradehub.scale.experiment.Fault;
import gradehub.scale.result.RunResult;

/** Plays one experiment on a simulated clock. The same experiment with the same seed gives the same result. */
public final class Simulation {

    /** Told of the progress of a run. */
    @FunctionalInterface
    public interface ProgressListener {
        /** So much simulated time has passed and so many calls have been made; false ends the run. */
        boolean onProgress(double simulatedSeconds, long calls);
    }

    private final SimulationContext context;

    /** Builds the fleet; nothing has happened yet. */
    public Simulation(Experiment experiment) {
        this(new SimulationContext(experiment));
    }

    Simulation(SimulationContext context) {
        this.context = context;
    }

    /** Plays the experiment to its end, or until {@code progress} ends it, and tells what was measured. */
    public RunResult run(ProgressListener listener) {
        start();
        long end = SimulationContext.toMicros(context.experiment.totalSeconds());
        boolean running = true;
        while (running && context.queue.nowMicros() < end) {
            context.queue.runUntil(Math.min(end, context.queue.nowMicros() + SimulationContext.MICROS_PER_SECOND));
            double seconds = context.queue.nowMicros() / (double) SimulationContext.MICROS_PER_SECOND;
            running = listener.onProgress(seconds, context.measurements.totalCalls);
        }
        return Figures.compute(context, context.queue.nowMicros() >= end);
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
