package gradehub.scale.experiment;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A value of an experiment file with the place where it stands. */
sealed interface LocatedNode {

    /** Line and column of a value, from 1. */
    record Place(int line, int column) {}

    /** Where the value begins. */
    Place place();

    /** An object; its keys keep the order of the file. */
    record ObjectNode(Place place, Map<String, LocatedNode> fields, Map<String, Place> keyPlaces)
            implements LocatedNode {
        public ObjectNode {
            fields = new LinkedHashMap<>(fields);
            keyPlaces = Map.copyOf(keyPlaces);
        }
    }

    /** A list. */
    record ArrayNode(Place place, List<LocatedNode> items) implements LocatedNode {
        public ArrayNode {
            items = List.copyOf(items);
        }
    }

    /** A text, number, truth value or nothing; {@code value} is a String, Number, Boolean or null. */
    record ScalarNode(Place place, Object value) implements LocatedNode {}
}
