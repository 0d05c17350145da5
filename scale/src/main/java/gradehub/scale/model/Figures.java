package gradehub.scale.model;

import gradehub.Balancer.Outcome;
import gradehub.scale.result.RunResult;
import java.util.ArrayList;
import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.Locale;
import java.util.function.ToLongFunction;
import org.HdrHistogram.Histogram;

/** Computes the named figures of a run, and its rows, from the measurements. */
final class Figures {

    private static final double MICROS_PER_SECOND = 1e6;

    private final SimulationContext context;
    private final Measurements measurements;
    private final double measuredSeconds;
    private final List<RunResult.Figure> figures = new ArrayList<>();

    private Figures(SimulationContext context) {
        this.context = context;
        this.measurements = context.measurements;
        double elapsedSeconds = context.queue.nowMicros() / MICROS_PER_SECOND - context.experiment.warmupSeconds();
        this.measuredSeconds = Math.max(1 / MICROS_PER_SECOND, elapsedSeconds);
    }

    static RunResult compute(SimulationContext context, boolean complete) {
        Figures figures = new Figures(context);
        figures.addCalls();
        figures.addAttempts();
        figures.addDistances();
        figures.addSpreads();
        figures.addZoneLoads();
        figures.addListService();
        figures.addColdLoad();
        return new RunResult(
                context.experiment.name(),
                context.topology.machines.size(),
                context.experiment.seed(),
                complete,
                figures.figures,
                figures.secondRows(),
                figures.serviceRows());
    }

    private void add(String name, double value, String unit) {
        figures.add(new RunResult.Figure(name, value, unit));
    }

    private void addCalls() {
        add("measured-time", measuredSeconds, "s");
        add("services", context.topology.services.size(), "1");
        add("calls", sum(measurements.callsByLayer) / measuredSeconds, "1/s");
        add("root-calls", measurements.rootOffered / measuredSeconds, "1/s");
        add("root-served-part", ratio(measurements.rootServed, measurements.rootServed + measurements.rootFailed), "1");
        add("root-latency-p50", measurements.rootLatency.getValueAtPercentile(50) / 1000.0, "ms");
        add("root-latency-p99", measurements.rootLatency.getValueAtPercentile(99) / 1000.0, "ms");
        add("root-latency-p99.9", measurements.rootLatency.getValueAtPercentile(99.9) / 1000.0, "ms");
        add("repeated-tries", measurements.retries / measuredSeconds, "1/s");
        add("answers-after-deadline", measurements.lateAnswers, "1");
        for (ApplicationCall.Answer answer : ApplicationCall.Answer.values()) {
            String name = answer.name().toLowerCase(Locale.ROOT);
            add(
                    "sidecar-answers-" + name,
                    ratio(measurements.answers[answer.ordinal()], sum(measurements.answers)),
                    "1");
        }
        add("sidecar-answers-unsent", ratio(measurements.answersWithoutAttempt, sum(measurements.answers)), "1");
    }

    private void addAttempts() {
        int hops = measurements.attemptsArrivedByLayer.length - 1;
        double callsPerRequest = context.experiment.calls().callsPerRequest();
        add("attempts", sum(measurements.attemptsSentByLayer) / measuredSeconds, "1/s");
        add("attempts-per-call", ratio(sum(measurements.attemptsSentByLayer), sum(measurements.callsByLayer)), "1");
        double plannedLeaves = measurements.rootOffered * Math.pow(callsPerRequest, hops);
        add("leaf-attempts-per-planned", measurements.attemptsArrivedByLayer[hops] / Math.max(1, plannedLeaves), "1");
        double plannedPerSecond = plannedLeaves / measuredSeconds;
        add("leaf-attempts-most-in-a-second", ratio(maxPerSecond(row -> row.leafAttempts), plannedPerSecond), "1");
        for (int layer = 1; layer <= hops; layer++) {
            double planned = measurements.rootOffered * Math.pow(callsPerRequest, layer);
            add(
                    "attempts-per-planned-layer-" + layer,
                    measurements.attemptsSentByLayer[layer] / Math.max(1, planned),
                    "1");
        }
        for (Outcome outcome : Outcome.values()) {
            String name = outcome.name().toLowerCase(Locale.ROOT).replace('_', '-');
            add("outcome-" + name, ratio(measurements.outcomes[outcome.ordinal()], sum(measurements.outcomes)), "1");
        }
        add("module-log-lines", measurements.moduleLogLines, "1");
    }

    private void addDistances() {
        for (Network.Distance distance : Network.Distance.values()) {
            String name = distance.name().toLowerCase(Locale.ROOT).replace('_', '-');
            add(
                    "sent-" + name,
                    ratio(
                            measurements.attemptsSentByDistance[distance.ordinal()],
                            sum(measurements.attemptsSentByDistance)),
                    "1");
        }
    }

    /**
     * Adds the spread by service size: a sidecar's subset holds all upstreams of a service with at most ten, but only a
     * part of a larger one.
     */
    private void addSpreads() {
        int[] maxSizes = {5, 10, Integer.MAX_VALUE};
        String[] sizeRanges = {"up-to-5", "6-to-10", "over-10"};
        int minSize = 1;
        for (int i = 0; i < maxSizes.length; i++) {
            DoubleSummaryStatistics spreads = new DoubleSummaryStatistics();
            for (Topology.Service service : context.topology.services) {
                int size = service.machines().size();
                if (service.layer() > 0 && size >= minSize && size <= maxSizes[i]) {
                    spreads.accept(spread(service));
                }
            }
            add("spread-mean-" + sizeRanges[i], spreads.getAverage(), "1");
            add("spread-most-" + sizeRanges[i], Math.max(0, spreads.getMax()), "1");
            minSize = maxSizes[i] + 1;
        }
    }

