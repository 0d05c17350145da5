package gradehub.scale.experiment;

import java.util.List;

/** Reads and validates one fault of an experiment file. */
final class FaultReader {

    /** The values of {@code kind}, which files write in lower case with hyphens. */
    private enum Kind {
        UPSTREAMS_FAIL,
        UPSTREAMS_SLOW,
        MACHINES_LOST,
        RESTARTS,
        ZONE_LOST,
        REGION_PARTED,
        LIST_SERVICE_DOWN,
        CONFIGURATION_CHANGE
    }

    private FaultReader() {}

    static Fault read(FieldReader fields, Fleet fleet, double runSeconds) throws ExperimentFileException {
        Kind kind = fields.enumConstant("kind", Kind.class);
        double startSeconds = fields.number("atSeconds", 0, runSeconds);
        double durationSeconds = fields.number("forSeconds", 0, runSeconds);
        return switch (kind) {
            case UPSTREAMS_FAIL ->
                new Fault.UpstreamsFail(
                        startSeconds,
                        durationSeconds,
                        layer(fields, fleet),
                        fraction(fields),
                        fields.number("errorPart", 0, 1));
            case UPSTREAMS_SLOW ->
                new Fault.UpstreamsSlow(
                        startSeconds,
                        durationSeconds,
                        layer(fields, fleet),
                        fraction(fields),
                        fields.number("factor", 1, 10_000));
            case MACHINES_LOST -> new Fault.MachinesLost(startSeconds, durationSeconds, machineCount(fields, fleet));
            case RESTARTS ->
                new Fault.Restarts(
                        startSeconds,
                        durationSeconds,
                        machineCount(fields, fleet),
                        fields.number("downSeconds", 0, runSeconds));
            case ZONE_LOST ->
                new Fault.ZoneLost(startSeconds, durationSeconds, knownName(fields, "zone", zoneNames(fleet)));
            case REGION_PARTED ->
                new Fault.RegionPartitioned(
                        startSeconds, durationSeconds, knownName(fields, "region", regionNames(fleet)));
            case LIST_SERVICE_DOWN -> new Fault.ListServiceDown(startSeconds, durationSeconds);
            case CONFIGURATION_CHANGE -> new Fault.ConfigurationChange(startSeconds, durationSeconds);
        };
    }

    private static int layer(FieldReader fields, Fleet fleet) throws ExperimentFileException {
        return fields.count("layer", 1, fleet.hops());
    }

    private static double fraction(FieldReader fields) throws ExperimentFileException {
        return fields.number("part", 0, 1);
    }

    private static int machineCount(FieldReader fields, Fleet fleet) throws ExperimentFileException {
        return fields.count("count", 1, fleet.upstreams());
    }

    private static String knownName(FieldReader fields, String key, List<String> knownNames)
            throws ExperimentFileException {
        String name = fields.string(key);
        if (!knownNames.contains(name)) {
            throw fields.error(key, "must be one of " + knownNames);
        }
        return name;
    }

    private static List<String> regionNames(Fleet fleet) {
        return fleet.regions().stream().map(Fleet.Region::name).toList();
    }

    private static List<String> zoneNames(Fleet fleet) {
        return fleet.regions().stream()
                .flatMap(region -> region.zones().stream())
                .map(Fleet.Zone::name)
                .toList();
    }
}
