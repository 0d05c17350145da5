package gradehub.scale.experiment;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A value of an experiment file with its position in the file. */
sealed interface LocatedNode {

    /** Line and column; the first of each is 1. */
    record Position(int line, int column) {}

    /** Position at which the value starts. */
    Position position();

    /** An object; its fields keep the order of the file. */
    record ObjectNode(Position position, Map<String, LocatedNode> fields, Map<String, Position> keyPositions)
            implements LocatedNode {
        public ObjectNode {
            fields = new LinkedHashMap<>(fields);
            keyPositions = Map.copyOf(keyPositions);
        }
    }

    /** A list of values. */
    record ArrayNode(Position position, List<LocatedNode> items) implements LocatedNode {
        public ArrayNode {
            items = List.copyOf(items);
        }
    }

    /** A single value; {@code value} is a String, a Number, a Boolean or null. */
    record ScalarNode(Position position, Object value) implements LocatedNode {}
}
