package gradehub.scale;

import gradehub.scale.experiment.CallModel;
import gradehub.scale.experiment.Experiment;
import gradehub.scale.experiment.ExperimentFileException;
import gradehub.scale.experiment.ExperimentReader;
import gradehub.scale.experiment.Fault;
import gradehub.scale.experiment.Fleet;
import gradehub.scale.experiment.ListServiceModel;
import gradehub.scale.experiment.UpstreamModel;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Experiments for tests. */
public final class TestExperiments {

    private TestExperiments() {}

    /** Returns the text of the file that describes {@link #small}. */
    public static String smallYaml() {
        try (InputStream file = TestExperiments.class.getResourceAsStream("/small.yaml")) {
            return new String(file.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns an experiment with a small fleet and no faults. */
    public static Experiment small() {
        try {
            return ExperimentReader.parse(smallYaml());
        } catch (IOException | ExperimentFileException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns {@code base} with other durations and faults. */
    public static Experiment withFaults(
            Experiment base, double warmupSeconds, double measuredSeconds, Fault... faults) {
        return new Experiment(
                base.name(),
                base.seed(),
                warmupSeconds,
                measuredSeconds,
                base.fleet(),
                base.network(),
                base.upstream(),
                base.calls(),
                base.listService(),
                List.of(faults));
    }

    /** Returns {@code base} with another list service. */
    public static Experiment withListService(Experiment base, ListServiceModel listService) {
        return new Experiment(
                base.name(),
                base.seed(),
                base.warmupSeconds(),
                base.measuredSeconds(),
                base.fleet(),
                base.network(),
                base.upstream(),
                base.calls(),
                listService,
                base.faults());
    }

    /** Returns {@code base} with another rate of root calls. */
    public static Experiment withRate(Experiment base, double rootCallsPerSecond) {
        CallModel calls = base.calls();
        return new Experiment(
                base.name(),
                base.seed(),
                base.warmupSeconds(),
                base.measuredSeconds(),
                base.fleet(),
                base.network(),
                base.upstream(),
                new CallModel(
                        rootCallsPerSecond,
                        calls.callsPerRequest(),
                        calls.aimMillis(),
                        calls.deadlineMillis(),
                        calls.maxAttempts(),
                        calls.secondCopies(),
                        calls.rootTries(),
                        calls.innerTries(),
                        calls.retryPauseMillis()),
                base.listService(),
                base.faults());
    }

    /** Returns {@code base} with other numbers of upstreams and services, and another maximum size of a service. */
    public static Experiment withFleet(Experiment base, int upstreams, int services, int maxServiceSize) {
        Fleet fleet = base.fleet();
        return new Experiment(
                base.name(),
                base.seed(),
                base.warmupSeconds(),
                base.measuredSeconds(),
                new Fleet(
                        upstreams,
                        services,
                        fleet.minServiceSize(),
                        maxServiceSize,
                        fleet.hops(),
                        fleet.calledServices(),
                        fleet.utilisation(),
                        fleet.regions()),
                base.network(),
                base.upstream(),
                base.calls(),
                base.listService(),
                base.faults());
    }

    /** Returns {@code base} with another model of upstreams and another utilisation of their cores. */
    public static Experiment withUpstreams(Experiment base, UpstreamModel upstream, double utilisation) {
        Fleet fleet = base.fleet();
        return new Experiment(
                base.name(),
                base.seed(),
                base.warmupSeconds(),
                base.measuredSeconds(),
                new Fleet(
                        fleet.upstreams(),
                        fleet.services(),
                        fleet.minServiceSize(),
                        fleet.maxServiceSize(),
                        fleet.hops(),
                        fleet.calledServices(),
                        utilisation,
                        fleet.regions()),
                base.network(),
                upstream,
                base.calls(),
                base.listService(),
                base.faults());
    }
}
