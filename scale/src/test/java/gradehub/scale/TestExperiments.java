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

/** Experiments for the tests. */
public final class TestExperiments {

    private TestExperiments() {}

    /** The text of the small experiment. */
    public static String smallYaml() {
        try (InputStream file = TestExperiments.class.getResourceAsStream("/small.yaml")) {
            return new String(file.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** A small fleet without faults. */
    public static Experiment small() {
        try {
            return ExperimentReader.parse(smallYaml());
        } catch (IOException | ExperimentFileException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The same with these faults and times. */
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

    /** The same with another list service. */
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

    /** The same with another rate of root calls. */
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

    /** The same with services of at most this many upstreams. */
    public static Experiment withFleet(Experiment base, int upstreams, int services, int largest) {
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
                        largest,
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

    /** The same with other upstreams, busy for this part of their cores. */
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
