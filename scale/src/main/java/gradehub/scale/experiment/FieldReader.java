package gradehub.scale.experiment;

import gradehub.scale.experiment.LocatedNode.ArrayNode;
import gradehub.scale.experiment.LocatedNode.ObjectNode;
import gradehub.scale.experiment.LocatedNode.Place;
import gradehub.scale.experiment.LocatedNode.ScalarNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Reads the fields of one object with their types and ranges; {@link #end} refuses the keys that nobody asked for. */
final class FieldReader {

    /** Makes a value from the object that a field holds. */
    interface ObjectFunction<T> {
        T read(FieldReader fields) throws ExperimentFileException;
    }

    private final String path;
    private final ObjectNode node;
    private final Set<String> known = new HashSet<>();

    private FieldReader(String path, ObjectNode node) {
        this.path = path;
        this.node = node;
    }

    static FieldReader of(String path, LocatedNode node) throws ExperimentFileException {
        if (node instanceof ObjectNode object) {
            return new FieldReader(path, object);
        }
        throw at(node.place(), path, "must be an object");
    }

    long integer(String key, long least, long most) throws ExperimentFileException {
        ScalarNode scalar = scalar(key);
        if (!(scalar.value() instanceof Integer || scalar.value() instanceof Long)) {
            throw error(key, "must be a whole number");
        }
        long value = ((Number) scalar.value()).longValue();
        if (value < least || value > most) {
            throw error(key, "is " + value + ", must be between " + least + " and " + most);
        }
        return value;
    }

    int count(String key, int least, int most) throws ExperimentFileException {
        return (int) integer(key, least, most);
    }

    double number(String key, double least, double most) throws ExperimentFileException {
        if (!(scalar(key).value() instanceof Number number)) {
            throw error(key, "must be a number");
        }
        double value = number.doubleValue();
        if (!(value >= least && value <= most)) {
            throw error(key, "is " + value + ", must be between " + least + " and " + most);
        }
        return value;
    }

    boolean flag(String key) throws ExperimentFileException {
        if (scalar(key).value() instanceof Boolean value) {
            return value;
        }
        throw error(key, "must be true or false");
    }

    String text(String key) throws ExperimentFileException {
        if (scalar(key).value() instanceof String value && !value.isBlank()) {
            return value;
        }
        throw error(key, "must be a text that is not empty");
    }

    /** One of an enumeration's constants, written in lower case with hyphens. */
    <E extends Enum<E>> E choice(String key, Class<E> type) throws ExperimentFileException {
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

    <T> T object(String key, ObjectFunction<T> reader) throws ExperimentFileException {
        return read(pathOf(key), required(key), reader);
    }

    <T> List<T> objects(String key, int least, ObjectFunction<T> reader) throws ExperimentFileException {
        if (!(required(key) instanceof ArrayNode array)) {
            throw error(key, "must be a list");
        }
        if (array.items().size() < least) {
            throw error(key, "must have " + least + " items at least");
        }
        List<T> values = new ArrayList<>();
        for (int i = 0; i < array.items().size(); i++) {
            values.add(read(pathOf(key) + "[" + i + "]", array.items().get(i), reader));
        }
        return List.copyOf(values);
    }

    /** An error at a field of this object. */
    ExperimentFileException error(String key, String problem) {
        LocatedNode value = node.fields().get(key);
        return at(value == null ? node.place() : value.place(), pathOf(key), problem);
    }

    /** Refuses keys that were not read. */
    void end() throws ExperimentFileException {
        for (Map.Entry<String, LocatedNode> field : node.fields().entrySet()) {
            if (!known.contains(field.getKey())) {
                throw at(node.keyPlaces().get(field.getKey()), pathOf(field.getKey()), "is not a known field");
            }
        }
    }

    private static <T> T read(String path, LocatedNode node, ObjectFunction<T> reader) throws ExperimentFileException {
        FieldReader fields = of(path, node);
        T value = reader.read(fields);
        fields.end();
        return value;
    }

    private ScalarNode scalar(String key) throws ExperimentFileException {
        if (required(key) instanceof ScalarNode scalar) {
            return scalar;
        }
        throw error(key, "must be a single value");
    }

    private LocatedNode required(String key) throws ExperimentFileException {
        known.add(key);
        LocatedNode value = node.fields().get(key);
        if (value == null) {
            throw at(node.place(), pathOf(key), "is missing");
        }
        return value;
    }

    private String pathOf(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    private static ExperimentFileException at(Place place, String path, String problem) {
        return new ExperimentFileException(place.line(), place.column(), path, problem);
    }
}
