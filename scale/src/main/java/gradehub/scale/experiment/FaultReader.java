package gradehub.scale.experiment;

import java.util.List;

/** Reads one fault of an experiment file. */
final class FaultReader {

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

    static Fault read(FieldReader fields, Fleet fleet, double mostSeconds) throws ExperimentFileException {
        Kind kind = fields.choice("kind", Kind.class);
        double at = fields.number("atSeconds", 0, mostSeconds);
        double lasting = fields.number("forSeconds", 0, mostSeconds);
        return switch (kind) {
            case UPSTREAMS_FAIL ->
                new Fault.UpstreamsFail(
                        at, lasting, layer(fields, fleet), part(fields), fields.number("errorPart", 0, 1));
            case UPSTREAMS_SLOW ->
                new Fault.UpstreamsSlow(
                        at, lasting, layer(fields, fleet), part(fields), fields.number("factor", 1, 10_000));
            case MACHINES_LOST -> new Fault.MachinesLost(at, lasting, machines(fields, fleet));
            case RESTARTS ->
                new Fault.Restarts(at, lasting, machines(fields, fleet), fields.number("downSeconds", 0, mostSeconds));
            case ZONE_LOST -> new Fault.ZoneLost(at, lasting, named(fields, "zone", zoneNames(fleet)));
            case REGION_PARTED -> new Fault.RegionPartitioned(at, lasting, named(fields, "region", regionNames(fleet)));
            case LIST_SERVICE_DOWN -> new Fault.ListServiceDown(at, lasting);
            case CONFIGURATION_CHANGE -> new Fault.ConfigurationChange(at, lasting);
        };
    }

    private static int layer(FieldReader fields, Fleet fleet) throws ExperimentFileException {
        return fields.count("layer", 1, fleet.hops());
    }

    private static double part(FieldReader fields) throws ExperimentFileException {
        return fields.number("part", 0, 1);
    }

    private static int machines(FieldReader fields, Fleet fleet) throws ExperimentFileException {
        return fields.count("count", 1, fleet.upstreams());
    }

    private static String named(FieldReader fields, String key, List<String> names) throws ExperimentFileException {
        String name = fields.text(key);
        if (!names.contains(name)) {
            throw fields.error(key, "must be one of " + names);
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
