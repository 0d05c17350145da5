package gradehub.scale.experiment;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import gradehub.scale.experiment.LocatedNode.ArrayNode;
import gradehub.scale.experiment.LocatedNode.ObjectNode;
import gradehub.scale.experiment.LocatedNode.Position;
import gradehub.scale.experiment.LocatedNode.ScalarNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses YAML, of which JSON is a subset, into values with their positions in the file. */
final class LocatedParser {

    private static final YAMLFactory YAML = YAMLFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    private LocatedParser() {}

    static LocatedNode parse(String text) throws IOException, ExperimentFileException {
        try (JsonParser parser = YAML.createParser(text)) {
            if (parser.nextToken() == null) {
                throw new ExperimentFileException(1, 1, "", "the file is empty");
            }
            LocatedNode root = value(parser);
            if (parser.nextToken() != null) {
                Position position = position(parser);
                throw new ExperimentFileException(
                        position.line(), position.column(), "", "the file has more than one YAML document");
            }
            return root;
        } catch (JsonProcessingException e) {
            JsonLocation location = e.getLocation();
            int line = location == null ? 1 : location.getLineNr();
            int column = location == null ? 1 : location.getColumnNr();
            throw new ExperimentFileException(line, column, "", "not valid YAML or JSON: " + e.getOriginalMessage());
        }
    }

    private static LocatedNode value(JsonParser parser) throws IOException {
        Position position = position(parser);
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(parser, position);
            case START_ARRAY -> array(parser, position);
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> new ScalarNode(position, number(parser));
            case VALUE_TRUE, VALUE_FALSE -> new ScalarNode(position, parser.getBooleanValue());
            case VALUE_NULL -> new ScalarNode(position, null);
            default -> new ScalarNode(position, parser.getText());
        };
    }

    /** Returns the number, or the text where it looks like a number to the parser but cannot be converted to one. */
    private static Object number(JsonParser parser) throws IOException {
        try {
            return parser.getNumberValue();
        } catch (JsonProcessingException e) {
            return parser.getText();
        }
    }

    private static ObjectNode object(JsonParser parser, Position position) throws IOException {
        Map<String, LocatedNode> fields = new LinkedHashMap<>();
        Map<String, Position> keyPositions = new HashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = parser.currentName();
            keyPositions.put(key, position(parser));
            parser.nextToken();
            fields.put(key, value(parser));
        }
        return new ObjectNode(position, fields, keyPositions);
    }

    private static ArrayNode array(JsonParser parser, Position position) throws IOException {
        List<LocatedNode> items = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            items.add(value(parser));
        }
        return new ArrayNode(position, items);
    }

    private static Position position(JsonParser parser) {
        JsonLocation location = parser.currentTokenLocation();
        return new Position(location.getLineNr(), location.getColumnNr());
    }
}
