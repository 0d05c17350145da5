package gradehub.scale.model;

import gradehub.Balancer.Outcome;
import gradehub.scale.experiment.Experiment;
import org.HdrHistogram.Histogram;

/**
 * Counters and histograms of a run. They start at the end of the warm-up unless noted otherwise; the rows of seconds
 * cover the whole run.
 */
final class Measurements {

    private static final int SIGNIFICANT_DIGITS = 3;

    private final long warmupEndMicros;
    private final int[] layerOfMachine;

    final long[] callsByLayer;
    final long[] attemptsSentByLayer;
    final long[] attemptsArrivedByLayer;
    final long[] attemptsArrivedByMachine;
    final long[] attemptsSentByDistance = new long[Network.Distance.values().length];
    final long[] answers = new long[ApplicationCall.Answer.values().length];
    final long[] outcomes = new long[Outcome.values().length];
    final SecondRow[] secondRows;
    long rootOffered;
    long rootServed;
    long rootFailed;
    long retries;
    /** Calls of the whole run, those of the warm-up included. */
    long totalCalls;

    /** Answers of sidecars after the deadline of the request. */
    long lateAnswers;
    /** Requests that a sidecar answered without sending an attempt. */
    long answersWithoutAttempt;

    /** Log lines of the balancing modules in the whole run. */
    long moduleLogLines;

    long listCalls;
    long listCallsFailed;
    long listBytesIn;
    long listBytesOut;
    long listWholeLists;
    long listChanges;
    long listBusyMicros;
    long listLongestBacklogMicros;
    /** Attempts that reached a cold upstream in the whole run. */
    long coldAttempts;
    /** Cold upstreams that failed under overload in the whole run. */
    long coldFailures;
    /** Highest load of a cold upstream in the whole run, relative to the most that it can take. */
    double maxColdLoad;

    final Histogram rootLatency = new Histogram(SIGNIFICANT_DIGITS);
    final Histogram changeDelays = new Histogram(SIGNIFICANT_DIGITS);
    final Histogram restoreDelays = new Histogram(SIGNIFICANT_DIGITS);
    final Histogram moveDelays = new Histogram(SIGNIFICANT_DIGITS);

    /** Counts of one simulated second. */
    static final class SecondRow {
        long rootOffered;
        long rootServed;
        long attempts;
        long leafAttempts;
        long listCalls;
        long listCallsFailed;
        long listBytesIn;
        long listBytesOut;
        long watchesRestored;
        long listServiceMoves;
    }

    Measurements(Experiment experiment, Topology topology) {
        this.warmupEndMicros = SimulationContext.toMicros(experiment.warmupSeconds());
        int layers = experiment.fleet().layers();
        this.callsByLayer = new long[layers];
        this.attemptsSentByLayer = new long[layers];
        this.attemptsArrivedByLayer = new long[layers];
        this.attemptsArrivedByMachine = new long[topology.machines.size()];
        this.layerOfMachine = topology.machines.stream()
                .mapToInt(machine -> topology.services.get(machine.service()).layer())
                .toArray();
        this.secondRows = new SecondRow[(int) Math.ceil(experiment.totalSeconds()) + 1];
        for (int i = 0; i < secondRows.length; i++) {
            secondRows[i] = new SecondRow();
        }
    }

    private boolean isAfterWarmup(long nowMicros) {
        return nowMicros >= warmupEndMicros;
    }

    /** Returns the row of this time; times after the end of the run go to an additional last row. */
    private SecondRow rowAt(long nowMicros) {
        return secondRows[(int) Math.min(secondRows.length - 1, nowMicros / SimulationContext.MICROS_PER_SECOND)];
    }

    // Calls and attempts.

    void rootCallStarted(long nowMicros) {
        rowAt(nowMicros).rootOffered++;
        rootOffered += isAfterWarmup(nowMicros) ? 1 : 0;
    }

    /**
     * A root call has ended. It counts only if its intended start, from which its latency is measured, lies after the
     * warm-up.
     */
    void rootCallEnded(long nowMicros, long intendedMicros, boolean served) {
        rowAt(nowMicros).rootServed += served ? 1 : 0;
        if (!isAfterWarmup(intendedMicros)) {
            return;
        }
        rootServed += served ? 1 : 0;
        rootFailed += served ? 0 : 1;
        if (served) {
            rootLatency.recordValue(nowMicros - intendedMicros);
        }
    }

    /** An application on this machine calls the next layer. */
    void callStarted(long nowMicros, Topology.Machine from) {
        totalCalls++;
        callsByLayer[layerOfMachine[from.number()] + 1] += isAfterWarmup(nowMicros) ? 1 : 0;
    }

