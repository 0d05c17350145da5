package gradehub.scale.experiment;

import gradehub.scale.experiment.LocatedNode.ArrayNode;
import gradehub.scale.experiment.LocatedNode.ObjectNode;
import gradehub.scale.experiment.LocatedNode.Position;
import gradehub.scale.experiment.LocatedNode.ScalarNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Reads the fields of one object and checks their types and ranges. {@link #rejectUnknownFields} rejects the fields
 * that no method has read.
 */
final class FieldReader {

    /** Converts the object in a field to a value. */
    interface ObjectConverter<T> {
        T convert(FieldReader fields) throws ExperimentFileException;
    }

    private final String path;
    private final ObjectNode node;
    private final Set<String> requestedKeys = new HashSet<>();

    private FieldReader(String path, ObjectNode node) {
        this.path = path;
        this.node = node;
    }

    static FieldReader of(String path, LocatedNode node) throws ExperimentFileException {
        if (node instanceof ObjectNode object) {
            return new FieldReader(path, object);
        }
        throw exceptionAt(node.position(), path, "must be an object");
    }

    long integer(String key, long min, long max) throws ExperimentFileException {
        ScalarNode scalar = scalar(key);
        if (!(scalar.value() instanceof Integer || scalar.value() instanceof Long)) {
            throw error(key, "must be a whole number");
        }
        long value = ((Number) scalar.value()).longValue();
        if (value < min || value > max) {
            throw error(key, value + " is out of range; must be between " + min + " and " + max);
        }
        return value;
    }

    int count(String key, int min, int max) throws ExperimentFileException {
        return (int) integer(key, min, max);
    }

    double number(String key, double min, double max) throws ExperimentFileException {
        if (!(scalar(key).value() instanceof Number number)) {
            throw error(key, "must be a number");
        }
        double value = number.doubleValue();
        if (!(value >= min && value <= max)) {
            throw error(key, value + " is out of range; must be between " + min + " and " + max);
        }
        return value;
    }

    boolean flag(String key) throws ExperimentFileException {
        if (scalar(key).value() instanceof Boolean value) {
            return value;
        }
        throw error(key, "must be true or false");
    }

    String string(String key) throws ExperimentFileException {
        if (scalar(key).value() instanceof String value && !value.isBlank()) {
            return value;
        }
        throw error(key, "must be a non-blank string");
    }

    /** Reads the name of an enum constant, written in lower case with hyphens. */
    <E extends Enum<E>> E enumConstant(String key, Class<E> type) throws ExperimentFileException {
        List<String> names = new ArrayList<>();
        for (E constant : type.getEnumConstants()) {
            String name = constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
            if (name.equals(scalar(key).value())) {
                return constant;
            }
            names.add(name);
        }
        throw error(key, "must be one of " + names);
    }

    <T> T object(String key, ObjectConverter<T> converter) throws ExperimentFileException {
        return convert(pathOf(key), required(key), converter);
    }

    <T> List<T> objectList(String key, int min, ObjectConverter<T> converter) throws ExperimentFileException {
        if (!(required(key) instanceof ArrayNode array)) {
            throw error(key, "must be a list");
        }
        if (array.items().size() < min) {
            throw error(key, "must have " + min + " or more items");
        }
        List<T> values = new ArrayList<>();
        for (int i = 0; i < array.items().size(); i++) {
            values.add(convert(pathOf(key) + "[" + i + "]", array.items().get(i), converter));
        }
        return List.copyOf(values);
    }

    /** Returns an exception for a field of this object, with the position of the object if the field is missing. */
    ExperimentFileException error(String key, String problem) {
        LocatedNode value = node.fields().get(key);
        return exceptionAt(value == null ? node.position() : value.position(), pathOf(key), problem);
    }

    /** Rejects the object if it has a field that no method of this reader has read. */
    void rejectUnknownFields() throws ExperimentFileException {
        for (Map.Entry<String, LocatedNode> field : node.fields().entrySet()) {
            if (!requestedKeys.contains(field.getKey())) {
                throw exceptionAt(node.keyPositions().get(field.getKey()), pathOf(field.getKey()), "unknown field");
            }
        }
    }

    private static <T> T convert(String path, LocatedNode node, ObjectConverter<T> converter)
            throws ExperimentFileException {
        FieldReader fields = of(path, node);
        T value = converter.convert(fields);
        fields.rejectUnknownFields();
        return value;
    }

    private ScalarNode scalar(String key) throws ExperimentFileException {
        if (required(key) instanceof ScalarNode scalar) {
            return scalar;
        }
        throw error(key, "must be a single value");
    }

    private LocatedNode required(String key) throws ExperimentFileException {
        requestedKeys.add(key);
        LocatedNode value = node.fields().get(key);
        if (value == null) {
            throw exceptionAt(node.position(), pathOf(key), "is missing");
        }
        return value;
    }

    private String pathOf(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    private static ExperimentFileException exceptionAt(Position position, String path, String problem) {
        return new ExperimentFileException(position.line(), position.column(), path, problem);
    }
}
