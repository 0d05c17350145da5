package gradehub.scale.model;

import gradehub.Balancer.Outcome;
import gradehub.scale.result.RunResult;
import java.util.ArrayList;
import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.Locale;
import java.util.function.ToLongFunction;
import org.HdrHistogram.Histogram;

/** Turns what was counted into named figures. */
final class Figures {

    private static final double MICROS = 1e6;

    private final World world;
    private final Measurements counted;
    private final double seconds;
    private final List<RunResult.Figure> figures = new ArrayList<>();

    private Figures(World world) {
        this.world = world;
        this.counted = world.measurements;
        double passed = world.queue.nowMicros() / MICROS - world.experiment.warmupSeconds();
        this.seconds = Math.max(1 / MICROS, passed);
    }

    static RunResult of(World world, boolean complete) {
        Figures figures = new Figures(world);
        figures.calls();
        figures.attempts();
        figures.distances();
        figures.spreads();
        figures.zones();
        figures.listService();
        figures.cold();
        return new RunResult(
                world.experiment.name(),
                world.topology.machines.size(),
                world.experiment.seed(),
                complete,
                figures.figures,
                figures.secondRows(),
                figures.serviceRows());
    }

    private void add(String name, double value, String unit) {
        figures.add(new RunResult.Figure(name, value, unit));
    }

    private void calls() {
        add("measured-time", seconds, "s");
        add("services", world.topology.services.size(), "1");
        add("calls", sum(counted.callsByLayer) / seconds, "1/s");
        add("root-calls", counted.rootOffered / seconds, "1/s");
        add("root-served-part", ratio(counted.rootServed, counted.rootServed + counted.rootFailed), "1");
        add("root-latency-p50", counted.rootLatency.getValueAtPercentile(50) / 1000.0, "ms");
        add("root-latency-p99", counted.rootLatency.getValueAtPercentile(99) / 1000.0, "ms");
        add("root-latency-p99.9", counted.rootLatency.getValueAtPercentile(99.9) / 1000.0, "ms");
        add("repeated-tries", counted.repeats / seconds, "1/s");
        add("answers-after-deadline", counted.lateAnswers, "1");
        for (ApplicationCall.Answer answer : ApplicationCall.Answer.values()) {
            String name = answer.name().toLowerCase(Locale.ROOT);
            add("sidecar-answers-" + name, ratio(counted.answers[answer.ordinal()], sum(counted.answers)), "1");
        }
        add("sidecar-answers-unsent", ratio(counted.unsent, sum(counted.answers)), "1");
    }

    private void attempts() {
        int hops = counted.arrivedByLayer.length - 1;
        double callsPerRequest = world.experiment.calls().callsPerRequest();
        add("attempts", sum(counted.sentByLayer) / seconds, "1/s");
        add("attempts-per-call", ratio(sum(counted.sentByLayer), sum(counted.callsByLayer)), "1");
        double plannedLeaves = counted.rootOffered * Math.pow(callsPerRequest, hops);
        add("leaf-attempts-per-planned", counted.arrivedByLayer[hops] / Math.max(1, plannedLeaves), "1");
        double plannedPerSecond = plannedLeaves / seconds;
        add("leaf-attempts-most-in-a-second", ratio(most(row -> row.leafAttempts), plannedPerSecond), "1");
        for (int layer = 1; layer <= hops; layer++) {
            double planned = counted.rootOffered * Math.pow(callsPerRequest, layer);
            add("attempts-per-planned-layer-" + layer, counted.sentByLayer[layer] / Math.max(1, planned), "1");
        }
        for (Outcome outcome : Outcome.values()) {
            String name = outcome.name().toLowerCase(Locale.ROOT).replace('_', '-');
            add("outcome-" + name, ratio(counted.outcomes[outcome.ordinal()], sum(counted.outcomes)), "1");
        }
        add("module-log-lines", counted.logLines, "1");
    }

    private void distances() {
        for (Network.Distance distance : Network.Distance.values()) {
            String name = distance.name().toLowerCase(Locale.ROOT).replace('_', '-');
            add("sent-" + name, ratio(counted.sentByDistance[distance.ordinal()], sum(counted.sentByDistance)), "1");
        }
    }

    /** By the size of services: up to ten upstreams each sidecar's subset holds all of them, beyond that a part. */
    private void spreads() {
        int[] largest = {5, 10, Integer.MAX_VALUE};
        String[] names = {"up-to-5", "6-to-10", "over-10"};
        int smallest = 1;
        for (int i = 0; i < largest.length; i++) {
            DoubleSummaryStatistics ofSize = new DoubleSummaryStatistics();
            for (Topology.Service service : world.topology.services) {
                int size = service.machines().size();
                if (service.layer() > 0 && size >= smallest && size <= largest[i]) {
                    ofSize.accept(spread(service));
                }
            }
            add("spread-mean-" + names[i], ofSize.getAverage(), "1");
            add("spread-most-" + names[i], Math.max(0, ofSize.getMax()), "1");
            smallest = largest[i] + 1;
        }
    }

