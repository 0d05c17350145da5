package gradehub.scale.experiment;

import gradehub.scale.experiment.Fleet.Region;
import gradehub.scale.experiment.Fleet.Zone;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Reads and validates experiment files in YAML or JSON. Each field is required and has a fixed type; numbers must be
 * within a range.
 */
public final class ExperimentReader {

    private static final int MAX_UPSTREAMS = 100_000;
    private static final long MAX_MILLIS = 3_600_000;
    private static final long MAX_MICROS = 60_000_000;
    private static final double MAX_SECONDS = 86_400;

    private ExperimentReader() {}

    /** Reads an experiment file. */
    public static Experiment read(Path file) throws IOException, ExperimentFileException {
        return parse(Files.readString(file));
    }

    /** Parses the text of an experiment file. */
    public static Experiment parse(String text) throws IOException, ExperimentFileException {
        FieldReader fields = FieldReader.of("", LocatedParser.parse(text));
        Experiment experiment = experiment(fields);
        fields.rejectUnknownFields();
        return experiment;
    }

    private static Experiment experiment(FieldReader fields) throws ExperimentFileException {
        String name = fields.string("name");
        if (!name.matches("[a-z0-9-]+")) {
            throw fields.error("name", "must consist of lowercase letters, digits and hyphens");
        }
        Fleet fleet = fields.object("fleet", ExperimentReader::fleet);
        double warmupSeconds = fields.number("warmupSeconds", 0, MAX_SECONDS);
        double measuredSeconds = fields.number("measuredSeconds", 0.1, MAX_SECONDS);
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
                fields.objectList("faults", 0, fault -> fault(fault, fleet, warmupSeconds + measuredSeconds)));
    }

    private static Fleet fleet(FieldReader fields) throws ExperimentFileException {
        int upstreams = fields.count("upstreams", 2, MAX_UPSTREAMS);
        int hops = fields.count("hops", 1, 32);
        int minServiceSize = fields.count("smallestService", 1, upstreams);
        int maxServiceSize = fields.count("largestService", minServiceSize, upstreams);
        int services = fields.count("services", hops + 1, upstreams);
        if ((long) services * minServiceSize > upstreams || (long) services * maxServiceSize < upstreams) {
            throw fields.error(
                    "services",
                    services + " services of " + minServiceSize + " to " + maxServiceSize
                            + " upstreams each cannot add up to " + upstreams + " upstreams");
        }
        Set<String> usedNames = new HashSet<>();
        List<Region> regions = fields.objectList("regions", 1, region -> region(region, usedNames));
        return new Fleet(
                upstreams,
                services,
                minServiceSize,
                maxServiceSize,
                hops,
                fields.count("calledServices", 1, services),
                fields.number("utilisation", 0.001, 5),
                regions);
    }

    private static Region region(FieldReader fields, Set<String> usedNames) throws ExperimentFileException {
        return new Region(uniqueName(fields, usedNames), fields.objectList("zones", 1, zone -> zone(zone, usedNames)));
    }

    private static Zone zone(FieldReader fields, Set<String> usedNames) throws ExperimentFileException {
        return new Zone(uniqueName(fields, usedNames), fields.number("weight", 0.001, 1000));
    }

    private static String uniqueName(FieldReader fields, Set<String> usedNames) throws ExperimentFileException {
        String name = fields.string("name");
        if (!usedNames.add(name)) {
            throw fields.error("name", name + " is already the name of another region or zone");
        }
        return name;
    }

    private static NetworkModel network(FieldReader fields) throws ExperimentFileException {
        return new NetworkModel(
                fields.integer("localMicros", 1, MAX_MICROS),
                fields.integer("sameZoneMicros", 1, MAX_MICROS),
                fields.integer("otherZoneMicros", 1, MAX_MICROS),
                fields.integer("otherRegionMicros", 1, MAX_MICROS),
                fields.integer("connectTimeoutMillis", 1, MAX_MILLIS));
    }

    private static UpstreamModel upstream(FieldReader fields) throws ExperimentFileException {
        return new UpstreamModel(
                fields.count("cores", 1, 1024),
                fields.count("queue", 0, 1_000_000),
                fields.number("workVariation", 0, 10),
                fields.number("coldFrom", 0.001, 1),
                fields.integer("coldMillis", 0, MAX_MILLIS),
                fields.number("overloadFactor", 0.1, 1000),
                fields.integer("overloadMillis", 1, MAX_MILLIS));
    }

    private static CallModel calls(FieldReader fields) throws ExperimentFileException {
        long aimMillis = fields.integer("aimMillis", 1, MAX_MILLIS);
        return new CallModel(
                fields.number("rootCallsPerSecond", 0, 10_000_000),
                fields.number("callsPerRequest", 0.001, 100),
                aimMillis,
                fields.integer("deadlineMillis", aimMillis, MAX_MILLIS),
                fields.count("maxAttempts", 1, 100),
                fields.flag("secondCopies"),
                fields.count("rootTries", 1, 100),
                fields.count("innerTries", 1, 100),
                fields.integer("retryPauseMillis", 0, MAX_MILLIS));
    }

    private static ListServiceModel listService(FieldReader fields) throws ExperimentFileException {
        return new ListServiceModel(
                fields.enumConstant("scope", ListServiceModel.Scope.class),
                fields.integer("callMicros", 0, MAX_MICROS),
                fields.integer("entryMicros", 0, MAX_MICROS),
                fields.integer("timeoutMillis", 1, MAX_MILLIS),
                fields.count("maxCallers", 1, 1_000_000),
                fields.integer("noticeMillis", 0, MAX_MILLIS),
                fields.integer("pushPeriodMillis", 0, MAX_MILLIS),
                fields.count("changesKept", 0, 1_000_000));
    }

    private static Fault fault(FieldReader fields, Fleet fleet, double runSeconds) throws ExperimentFileException {
        return FaultReader.read(fields, fleet, runSeconds);
    }
}
