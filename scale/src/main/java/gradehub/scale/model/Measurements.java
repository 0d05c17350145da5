package gradehub.scale.model;

import gradehub.Balancer.Outcome;
import gradehub.scale.experiment.Experiment;
import org.HdrHistogram.Histogram;

/** What is counted during a run. Figures count from the end of the warm-up; rows of seconds cover the whole run. */
final class Measurements {

    private static final int DIGITS = 3;

    private final long fromMicros;
    private final int[] layerOfMachine;

    final long[] callsByLayer;
    final long[] sentByLayer;
    final long[] arrivedByLayer;
    final long[] arrivedByMachine;
    final long[] sentByDistance = new long[Network.Distance.values().length];
    final long[] answers = new long[ApplicationCall.Answer.values().length];
    final long[] outcomes = new long[Outcome.values().length];
    final SecondRow[] seconds;
    long rootOffered;
    long rootServed;
    long rootFailed;
    long repeats;
    long allCalls;
    long lateAnswers;
    /** Requests that sidecars have answered without an attempt. */
    long unsent;

    long logLines;
    long listCalls;
    long listCallsFailed;
    long listBytesIn;
    long listBytesOut;
    long listWholeLists;
    long listChanges;
    long listBusyMicros;
    long listLongestBacklogMicros;
    long coldAttempts;
    long coldFalls;
    double coldLoadMost;
    final Histogram rootLatency = new Histogram(DIGITS);
    final Histogram told = new Histogram(DIGITS);
    final Histogram restored = new Histogram(DIGITS);
    final Histogram configured = new Histogram(DIGITS);

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
        this.fromMicros = World.micros(experiment.warmupSeconds());
        int layers = experiment.fleet().layers();
        this.callsByLayer = new long[layers];
        this.sentByLayer = new long[layers];
        this.arrivedByLayer = new long[layers];
        this.arrivedByMachine = new long[topology.machines.size()];
        this.layerOfMachine = topology.machines.stream()
                .mapToInt(machine -> topology.services.get(machine.service()).layer())
                .toArray();
        this.seconds = new SecondRow[(int) Math.ceil(experiment.totalSeconds()) + 1];
        for (int i = 0; i < seconds.length; i++) {
            seconds[i] = new SecondRow();
        }
    }

    private boolean counts(long nowMicros) {
        return nowMicros >= fromMicros;
    }

    private SecondRow second(long nowMicros) {
        return seconds[(int) Math.min(seconds.length - 1, nowMicros / World.MICROS_PER_SECOND)];
    }

    // ---- Calls.

    void rootOffered(long nowMicros) {
        second(nowMicros).rootOffered++;
        rootOffered += counts(nowMicros) ? 1 : 0;
    }

    void rootEnded(long nowMicros, long intendedMicros, boolean served) {
        second(nowMicros).rootServed += served ? 1 : 0;
        if (!counts(intendedMicros)) {
            return;
        }
        rootServed += served ? 1 : 0;
        rootFailed += served ? 0 : 1;
        if (served) {
            rootLatency.recordValue(nowMicros - intendedMicros);
        }
    }

    /** An application calls the next layer. */
    void called(long nowMicros, Topology.Machine from) {
        allCalls++;
        callsByLayer[layerOfMachine[from.number()] + 1] += counts(nowMicros) ? 1 : 0;
    }

    /** A client makes a further try. */
    void repeated(long nowMicros) {
        repeats += counts(nowMicros) ? 1 : 0;
    }

    void sent(long nowMicros, Topology.Machine target, Network.Distance distance) {
        second(nowMicros).attempts++;
        if (counts(nowMicros)) {
            sentByLayer[layerOfMachine[target.number()]]++;
            sentByDistance[distance.ordinal()]++;
        }
    }

    void arrived(long nowMicros, Topology.Machine machine) {
        int layer = layerOfMachine[machine.number()];
        second(nowMicros).leafAttempts += layer == arrivedByLayer.length - 1 ? 1 : 0;
        if (counts(nowMicros)) {
            arrivedByLayer[layer]++;
            arrivedByMachine[machine.number()]++;
        }
    }

    void attemptEnded(long nowMicros, Outcome outcome) {
        outcomes[outcome.ordinal()] += counts(nowMicros) ? 1 : 0;
    }

    /** A sidecar has answered, this long after the deadline; {@code sent} tells whether it has made an attempt. */
    void answered(long nowMicros, long lateMicros, ApplicationCall.Answer answer, boolean sent) {
        if (counts(nowMicros)) {
            lateAnswers += lateMicros > 0 ? 1 : 0;
            answers[answer.ordinal()]++;
            unsent += sent ? 0 : 1;
        }
    }

    void logged() {
        logLines++;
    }

    /** An attempt has reached a cold upstream, which now bears this load against what it can take. */
    void coldLoad(double load) {
        coldAttempts++;
        coldLoadMost = Math.max(coldLoadMost, load);
    }

    void coldFall() {
        coldFalls++;
    }

    // ---- The list service.

    void listCall(long nowMicros, int bytes) {
        SecondRow second = second(nowMicros);
        second.listCalls++;
        second.listBytesIn += bytes;
        listCalls += counts(nowMicros) ? 1 : 0;
        listBytesIn += counts(nowMicros) ? bytes : 0;
    }

    void listCallFailed(long nowMicros, int bytes) {
        second(nowMicros).listCallsFailed++;
        second(nowMicros).listBytesOut += bytes;
        listCallsFailed += counts(nowMicros) ? 1 : 0;
        listBytesOut += counts(nowMicros) ? bytes : 0;
    }

    void listWritten(long nowMicros, int bytes, boolean whole) {
        second(nowMicros).listBytesOut += bytes;
        listBytesOut += counts(nowMicros) ? bytes : 0;
        listWholeLists += counts(nowMicros) && whole ? 1 : 0;
    }

    void listLine(long nowMicros, int bytes) {
        second(nowMicros).listBytesOut += bytes;
        listBytesOut += counts(nowMicros) ? bytes : 0;
    }

    void listServiceBusy(long nowMicros, long costMicros, long backlogMicros) {
        if (counts(nowMicros)) {
            listBusyMicros += costMicros;
            listLongestBacklogMicros = Math.max(listLongestBacklogMicros, backlogMicros);
        }
    }

    /** An entry of the list changes. */
    void changed(long nowMicros) {
        listChanges += counts(nowMicros) ? 1 : 0;
    }

    /** A sidecar is told of a change, this long after it was there and could be asked for. */
    void told(long nowMicros, long delayMicros) {
        if (counts(nowMicros)) {
            told.recordValue(delayMicros);
        }
    }

    /** A sidecar that had lost its watch has one again, this long after the list service could be reached. */
    void listRestored(long nowMicros, long delayMicros) {
        second(nowMicros).restored++;
        if (counts(nowMicros)) {
            restored.recordValue(delayMicros);
        }
    }

    /** A sidecar has the list of another list service, this long after it was told to use that. */
    void configured(long nowMicros, long delayMicros) {
        second(nowMicros).configured++;
        if (counts(nowMicros)) {
            configured.recordValue(delayMicros);
        }
    }
}
