package gradehub.scale.model;

import gradehub.Balancer.Outcome;
import gradehub.scale.experiment.UpstreamModel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** A machine's application as an upstream: a queue before some cores, slow while it is cold, and the faults it has. */
final class SimulatedUpstream {

    private final SimulationContext context;
    private final Topology.Machine machine;
    private final UpstreamModel model;
    private final SplittableRandom random;
    private final double meanWorkMicros;
    /** Parameters of the log-normal distribution of work with that mean. */
    private final double logMean;

    private final double logDeviation;
    private final ArrayDeque<Attempt> waiting = new ArrayDeque<>();
    private final List<Attempt> held = new ArrayList<>();
    private final ColdStart coldBudget;
    private int running;
    private int life;
    private boolean up = true;
    private boolean silent;
    private boolean fallen;
    private long startedMicros = -1;
    private double errorPart;
    private double slowFactor = 1;

    SimulatedUpstream(SimulationContext context, Topology.Machine machine) {
        this.context = context;
        this.machine = machine;
        this.model = context.experiment.upstream();
        this.random = context.newRandom();
        Topology.Service service = context.topology.services.get(machine.service());
        double perMachine = service.plannedRate() / service.machines().size();
        double utilisation = context.experiment.fleet().utilisation();
        this.meanWorkMicros = perMachine > 0
                ? utilisation * model.cores() * SimulationContext.MICROS_PER_SECOND / perMachine
                : SimulationContext.MICROS_PER_MILLI;
        double variance = Math.log1p(model.workVariation() * model.workVariation());
        this.logMean = Math.log(meanWorkMicros) - variance / 2;
        this.logDeviation = Math.sqrt(variance);
        this.coldBudget = new ColdStart(model, model.cores() / meanWorkMicros);
    }

    Topology.Machine machine() {
        return machine;
    }

    /** Whether its machine says nothing, as one that is lost or cut off. */
    boolean isMachineLost() {
        return silent;
    }

    /** Whether its process runs. */
    boolean isUp() {
        return up;
    }

    /** When its process started, or -1 if that was before the run. */
    long startedMicros() {
        return startedMicros;
    }

    void setErrorFraction(double part) {
        errorPart = part;
    }

    void setSlowdownFactor(double factor) {
        slowFactor = factor;
    }

    /** The machine falls silent and its process is gone; what it has in hand is never answered. */
    void loseMachine() {
        silent = true;
        up = false;
        life++;
        forget();
    }

    /** The process dies; its connections are reset. */
    void kill(long nowMicros) {
        up = false;
        life++;
        for (Attempt attempt : List.copyOf(held)) {
            attempt.client.reply(nowMicros, attempt, Outcome.RESET);
        }
        forget();
    }

    /** A new, cold process starts. */
    void start(long nowMicros) {
        silent = false;
        up = true;
        fallen = false;
        startedMicros = nowMicros;
        coldBudget.start(nowMicros);
    }

    private void forget() {
        held.forEach(attempt -> attempt.heldPlace = -1);
        held.clear();
        waiting.clear();
        running = 0;
    }

    void arrive(long nowMicros, Attempt attempt) {
        if (silent) {
            return;
        }
        if (!up) {
            attempt.client.reply(nowMicros, attempt, Outcome.CONNECT_FAILED);
            return;
        }
        context.measurements.attemptArrived(nowMicros, machine);
        double work = Math.exp(logMean + logDeviation * random.nextGaussian());
        if (isOverloadedCold(nowMicros, work)) {
            return;
        }
        if (errorPart > 0 && random.nextDouble() < errorPart) {
            attempt.client.reply(nowMicros, attempt, Outcome.ERROR);
        } else if (running < model.cores()) {
            hold(attempt);
            run(nowMicros, attempt, work);
        } else if (waiting.size() < model.queueCapacity()) {
            hold(attempt);
            waiting.add(attempt);
        } else {
            attempt.client.reply(nowMicros, attempt, Outcome.REJECTED);
        }
    }

    /** Counts what reaches it while it is cold, and lets it fall over when that is too much. */
    private boolean isOverloadedCold(long nowMicros, double work) {
        if (!coldBudget.isCold(nowMicros)) {
            return false;
        }
        double load = coldBudget.count(nowMicros, work / meanWorkMicros);
        context.measurements.coldAttemptArrived(load);
        if (load > 1 && !fallen) {
            fallen = true;
            context.measurements.coldUpstreamFailed();
            kill(nowMicros);
            context.listService.scheduleLossDetection(nowMicros, machine);
        }
        return fallen;
    }

    private void run(long nowMicros, Attempt attempt, double workMicros) {
        running++;
        int ofLife = life;
        long duration = Math.max(1, Math.round(workMicros * slowFactor / coldBudget.capacity(nowMicros)));
        context.queue.scheduleAt(nowMicros + duration, now -> {
            if (life == ofLife) {
                worked(now, attempt);
            }
        });
    }

    private void worked(long nowMicros, Attempt attempt) {
        running--;
        runNext(nowMicros);
        int ofLife = life;
        int tries = context.experiment.calls().innerTries();
        SimulatedSidecar sidecar = context.sidecars.get(machine.number());
        FanOut.begin(context, sidecar, nowMicros, attempt.deadlineMicros, tries, (now, succeeded) -> {
            if (life == ofLife) {
                letGo(attempt);
                attempt.client.reply(now, attempt, succeeded ? Outcome.OK : Outcome.ERROR);
            }
        });
    }

    /** What its sidecar has given up is passed over. */
    private void runNext(long nowMicros) {
        Attempt next = waiting.poll();
        while (next != null && (next.ended || nowMicros >= next.deadlineMicros)) {
            letGo(next);
            next = waiting.poll();
        }
        if (next != null) {
            run(nowMicros, next, Math.exp(logMean + logDeviation * random.nextGaussian()));
        }
    }

    private void hold(Attempt attempt) {
        attempt.heldPlace = held.size();
        held.add(attempt);
    }

    private void letGo(Attempt attempt) {
        Attempt last = held.remove(held.size() - 1);
        if (last != attempt) {
            held.set(attempt.heldPlace, last);
            last.heldPlace = attempt.heldPlace;
        }
        attempt.heldPlace = -1;
    }
}
