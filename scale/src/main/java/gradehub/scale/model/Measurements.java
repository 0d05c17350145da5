package gradehub.scale.model;

import gradehub.Balancer.Outcome;
import gradehub.scale.experiment.Experiment;
import org.HdrHistogram.Histogram;

/** What is counted during a run. Figures count from the end of the warm-up; rows of seconds cover the whole run. */
final class Measurements {

    private static final int DIGITS = 3;

    private final long warmupEndMicros;
    private final int[] layerOfMachine;

    final long[] callsByLayer;
    final long[] attemptsSentByLayer;
    final long[] attemptsArrivedByLayer;
    final long[] attemptsArrivedByMachine;
    final long[] attemptsSentByDistance = new long[Network.Distance.values().length];
    final long[] answers = new long[ApplicationCall.Answer.values().length];
    final long[] outcomes = new long[Outcome.values().length];
    final SecondRow[] seconds;
    long rootOffered;
    long rootServed;
    long rootFailed;
    long retries;
    long totalCalls;
    long lateAnswers;
    /** Requests that sidecars have answered without an attempt. */
    long answersWithoutAttempt;

    long moduleLogLines;
    long listCalls;
    long listCallsFailed;
    long listBytesIn;
    long listBytesOut;
    long listWholeLists;
    long listChanges;
    long listBusyMicros;
    long listLongestBacklogMicros;
    long coldAttempts;
    long coldFailures;
    double maxColdLoad;
    final Histogram rootLatency = new Histogram(DIGITS);
    final Histogram changeDelays = new Histogram(DIGITS);
    final Histogram restoreDelays = new Histogram(DIGITS);
    final Histogram moveDelays = new Histogram(DIGITS);

    /** What one simulated second has seen. */
    static final class SecondRow {
        long rootOffered;
        long rootServed;
        long attempts;
        long leafAttempts;
        long listCalls;
        long listCallsFailed;
        long listBytesIn;
        long listBytesOut;
        long restored;
        long configured;
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
        this.seconds = new SecondRow[(int) Math.ceil(experiment.totalSeconds()) + 1];
        for (int i = 0; i < seconds.length; i++) {
            seconds[i] = new SecondRow();
        }
    }

    private boolean isAfterWarmup(long nowMicros) {
        return nowMicros >= warmupEndMicros;
    }

    private SecondRow second(long nowMicros) {
        return seconds[(int) Math.min(seconds.length - 1, nowMicros / SimulationContext.MICROS_PER_SECOND)];
    }

    // ---- Calls.

    void rootCallStarted(long nowMicros) {
        second(nowMicros).rootOffered++;
        rootOffered += isAfterWarmup(nowMicros) ? 1 : 0;
    }

    void rootCallEnded(long nowMicros, long intendedMicros, boolean served) {
        second(nowMicros).rootServed += served ? 1 : 0;
        if (!isAfterWarmup(intendedMicros)) {
            return;
        }
        rootServed += served ? 1 : 0;
        rootFailed += served ? 0 : 1;
        if (served) {
            rootLatency.recordValue(nowMicros - intendedMicros);
        }
    }

    /** An application calls the next layer. */
    void callStarted(long nowMicros, Topology.Machine from) {
        totalCalls++;
        callsByLayer[layerOfMachine[from.number()] + 1] += isAfterWarmup(nowMicros) ? 1 : 0;
    }

    /** A client makes a further try. */
    void callRetried(long nowMicros) {
        retries += isAfterWarmup(nowMicros) ? 1 : 0;
    }

    void attemptSent(long nowMicros, Topology.Machine target, Network.Distance distance) {
        second(nowMicros).attempts++;
        if (isAfterWarmup(nowMicros)) {
            attemptsSentByLayer[layerOfMachine[target.number()]]++;
            attemptsSentByDistance[distance.ordinal()]++;
        }
    }

    void attemptArrived(long nowMicros, Topology.Machine machine) {
        int layer = layerOfMachine[machine.number()];
        second(nowMicros).leafAttempts += layer == attemptsArrivedByLayer.length - 1 ? 1 : 0;
        if (isAfterWarmup(nowMicros)) {
            attemptsArrivedByLayer[layer]++;
            attemptsArrivedByMachine[machine.number()]++;
        }
    }

    void attemptEnded(long nowMicros, Outcome outcome) {
        outcomes[outcome.ordinal()] += isAfterWarmup(nowMicros) ? 1 : 0;
    }

    /** A sidecar has answered, this long after the deadline; {@code sent} tells whether it has made an attempt. */
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

    /** An attempt has reached a cold upstream, which now bears this load against what it can take. */
    void coldAttemptArrived(double load) {
        coldAttempts++;
        maxColdLoad = Math.max(maxColdLoad, load);
    }

    void coldUpstreamFailed() {
        coldFailures++;
    }

    // ---- The list service.

    void listCallReceived(long nowMicros, int bytes) {
        SecondRow second = second(nowMicros);
        second.listCalls++;
        second.listBytesIn += bytes;
        listCalls += isAfterWarmup(nowMicros) ? 1 : 0;
        listBytesIn += isAfterWarmup(nowMicros) ? bytes : 0;
    }

    void listCallFailed(long nowMicros, int bytes) {
        second(nowMicros).listCallsFailed++;
        second(nowMicros).listBytesOut += bytes;
        listCallsFailed += isAfterWarmup(nowMicros) ? 1 : 0;
        listBytesOut += isAfterWarmup(nowMicros) ? bytes : 0;
    }

    void listMessageWritten(long nowMicros, int bytes, boolean whole) {
        second(nowMicros).listBytesOut += bytes;
        listBytesOut += isAfterWarmup(nowMicros) ? bytes : 0;
        listWholeLists += isAfterWarmup(nowMicros) && whole ? 1 : 0;
    }

    void listKeepAliveWritten(long nowMicros, int bytes) {
        second(nowMicros).listBytesOut += bytes;
        listBytesOut += isAfterWarmup(nowMicros) ? bytes : 0;
    }

    void listServiceBusy(long nowMicros, long costMicros, long backlogMicros) {
        if (isAfterWarmup(nowMicros)) {
            listBusyMicros += costMicros;
            listLongestBacklogMicros = Math.max(listLongestBacklogMicros, backlogMicros);
        }
    }

    /** An entry of the list changes. */
    void listEntryChanged(long nowMicros) {
        listChanges += isAfterWarmup(nowMicros) ? 1 : 0;
    }

    /** A sidecar is told of a change, this long after it was there and could be asked for. */
    void listChangeReceived(long nowMicros, long delayMicros) {
        if (isAfterWarmup(nowMicros)) {
            changeDelays.recordValue(delayMicros);
        }
    }

    /** A sidecar that had lost its watch has one again, this long after the list service could be reached. */
    void watchRestored(long nowMicros, long delayMicros) {
        second(nowMicros).restored++;
        if (isAfterWarmup(nowMicros)) {
            restoreDelays.recordValue(delayMicros);
        }
    }

    /** A sidecar has the list of another list service, this long after it was told to use that. */
    void listServiceMoved(long nowMicros, long delayMicros) {
        second(nowMicros).configured++;
        if (isAfterWarmup(nowMicros)) {
            moveDelays.recordValue(delayMicros);
        }
    }
}
