package gradehub.scale.model;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * JSON entries of the list service's protocol, and the byte lengths of its messages. Lengths are computed, as there are
 * too many messages to serialize each of them.
 */
final class ListJson {

    /** An entry of the list as the protocol defines it. */
    record Member(
            String id,
            @JsonProperty("host_port") String hostPort,
            String locality,
            String flavor,
            int cell,
            String phase,
            double size,
            @JsonProperty("up_since_ms") long upSinceMs) {}

    /** A full list or a delta as the protocol defines it. */
    record Message(int revision, boolean complete, List<Member> members) {}

    /** Length of the empty line that keeps a watch alive, in a chunk of its own. */
    static final int KEEP_ALIVE_BYTES = chunkBytes(1);

    /** Length of the answer to a call that fails. */
    static final int FAILURE_BYTES = byteLength("HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n");

    private static final ObjectMapper JSON = new ObjectMapper();
    /** Unix time at which a run starts: 2026-01-01T00:00:00Z. */
    private static final long RUN_START_UNIX_MS = 1_767_225_600_000L;

    private static final int HEAD_BYTES =
            byteLength("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n");

    private ListJson() {}

    /** Encodes an entry as JSON. */
    static byte[] encodeMember(Topology.Machine machine, String zone, ListEntry.Phase phase, long startedMicros) {
        long upSince = startedMicros < 0 ? 0 : RUN_START_UNIX_MS + startedMicros / SimulationContext.MICROS_PER_MILLI;
        String id = String.format("s-%08x", machine.number() * 0x9E3779B1);
        String address = "10." + machine.zone() + "." + machine.number() / 256 + "." + machine.number() % 256;
        return toJson(
                new Member(id, address + ":8000", zone, "m2", machine.service(), phase.protocolName, 1.0, upSince));
    }

    /** Length of the message with these entries, which is one line in a chunk of its own. */
    static int messageBytes(int revision, boolean complete, List<ListEntry> entries) {
        int length = toJson(new Message(revision, complete, List.of())).length + 1;
        for (ListEntry entry : entries) {
            length += entry.jsonBytes();
        }
        return chunkBytes(length + Math.max(0, entries.size() - 1));
    }

    /** Length of the status line and headers of an answer. */
    static int headBytes() {
        return HEAD_BYTES;
    }

    /** Length of a call for a watch; a negative {@code from} asks for the full list. */
    static int callBytes(int from) {
        String query = from < 0 ? "" : "&from=" + from;
        return byteLength("GET /v1/endpoints?watch=1" + query + " HTTP/1.1\r\nhost: 10.2.0.1:8500\r\n\r\n");
    }

    /** Length of an HTTP chunk: the size in hexadecimal, the data and two line ends. */
    private static int chunkBytes(int dataLength) {
        return Integer.toHexString(dataLength).length() + dataLength + 4;
    }

    private static int byteLength(String text) {
        return text.getBytes(StandardCharsets.US_ASCII).length;
    }

    private static byte[] toJson(Object value) {
        try {
            return JSON.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot encode a list service message as JSON", e);
        }
    }
}