    /** Adds the mean load of a zone's upstreams, each relative to the mean of all upstreams of its service. */
    private void addZoneLoads() {
        double[] relativeLoads = new double[context.topology.zones.size()];
        int[] machines = new int[relativeLoads.length];
        for (Topology.Service service : context.topology.services) {
            double mean = attemptsArrived(service) / service.machines().size();
            if (service.layer() > 0 && mean > 0) {
                for (Topology.Machine machine : service.machines()) {
                    relativeLoads[machine.zone()] += measurements.attemptsArrivedByMachine[machine.number()] / mean;
                    machines[machine.zone()]++;
                }
            }
        }
        for (Topology.Zone zone : context.topology.zones) {
            add("zone-load-" + zone.name(), ratio(relativeLoads[zone.number()], machines[zone.number()]), "1");
        }
    }

    private void addListService() {
        int sidecars = context.sidecars.size();
        add("list-calls", measurements.listCalls / measuredSeconds, "1/s");
        add("list-calls-failed", measurements.listCallsFailed / measuredSeconds, "1/s");
        add("list-calls-most-in-a-second", maxPerSecond(row -> row.listCalls), "1/s");
        add("list-bytes-in", measurements.listBytesIn / measuredSeconds, "B/s");
        add("list-bytes-out", measurements.listBytesOut / measuredSeconds, "B/s");
        add("list-bytes-out-most-in-a-second", maxPerSecond(row -> row.listBytesOut), "B/s");
        add(
                "list-bytes-per-sidecar",
                (measurements.listBytesIn + measurements.listBytesOut) / measuredSeconds / sidecars,
                "B/s");
        add("list-changes", measurements.listChanges / measuredSeconds, "1/s");
        add("list-whole-lists", measurements.listWholeLists / measuredSeconds, "1/s");
        add("list-busy-part", measurements.listBusyMicros / MICROS_PER_SECOND / measuredSeconds, "1");
        add("list-longest-backlog", measurements.listLongestBacklogMicros / 1000.0, "ms");
        addDelays("told", measurements.changeDelays);
        addDelays("restored", measurements.restoreDelays);
        addDelays("configured", measurements.moveDelays);
        long activeWatches = context.sidecars.stream()
                .filter(sidecar -> sidecar.isRunning() && sidecar.listClient().hasActiveWatch())
                .count();
        add("sidecars-with-watch-at-end", activeWatches, "1");
    }

    private void addDelays(String name, Histogram histogram) {
        add(name + "-count", histogram.getTotalCount(), "1");
        add(name + "-p50", histogram.getValueAtPercentile(50) / 1000.0, "ms");
        add(name + "-last", histogram.getMaxValue() / 1000.0, "ms");
    }

    private void addColdLoad() {
        add("cold-load-most", measurements.maxColdLoad, "1");
        add("cold-attempts", measurements.coldAttempts, "1");
        add("cold-falls", measurements.coldFailures, "1");
    }

    private List<RunResult.Second> secondRows() {
        List<RunResult.Second> rows = new ArrayList<>();
        for (int i = 0; i < measurements.secondRows.length - 1; i++) {
            Measurements.SecondRow row = measurements.secondRows[i];
            rows.add(new RunResult.Second(
                    i,
                    row.rootOffered,
                    row.rootServed,
                    row.attempts,
                    row.leafAttempts,
                    row.listCalls,
                    row.listCallsFailed,
                    row.listBytesIn,
                    row.listBytesOut,
                    row.watchesRestored,
                    row.listServiceMoves));
        }
        return rows;
    }

    private List<RunResult.ServiceLoad> serviceRows() {
        List<RunResult.ServiceLoad> rows = new ArrayList<>();
        for (Topology.Service service : context.topology.services) {
            if (service.layer() > 0) {
                int upstreams = service.machines().size();
                double perUpstream = attemptsArrived(service) / measuredSeconds / upstreams;
                rows.add(new RunResult.ServiceLoad(
                        service.number(),
                        service.layer(),
                        upstreams,
                        service.callerCount(),
                        perUpstream,
                        spread(service)));
            }
        }
        return rows;
    }

    private double attemptsArrived(Topology.Service service) {
        double sum = 0;
        for (Topology.Machine machine : service.machines()) {
            sum += measurements.attemptsArrivedByMachine[machine.number()];
        }
        return sum;
    }

    /** The load of a service's busiest upstream divided by the mean load of its upstreams. */
    private double spread(Topology.Service service) {
        double max = 0;
        for (Topology.Machine machine : service.machines()) {
            max = Math.max(max, measurements.attemptsArrivedByMachine[machine.number()]);
        }
        double mean = attemptsArrived(service) / service.machines().size();
        return mean == 0 ? 0 : max / mean;
    }

    /** The highest count of a second since the end of the warm-up. */
    private double maxPerSecond(ToLongFunction<Measurements.SecondRow> count) {
        long max = 0;
        for (int i = (int) context.experiment.warmupSeconds(); i < measurements.secondRows.length; i++) {
            max = Math.max(max, count.applyAsLong(measurements.secondRows[i]));
        }
        return max;
    }

    private static double ratio(double part, double whole) {
        return whole == 0 ? 0 : part / whole;
    }

    private static long sum(long[] values) {
        long sum = 0;
        for (long value : values) {
            sum += value;
        }
        return sum;
    }
}
