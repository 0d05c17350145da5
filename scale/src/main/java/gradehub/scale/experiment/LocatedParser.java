package gradehub.scale.experiment;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import gradehub.scale.experiment.LocatedNode.ArrayNode;
import gradehub.scale.experiment.LocatedNode.ObjectNode;
import gradehub.scale.experiment.LocatedNode.Place;
import gradehub.scale.experiment.LocatedNode.ScalarNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads YAML, and JSON as a part of it, into values that know their place. */
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
                Place place = place(parser);
                throw new ExperimentFileException(place.line(), place.column(), "", "a second document");
            }
            return root;
        } catch (JsonProcessingException e) {
            JsonLocation location = e.getLocation();
            int line = location == null ? 1 : location.getLineNr();
            int column = location == null ? 1 : location.getColumnNr();
            throw new ExperimentFileException(line, column, "", "no YAML or JSON: " + e.getOriginalMessage());
        }
    }

    private static LocatedNode value(JsonParser parser) throws IOException {
        Place place = place(parser);
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(parser, place);
            case START_ARRAY -> array(parser, place);
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> new ScalarNode(place, number(parser));
            case VALUE_TRUE, VALUE_FALSE -> new ScalarNode(place, parser.getBooleanValue());
            case VALUE_NULL -> new ScalarNode(place, null);
            default -> new ScalarNode(place, parser.getText());
        };
    }

    /** A number or, where the parser takes for one what is none, its text. */
    private static Object number(JsonParser parser) throws IOException {
        try {
            return parser.getNumberValue();
        } catch (JsonProcessingException e) {
            return parser.getText();
        }
    }

    private static ObjectNode object(JsonParser parser, Place place) throws IOException {
        Map<String, LocatedNode> fields = new LinkedHashMap<>();
        Map<String, Place> keyPlaces = new HashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = parser.currentName();
            keyPlaces.put(key, place(parser));
            parser.nextToken();
            fields.put(key, value(parser));
        }
        return new ObjectNode(place, fields, keyPlaces);
    }

    private static ArrayNode array(JsonParser parser, Place place) throws IOException {
        List<LocatedNode> items = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            items.add(value(parser));
        }
        return new ArrayNode(place, items);
    }

    private static Place place(JsonParser parser) {
        JsonLocation location = parser.currentTokenLocation();
        return new Place(location.getLineNr(), location.getColumnNr());
    }
}
