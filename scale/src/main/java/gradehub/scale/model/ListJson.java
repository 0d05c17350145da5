package gradehub.scale.model;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The messages of the list service in the protocol's form, and the lengths of those that are too many to be made. */
final class ListJson {

    /** An entry as the protocol words it. */
    record Member(
            String id,
            @JsonProperty("host_port") String hostPort,
            String locality,
            String flavor,
            int cell,
            String phase,
            double size,
            @JsonProperty("up_since_ms") long upSinceMs) {}

    /** A list or a change of it as the protocol words it. */
    record Message(int revision, boolean complete, List<Member> members) {}

    /** An empty line in a chunk of its own. */
    static final int LINE_OF_LIFE_BYTES = chunk(1);

    static final int FAILURE_BYTES = bytes("HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n");

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long RUN_STARTS_MS = 1_767_225_600_000L;
    private static final int HEAD_BYTES =
            bytes("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n");

    private ListJson() {}

    /** An entry in its JSON form. */
    static byte[] member(Topology.Machine machine, String zone, ListEntry.Phase phase, long startedMicros) {
        long upSince = startedMicros < 0 ? 0 : RUN_STARTS_MS + startedMicros / SimulationContext.MICROS_PER_MILLI;
        String id = String.format("s-%08x", machine.number() * 0x9E3779B1);
        String address = "10." + machine.zone() + "." + machine.number() / 256 + "." + machine.number() % 256;
        return json(new Member(id, address + ":8000", zone, "m2", machine.service(), phase.word, 1.0, upSince));
    }

    /** Length of the message with these entries, a line in a chunk of its own. */
    static int messageBytes(int revision, boolean complete, List<ListEntry> entries) {
        int length = json(new Message(revision, complete, List.of())).length + 1;
        for (ListEntry entry : entries) {
            length += entry.bytes();
        }
        return chunk(length + Math.max(0, entries.size() - 1));
    }

    /** Length of the head of an answer. */
    static int headBytes() {
        return HEAD_BYTES;
    }

    /** Length of a call for a watch; {@code from} is negative where the whole list is asked for. */
    static int callBytes(int from) {
        String query = from < 0 ? "" : "&from=" + from;
        return bytes("GET /v1/endpoints?watch=1" + query + " HTTP/1.1\r\nhost: 10.2.0.1:8500\r\n\r\n");
    }

    private static int chunk(int length) {
        return Integer.toHexString(length).length() + length + 4;
    }

    private static int bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII).length;
    }

    private static byte[] json(Object value) {
        try {
            return JSON.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a list has no JSON form", e);
        }
    }
}
