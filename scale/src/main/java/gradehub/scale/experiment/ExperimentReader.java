package gradehub.scale.experiment;

import gradehub.scale.experiment.Fleet.Region;
import gradehub.scale.experiment.Fleet.Zone;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Reads experiment files: YAML or JSON, each field required, of a fixed type and within a range. */
public final class ExperimentReader {

    private static final int MOST_UPSTREAMS = 100_000;
    private static final long MOST_MILLIS = 3_600_000;
    private static final long MOST_MICROS = 60_000_000;
    private static final double MOST_SECONDS = 86_400;

    private ExperimentReader() {}

    /** Reads a file. */
    public static Experiment read(Path file) throws IOException, ExperimentFileException {
        return parse(Files.readString(file));
    }

    /** Reads the text of a file. */
    public static Experiment parse(String text) throws IOException, ExperimentFileException {
        FieldReader fields = FieldReader.of("", LocatedParser.parse(text));
        Experiment experiment = experiment(fields);
        fields.end();
        return experiment;
    }

    private static Experiment experiment(FieldReader fields) throws ExperimentFileException {
        String name = fields.text("name");
        if (!name.matches("[a-z0-9-]+")) {
            throw fields.error("name", "must consist of lower-case letters, digits and hyphens");
        }
        Fleet fleet = fields.object("fleet", ExperimentReader::fleet);
        double warmupSeconds = fields.number("warmupSeconds", 0, MOST_SECONDS);
        double measuredSeconds = fields.number("measuredSeconds", 0.1, MOST_SECONDS);
        return new Experiment(
                name,
                fields.integer("seed", Long.MIN_VALUE, Long.MAX_VALUE),
                warmupSeconds,
                measuredSeconds,
                fleet,
                fields.object("network", ExperimentReader::network),
                fields.object("upstream", ExperimentReader::upstream),
                fields.object("calls", ExperimentReader::calls),
                fields.object("listService", ExperimentReader::listService),
                fields.objects("faults", 0, fault -> fault(fault, fleet, warmupSeconds + measuredSeconds)));
    }

    private static Fleet fleet(FieldReader fields) throws ExperimentFileException {
        int upstreams = fields.count("upstreams", 2, MOST_UPSTREAMS);
        int hops = fields.count("hops", 1, 32);
        int smallest = fields.count("smallestService", 1, upstreams);
        int largest = fields.count("largestService", smallest, upstreams);
        int services = fields.count("services", hops + 1, upstreams);
        if ((long) services * smallest > upstreams || (long) services * largest < upstreams) {
            throw fields.error(
                    "services", "so many of " + smallest + " to " + largest + " upstreams do not make " + upstreams);
        }
        Set<String> names = new HashSet<>();
        List<Region> regions = fields.objects("regions", 1, region -> region(region, names));
        return new Fleet(
                upstreams,
                services,
                smallest,
                largest,
                hops,
                fields.count("calledServices", 1, services),
                fields.number("utilisation", 0.001, 5),
                regions);
    }

    private static Region region(FieldReader fields, Set<String> names) throws ExperimentFileException {
        return new Region(uniqueName(fields, names), fields.objects("zones", 1, zone -> zone(zone, names)));
    }

    private static Zone zone(FieldReader fields, Set<String> names) throws ExperimentFileException {
        return new Zone(uniqueName(fields, names), fields.number("weight", 0.001, 1000));
    }

    private static String uniqueName(FieldReader fields, Set<String> names) throws ExperimentFileException {
        String name = fields.text("name");
        if (!names.add(name)) {
            throw fields.error("name", "names two things: " + name);
        }
        return name;
    }

    private static NetworkModel network(FieldReader fields) throws ExperimentFileException {
        return new NetworkModel(
                fields.integer("localMicros", 1, MOST_MICROS),
                fields.integer("sameZoneMicros", 1, MOST_MICROS),
                fields.integer("otherZoneMicros", 1, MOST_MICROS),
                fields.integer("otherRegionMicros", 1, MOST_MICROS),
                fields.integer("connectTimeoutMillis", 1, MOST_MILLIS));
    }

    private static UpstreamModel upstream(FieldReader fields) throws ExperimentFileException {
        return new UpstreamModel(
                fields.count("cores", 1, 1024),
                fields.count("queue", 0, 1_000_000),
                fields.number("workVariation", 0, 10),
                fields.number("coldFrom", 0.001, 1),
                fields.integer("coldMillis", 0, MOST_MILLIS),
                fields.number("overloadFactor", 0.1, 1000),
                fields.integer("overloadMillis", 1, MOST_MILLIS));
    }

    private static CallModel calls(FieldReader fields) throws ExperimentFileException {
        long aimMillis = fields.integer("aimMillis", 1, MOST_MILLIS);
        return new CallModel(
                fields.number("rootCallsPerSecond", 0, 10_000_000),
                fields.number("callsPerRequest", 0.001, 100),
                aimMillis,
                fields.integer("deadlineMillis", aimMillis, MOST_MILLIS),
                fields.count("maxAttempts", 1, 100),
                fields.flag("secondCopies"),
                fields.count("rootTries", 1, 100),
                fields.count("innerTries", 1, 100),
                fields.integer("retryPauseMillis", 0, MOST_MILLIS));
    }

    private static ListServiceModel listService(FieldReader fields) throws ExperimentFileException {
        return new ListServiceModel(
                fields.choice("scope", ListServiceModel.Scope.class),
                fields.integer("callMicros", 0, MOST_MICROS),
                fields.integer("entryMicros", 0, MOST_MICROS),
                fields.integer("timeoutMillis", 1, MOST_MILLIS),
                fields.count("maxCallers", 1, 1_000_000),
                fields.integer("noticeMillis", 0, MOST_MILLIS),
                fields.integer("pushPeriodMillis", 0, MOST_MILLIS),
                fields.count("changesKept", 0, 1_000_000));
    }

    private static Fault fault(FieldReader fields, Fleet fleet, double mostSeconds) throws ExperimentFileException {
        return FaultReader.read(fields, fleet, mostSeconds);
    }
}
