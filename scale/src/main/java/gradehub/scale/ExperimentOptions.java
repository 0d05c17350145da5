package gradehub.scale;

import gradehub.scale.experiment.Experiment;
import gradehub.scale.experiment.ExperimentFileException;
import gradehub.scale.experiment.ExperimentReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Options that select an experiment file and the seeds and sizes of its runs. */
final class ExperimentOptions {

    @Parameters(paramLabel = "FILE", description = "experiment file in YAML or JSON")
    private Path file;

    @Option(
            names = "--seeds",
            split = ",",
            paramLabel = "N",
            description = "seeds to use instead of the one in the file, one run for each")
    private List<Long> seeds = new ArrayList<>();

    @Option(
            names = "--sizes",
            split = ",",
            paramLabel = "N",
            description = "numbers of upstreams to use instead of the one in the file, one run for each;"
                    + " the number of services and the call rate scale in proportion")
    private List<Integer> sizes = new ArrayList<>();

    /**
     * Reads the file and returns one experiment for each combination of size and seed.
     *
     * @param parallel number of runs at the same time for which the memory must suffice
     * @throws InvalidExperimentException if the file is invalid, a size is too small or the memory does not suffice
     */
    List<Experiment> experiments(int parallel) throws IOException, InvalidExperimentException {
        Experiment base;
        try {
            base = ExperimentReader.read(file);
        } catch (ExperimentFileException e) {
            throw new InvalidExperimentException(file + ": " + e.getMessage(), e);
        }
        List<Experiment> experiments = new ArrayList<>();
        for (int size : sizes.isEmpty() ? List.of(base.fleet().upstreams()) : sizes) {
            for (long seed : seeds.isEmpty() ? List.of(base.seed()) : seeds) {
                experiments.add(scaled(base, size).withSeed(seed));
            }
        }
        MemoryLimit limit = MemoryLimit.ofThisProcess();
        for (Experiment experiment : experiments) {
            limit.check(file, experiment, parallel);
        }
        return experiments;
    }

    private Experiment scaled(Experiment base, int size) throws InvalidExperimentException {
        int minUpstreams = base.fleet().layers() * base.fleet().minServiceSize();
        if (size < minUpstreams) {
            throw new InvalidExperimentException(
                    "--sizes: " + size + " upstreams are too few for the call tree, which needs " + minUpstreams, null);
        }
        return base.scaledTo(size);
    }
}
