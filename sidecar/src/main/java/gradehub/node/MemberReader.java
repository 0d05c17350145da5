package gradehub.node;

import com.fasterxml.jackson.databind.JsonNode;
import gradehub.Balancer.Status;
import java.net.InetSocketAddress;
import java.util.List;

/** Parses discovery's lists. Zones and kinds are mapped to their indexes in the settings. */
record MemberReader(List<String> zones, List<String> kinds) {

    /** One upstream as listed by discovery. {@code address} may be null only if the status is {@code GONE}. */
    record Member(
            String id,
            InetSocketAddress address,
            Status status,
            double startedMs,
            int zone,
            int kind,
            int cell,
            double weight) {}

    /** A full list or a delta. */
    record Update(long revision, boolean complete, List<Member> members) {}

    /** Throws an {@link IllegalArgumentException} if the JSON is not a valid list. */
    Update read(JsonNode list) {
        if (!list.path("members").isArray() || !list.path("revision").canConvertToLong()) {
            throw new IllegalArgumentException("list of upstreams lacks members or a revision");
        }
        List<Member> members =
                list.get("members").valueStream().map(this::member).toList();
        return new Update(list.get("revision").asLong(), list.path("complete").asBoolean(false), members);
    }

    private Member member(JsonNode entry) {
        String id = entry.path("id").asText("");
        Status status = switch (entry.path("phase").asText("")) {
            case "active" -> Status.READY;
            case "left" -> Status.GONE;
            default -> Status.DRAINING; // leaving, or an unknown phase: no new requests
        };
        InetSocketAddress address = Config.parseAddress(entry.path("host_port").asText(""));
        if (id.isEmpty() || address == null && status != Status.GONE) {
            throw new IllegalArgumentException("upstream " + id + " lacks an id or a valid address");
        }
        return new Member(
                id,
                address,
                status,
                entry.path("up_since_ms").asDouble(0),
                Math.max(0, zones.indexOf(entry.path("locality").asText())),
                Math.max(0, kinds.indexOf(entry.path("flavor").asText())),
                entry.path("cell").asInt(0),
                Math.max(0, entry.path("size").asDouble(1)));
    }
}