    /** What an upstream of a zone is sent over what one of the same service is sent in the mean. */
    private void zones() {
        double[] loads = new double[world.topology.zones.size()];
        int[] machines = new int[loads.length];
        for (Topology.Service service : world.topology.services) {
            double mean = arrived(service) / service.machines().size();
            if (service.layer() > 0 && mean > 0) {
                for (Topology.Machine machine : service.machines()) {
                    loads[machine.zone()] += counted.arrivedByMachine[machine.number()] / mean;
                    machines[machine.zone()]++;
                }
            }
        }
        for (Topology.Zone zone : world.topology.zones) {
            add("zone-load-" + zone.name(), ratio(loads[zone.number()], machines[zone.number()]), "1");
        }
    }

    private void listService() {
        int sidecars = world.sidecars.size();
        add("list-calls", counted.listCalls / seconds, "1/s");
        add("list-calls-failed", counted.listCallsFailed / seconds, "1/s");
        add("list-calls-most-in-a-second", most(row -> row.listCalls), "1/s");
        add("list-bytes-in", counted.listBytesIn / seconds, "B/s");
        add("list-bytes-out", counted.listBytesOut / seconds, "B/s");
        add("list-bytes-out-most-in-a-second", most(row -> row.listBytesOut), "B/s");
        add("list-bytes-per-sidecar", (counted.listBytesIn + counted.listBytesOut) / seconds / sidecars, "B/s");
        add("list-changes", counted.listChanges / seconds, "1/s");
        add("list-whole-lists", counted.listWholeLists / seconds, "1/s");
        add("list-busy-part", counted.listBusyMicros / MICROS / seconds, "1");
        add("list-longest-backlog", counted.listLongestBacklogMicros / 1000.0, "ms");
        delays("told", counted.told);
        delays("restored", counted.restored);
        delays("configured", counted.configured);
        long current = world.sidecars.stream()
                .filter(sidecar -> sidecar.isRunning() && sidecar.listClient().hasActiveWatch())
                .count();
        add("sidecars-with-watch-at-end", current, "1");
    }

    private void delays(String name, Histogram histogram) {
        add(name + "-count", histogram.getTotalCount(), "1");
        add(name + "-p50", histogram.getValueAtPercentile(50) / 1000.0, "ms");
        add(name + "-last", histogram.getMaxValue() / 1000.0, "ms");
    }

    private void cold() {
        add("cold-load-most", counted.coldLoadMost, "1");
        add("cold-attempts", counted.coldAttempts, "1");
        add("cold-falls", counted.coldFalls, "1");
    }

    private List<RunResult.Second> secondRows() {
        List<RunResult.Second> rows = new ArrayList<>();
        for (int i = 0; i < counted.seconds.length - 1; i++) {
            Measurements.SecondRow row = counted.seconds[i];
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
                    row.restored,
                    row.configured));
        }
        return rows;
    }

    private List<RunResult.ServiceLoad> serviceRows() {
        List<RunResult.ServiceLoad> rows = new ArrayList<>();
        for (Topology.Service service : world.topology.services) {
            if (service.layer() > 0) {
                int upstreams = service.machines().size();
                double perUpstream = arrived(service) / seconds / upstreams;
                rows.add(new RunResult.ServiceLoad(
                        service.number(), service.layer(), upstreams, service.callers(), perUpstream, spread(service)));
            }
        }
        return rows;
    }

    private double arrived(Topology.Service service) {
        double sum = 0;
        for (Topology.Machine machine : service.machines()) {
            sum += counted.arrivedByMachine[machine.number()];
        }
        return sum;
    }

    /** The load of a service's busiest upstream over the mean of its upstreams. */
    private double spread(Topology.Service service) {
        double most = 0;
        for (Topology.Machine machine : service.machines()) {
            most = Math.max(most, counted.arrivedByMachine[machine.number()]);
        }
        double mean = arrived(service) / service.machines().size();
        return mean == 0 ? 0 : most / mean;
    }

    private double most(ToLongFunction<Measurements.SecondRow> figure) {
        long most = 0;
        for (int i = (int) world.experiment.warmupSeconds(); i < counted.seconds.length; i++) {
            most = Math.max(most, figure.applyAsLong(counted.seconds[i]));
        }
        return most;
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