    /** A client repeats a call through its sidecar. */
    void callRetried(long nowMicros) {
        retries += isAfterWarmup(nowMicros) ? 1 : 0;
    }

    void attemptSent(long nowMicros, Topology.Machine target, Network.Distance distance) {
        rowAt(nowMicros).attempts++;
        if (isAfterWarmup(nowMicros)) {
            attemptsSentByLayer[layerOfMachine[target.number()]]++;
            attemptsSentByDistance[distance.ordinal()]++;
        }
    }

    void attemptArrived(long nowMicros, Topology.Machine machine) {
        int layer = layerOfMachine[machine.number()];
        rowAt(nowMicros).leafAttempts += layer == attemptsArrivedByLayer.length - 1 ? 1 : 0;
        if (isAfterWarmup(nowMicros)) {
            attemptsArrivedByLayer[layer]++;
            attemptsArrivedByMachine[machine.number()]++;
        }
    }

    void attemptEnded(long nowMicros, Outcome outcome) {
        outcomes[outcome.ordinal()] += isAfterWarmup(nowMicros) ? 1 : 0;
    }

    /**
     * A sidecar has answered a request.
     *
     * @param lateMicros time since the deadline, negative for an answer before it
     * @param sent whether the sidecar sent an attempt for the request
     */
    void requestAnswered(long nowMicros, long lateMicros, ApplicationCall.Answer answer, boolean sent) {
        if (isAfterWarmup(nowMicros)) {
            lateAnswers += lateMicros > 0 ? 1 : 0;
            answers[answer.ordinal()]++;
            answersWithoutAttempt += sent ? 0 : 1;
        }
    }

    void moduleLogLineWritten() {
        moduleLogLines++;
    }

    /** An attempt has reached a cold upstream; above a load of 1 the upstream fails. */
    void coldAttemptArrived(double load) {
        coldAttempts++;
        maxColdLoad = Math.max(maxColdLoad, load);
    }

    void coldUpstreamFailed() {
        coldFailures++;
    }

    // List service.

    void listCallReceived(long nowMicros, int bytes) {
        SecondRow row = rowAt(nowMicros);
        row.listCalls++;
        row.listBytesIn += bytes;
        listCalls += isAfterWarmup(nowMicros) ? 1 : 0;
        listBytesIn += isAfterWarmup(nowMicros) ? bytes : 0;
    }

    void listCallFailed(long nowMicros, int bytes) {
        rowAt(nowMicros).listCallsFailed++;
        rowAt(nowMicros).listBytesOut += bytes;
        listCallsFailed += isAfterWarmup(nowMicros) ? 1 : 0;
        listBytesOut += isAfterWarmup(nowMicros) ? bytes : 0;
    }

    void listMessageWritten(long nowMicros, int bytes, boolean fullList) {
        rowAt(nowMicros).listBytesOut += bytes;
        listBytesOut += isAfterWarmup(nowMicros) ? bytes : 0;
        listWholeLists += isAfterWarmup(nowMicros) && fullList ? 1 : 0;
    }

    void listKeepAliveWritten(long nowMicros, int bytes) {
        rowAt(nowMicros).listBytesOut += bytes;
        listBytesOut += isAfterWarmup(nowMicros) ? bytes : 0;
    }

    void listServiceBusy(long nowMicros, long costMicros, long backlogMicros) {
        if (isAfterWarmup(nowMicros)) {
            listBusyMicros += costMicros;
            listLongestBacklogMicros = Math.max(listLongestBacklogMicros, backlogMicros);
        }
    }

    void listEntryChanged(long nowMicros) {
        listChanges += isAfterWarmup(nowMicros) ? 1 : 0;
    }

    /**
     * A sidecar has received a list change. The delay starts with the change or, if later, when the list service became
     * reachable.
     */
    void listChangeReceived(long nowMicros, long delayMicros) {
        if (isAfterWarmup(nowMicros)) {
            changeDelays.recordValue(delayMicros);
        }
    }

    /** A sidecar that had lost its watch has one again, this long after the list service became reachable. */
    void watchRestored(long nowMicros, long delayMicros) {
        rowAt(nowMicros).watchesRestored++;
        if (isAfterWarmup(nowMicros)) {
            restoreDelays.recordValue(delayMicros);
        }
    }

    /** A sidecar has the list of a newly configured list service, this long after the change of its configuration. */
    void listServiceMoved(long nowMicros, long delayMicros) {
        rowAt(nowMicros).listServiceMoves++;
        if (isAfterWarmup(nowMicros)) {
            moveDelays.recordValue(delayMicros);
        }
    }
}
