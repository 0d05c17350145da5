package gradehub.scale.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Compares encoded entries with the protocol's example, and computed lengths with those of encoded messages. */
class ListJsonTest {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String PROTOCOL_EXAMPLE = "{\"id\":\"s-5be2a07c\",\"host_port\":\"10.1.0.18:8000\","
            + "\"locality\":\"a\",\"flavor\":\"m2\",\"cell\":3,\"phase\":\"active\",\"size\":1.0,\"up_since_ms\":0}";

    private static ListEntry entry(int number, ListEntry.Phase phase, long startedMicros) {
        return ListEntry.of(new Topology.Machine(number, 3, 1, 0), "a", phase, startedMicros, 43, 0);
    }

    @Test
    void anEntryMatchesTheProtocolsExample() throws IOException {
        JsonNode example = JSON.readTree(PROTOCOL_EXAMPLE);
        byte[] encoded = ListJson.encodeMember(new Topology.Machine(18, 3, 1, 0), "a", ListEntry.Phase.ACTIVE, -1);
        ObjectNode entry = (ObjectNode) JSON.readTree(encoded);
        List<String> fieldNames = new ArrayList<>();
        entry.fieldNames().forEachRemaining(fieldNames::add);
        List<String> exampleFieldNames = new ArrayList<>();
        example.fieldNames().forEachRemaining(exampleFieldNames::add);
        assertEquals(exampleFieldNames, fieldNames);
        entry.put("id", "s-5be2a07c");
        assertEquals(example, JSON.readTree(JSON.writeValueAsBytes(entry)));
        assertEquals(PROTOCOL_EXAMPLE.length(), encoded.length);
    }

    @Test
    void theComputedLengthOfAMessageIsThatOfItsEncoding() throws IOException {
        for (int count : new int[] {0, 1, 2, 750}) {
            List<ListEntry> entries = new ArrayList<>();
            ArrayNode members = JSON.createArrayNode();
            for (int i = 0; i < count; i++) {
                ListEntry.Phase phase = ListEntry.Phase.values()[i % 3];
                entries.add(entry(i, phase, i * 1000 - 1));
                members.add(JSON.readTree(ListJson.encodeMember(entries.get(i).machine(), "a", phase, i * 1000 - 1)));
            }
            int lineLength = encodeLine(members).length();
            int chunkLength = Integer.toHexString(lineLength).length() + 2 + lineLength + 2;
            assertEquals(chunkLength, ListJson.messageBytes(43, false, entries), count + " entries");
        }
    }

    private static String encodeLine(ArrayNode members) throws JsonProcessingException {
        ObjectNode message = JSON.createObjectNode().put("revision", 43).put("complete", false);
        message.set("members", members);
        return JSON.writeValueAsString(message) + "\n";
    }

    @Test
    void aKeepAliveIsAChunkOfOneByte() {
        assertEquals("1\r\n\n\r\n".length(), ListJson.KEEP_ALIVE_BYTES);
    }

    @Test
    void aCallStatesTheRevisionOfTheSidecar() {
        assertEquals(
                "GET /v1/endpoints?watch=1&from=41 HTTP/1.1\r\nhost: 10.2.0.1:8500\r\n\r\n".length(),
                ListJson.callBytes(41));
        assertEquals(
                "GET /v1/endpoints?watch=1 HTTP/1.1\r\nhost: 10.2.0.1:8500\r\n\r\n".length(), ListJson.callBytes(-1));
    }
}
