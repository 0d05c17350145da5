package gradehub.scale.model;

import gradehub.Balancer.Outcome;
import gradehub.scale.experiment.UpstreamModel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The application of one machine as an upstream: a bounded queue in front of a number of cores, with lower capacity
 * while it is cold, and with injected faults.
 */
final class SimulatedUpstream {

    private final SimulationContext context;
    private final Topology.Machine machine;
    private final UpstreamModel model;
    private final SplittableRandom random;
    private final double meanWorkMicros;
    /** Parameters of the log-normal distribution of work whose mean is {@code meanWorkMicros}. */
    private final double logMean;

    private final double logStandardDeviation;
    private final ArrayDeque<Attempt> waiting = new ArrayDeque<>();
    /** All accepted attempts without an outcome, including those that wait. */
    private final List<Attempt> inProgress = new ArrayList<>();

    private final ColdStart coldStart;
    private int busyCores;
    private int incarnation;
    private boolean up = true;
    private boolean machineLost;
    private boolean crashedByOverload;
    private long startedMicros = -1;
    private double errorFraction;
    private double slowdownFactor = 1;

    SimulatedUpstream(SimulationContext context, Topology.Machine machine) {
        this.context = context;
        this.machine = machine;
        this.model = context.experiment.upstream();
        this.random = context.newRandom();
        Topology.Service service = context.topology.services.get(machine.service());
        double ratePerMachine = service.plannedRate() / service.machines().size();
        double utilisation = context.experiment.fleet().utilisation();
        this.meanWorkMicros = ratePerMachine > 0
                ? utilisation * model.cores() * SimulationContext.MICROS_PER_SECOND / ratePerMachine
                : SimulationContext.MICROS_PER_MILLI;
        double variance = Math.log1p(model.workVariation() * model.workVariation());
        this.logMean = Math.log(meanWorkMicros) - variance / 2;
        this.logStandardDeviation = Math.sqrt(variance);
        this.coldStart = new ColdStart(model, model.cores() / meanWorkMicros);
    }

    Topology.Machine machine() {
        return machine;
    }

    /** Whether the machine is lost: it answers nothing, and connections to it time out. */
    boolean isMachineLost() {
        return machineLost;
    }

    /** Whether the process is running. */
    boolean isUp() {
        return up;
    }

    /** When the process started, or -1 if it started before the run. */
    long startedMicros() {
        return startedMicros;
    }

    void setErrorFraction(double fraction) {
        errorFraction = fraction;
    }

    void setSlowdownFactor(double factor) {
        slowdownFactor = factor;
    }

    /** The machine is lost with its process; attempts in progress never get a reply. */
    void loseMachine() {
        machineLost = true;
        up = false;
        incarnation++;
        dropAttempts();
    }

    /** The process ends and its connections are reset. */
    void kill(long nowMicros) {
        up = false;
        incarnation++;
        for (Attempt attempt : List.copyOf(inProgress)) {
            attempt.client.deliverOutcome(nowMicros, attempt, Outcome.RESET);
        }
        dropAttempts();
    }

    /** Starts a new process, which is cold at first. */
    void start(long nowMicros) {
        machineLost = false;
        up = true;
        crashedByOverload = false;
        startedMicros = nowMicros;
        coldStart.start(nowMicros);
    }

    private void dropAttempts() {
        inProgress.forEach(attempt -> attempt.inProgressIndex = -1);
        inProgress.clear();
        waiting.clear();
        busyCores = 0;
    }

    void receive(long nowMicros, Attempt attempt) {
        if (machineLost) {
            return;
        }
        if (!up) {
            attempt.client.deliverOutcome(nowMicros, attempt, Outcome.CONNECT_FAILED);
            return;
        }
        context.measurements.attemptArrived(nowMicros, machine);
        double workMicros = Math.exp(logMean + logStandardDeviation * random.nextGaussian());
        if (crashIfOverloadedWhileCold(nowMicros, workMicros)) {
            return;
        }
        if (errorFraction > 0 && random.nextDouble() < errorFraction) {
            attempt.client.deliverOutcome(nowMicros, attempt, Outcome.ERROR);
        } else if (busyCores < model.cores()) {
            addInProgress(attempt);
            startLocalWork(nowMicros, attempt, workMicros);
        } else if (waiting.size() < model.queueCapacity()) {
            addInProgress(attempt);
            waiting.add(attempt);
        } else {
            attempt.client.deliverOutcome(nowMicros, attempt, Outcome.REJECTED);
        }
    }

    /** Counts an arrival at a cold upstream; crashes the process and returns true if the load exceeds its limit. */
    private boolean crashIfOverloadedWhileCold(long nowMicros, double workMicros) {
        if (!coldStart.isCold(nowMicros)) {
            return false;
        }
        double load = coldStart.recordArrival(nowMicros, workMicros / meanWorkMicros);
        context.measurements.coldAttemptArrived(load);
        if (load > 1 && !crashedByOverload) {
            crashedByOverload = true;
            context.measurements.coldUpstreamFailed();
            kill(nowMicros);
            context.listService.scheduleLossDetection(nowMicros, machine);
        }
        return crashedByOverload;
    }

    private void startLocalWork(long nowMicros, Attempt attempt, double workMicros) {
        busyCores++;
        int startIncarnation = incarnation;
        long durationMicros =
                Math.max(1, Math.round(workMicros * slowdownFactor / coldStart.capacityFraction(nowMicros)));
        context.queue.scheduleAt(nowMicros + durationMicros, now -> {
            if (incarnation == startIncarnation) {
                finishLocalWork(now, attempt);
            }
        });
    }

    private void finishLocalWork(long nowMicros, Attempt attempt) {
        busyCores--;
        startNextWaiting(nowMicros);
        int startIncarnation = incarnation;
        int maxTries = context.experiment.calls().innerTries();
        SimulatedSidecar sidecar = context.sidecars.get(machine.number());
        FanOut.start(context, sidecar, nowMicros, attempt.deadlineMicros, maxTries, (now, succeeded) -> {
            if (incarnation == startIncarnation) {
                removeInProgress(attempt);
                attempt.client.deliverOutcome(now, attempt, succeeded ? Outcome.OK : Outcome.ERROR);
            }
        });
    }

    /** Starts the next waiting attempt; discards those that have ended at the sidecar or are past their deadline. */
    private void startNextWaiting(long nowMicros) {
        Attempt next = waiting.poll();
        while (next != null && (next.ended || nowMicros >= next.deadlineMicros)) {
            removeInProgress(next);
            next = waiting.poll();
        }
        if (next != null) {
            startLocalWork(nowMicros, next, Math.exp(logMean + logStandardDeviation * random.nextGaussian()));
        }
    }

    private void addInProgress(Attempt attempt) {
        attempt.inProgressIndex = inProgress.size();
        inProgress.add(attempt);
    }

    private void removeInProgress(Attempt attempt) {
        Attempt last = inProgress.remove(inProgress.size() - 1);
        if (last != attempt) {
            inProgress.set(attempt.inProgressIndex, last);
            last.inProgressIndex = attempt.inProgressIndex;
        }
        attempt.inProgressIndex = -1;
    }
}
