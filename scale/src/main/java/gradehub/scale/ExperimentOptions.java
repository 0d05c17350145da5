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

/** An experiment file with the seeds and sizes to play it with. */
final class ExperimentOptions {

    @Parameters(paramLabel = "FILE", description = "the experiment, in YAML or JSON")
    private Path file;

    @Option(
            names = "--seeds",
            split = ",",
            paramLabel = "N",
            description = "seeds in place of the file's, one run each")
    private List<Long> seeds = new ArrayList<>();

    @Option(
            names = "--sizes",
            split = ",",
            paramLabel = "N",
            description = "upstreams in place of the file's, one run each; services and rate go with them")
    private List<Integer> sizes = new ArrayList<>();

    /** Reads the file and lists the runs to make; so many at once have passed the check of their memory. */
    List<Experiment> experiments(int parallel) throws IOException, BadExperimentException {
        Experiment read;
        try {
            read = ExperimentReader.read(file);
        } catch (ExperimentFileException e) {
            throw new BadExperimentException(file + ": " + e.getMessage(), e);
        }
        List<Experiment> experiments = new ArrayList<>();
        for (int size : sizes.isEmpty() ? List.of(read.fleet().upstreams()) : sizes) {
            for (long seed : seeds.isEmpty() ? List.of(read.seed()) : seeds) {
                experiments.add(sized(read, size).withSeed(seed));
            }
        }
        MemoryLimit limit = MemoryLimit.ofThisMachine();
        for (Experiment experiment : experiments) {
            limit.check(file, experiment, parallel);
        }
        return experiments;
    }

    private Experiment sized(Experiment read, int size) throws BadExperimentException {
        int least = read.fleet().layers() * read.fleet().minServiceSize();
        if (size < least) {
            throw new BadExperimentException(
                    "--sizes: " + size + " upstreams are too few for the call tree, which needs " + least, null);
        }
        return read.scaledTo(size);
    }
}
