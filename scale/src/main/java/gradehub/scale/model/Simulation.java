package gradehub.scale.model;

import gradehub.scale.experiment.Experiment;
import gradehub.scale.experiment.Fault;
import gradehub.scale.result.RunResult;

/** Plays one experiment on a simulated clock. The same experiment with the same seed gives the same result. */
public final class Simulation {

    /** Told of the progress of a run. */
    @FunctionalInterface
    public interface Progress {
        /** So much simulated time has passed and so many calls have been made; false ends the run. */
        boolean goOn(double simulatedSeconds, long calls);
    }

    private final World world;

    /** Builds the fleet; nothing has happened yet. */
    public Simulation(Experiment experiment) {
        this(new World(experiment));
    }

    Simulation(World world) {
        this.world = world;
    }

    /** Plays the experiment to its end, or until {@code progress} ends it, and tells what was measured. */
    public RunResult run(Progress progress) {
        start();
        long end = World.micros(world.experiment.totalSeconds());
        boolean going = true;
        while (going && world.queue.nowMicros() < end) {
            world.queue.runUntil(Math.min(end, world.queue.nowMicros() + World.MICROS_PER_SECOND));
            double seconds = world.queue.nowMicros() / (double) World.MICROS_PER_SECOND;
            going = progress.goOn(seconds, world.measurements.allCalls);
        }
        return Figures.of(world, world.queue.nowMicros() >= end);
    }

    private void start() {
        for (SimulatedSidecar sidecar : world.sidecars) {
            sidecar.start(0, world.listService.fullList(sidecar.machine()));
        }
        RootClients.start(world);
        FaultSchedule faults = new FaultSchedule(world);
        for (Fault fault : world.experiment.faults()) {
            faults.add(fault);
        }
    }
}
