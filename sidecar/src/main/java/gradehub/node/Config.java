package gradehub.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gradehub.Balancer.Settings;
import gradehub.SettingsReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/** The configuration that the platform gives a sidecar at startup. Unknown keys are ignored. */
record Config(
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        int memoryMb,
        JsonNode known,
        Settings settings,
        MemberReader members,
        double connectTimeoutMs,
        double idleTimeoutMs,
        double answerSlackMs,
        double drainGraceMs) {

    static final ObjectMapper JSON = new ObjectMapper();

    private static final String FILE_VARIABLE = "BALANCER_CONFIG";
    /** The same as in the start script. */
    private static final int DEFAULT_MEMORY_MB = 192;

    /** Why a configuration was rejected. */
    enum Fault {
        /** The file cannot be read at present. */
        UNREADABLE,
        /** The file is truncated or not JSON; it may be partly written. */
        MALFORMED_JSON,
        /** The file is complete, but the sidecar cannot run with its contents. */
        INVALID
    }

    /** Thrown for a configuration that the sidecar cannot use; the message starts with the key. */
    static final class InvalidConfigException extends Exception {

        private static final long serialVersionUID = 1L;

        private final Fault fault;

        InvalidConfigException(String message) {
            this(Fault.INVALID, message);
        }

        InvalidConfigException(Fault fault, String message) {
            super(message);
            this.fault = fault;
        }

        Fault fault() {
            return fault;
        }
    }

    static Config load(Map<String, String> environment) throws InvalidConfigException {
        String file = environment.get(FILE_VARIABLE);
        if (file == null || file.isEmpty()) {
            throw new InvalidConfigException(FILE_VARIABLE + " is not set");
        }
        try {
            JsonNode root = JSON.readTree(Files.readAllBytes(Path.of(file)));
            if (root.isMissingNode()) {
                throw new InvalidConfigException(Fault.MALFORMED_JSON, FILE_VARIABLE + ": " + file + " is empty");
            }
            return parse(root);
        } catch (JsonProcessingException e) {
            throw new InvalidConfigException(
                    Fault.MALFORMED_JSON,
                    FILE_VARIABLE + ": " + file + " is not valid JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new InvalidConfigException(
                    Fault.UNREADABLE, FILE_VARIABLE + ": cannot read " + file + ": " + e.getMessage());
        }
    }

    /** Like {@link #load}, but throws a retryable {@link IOException} for a file that exists and cannot be read. */
    static Config loadForStart(Map<String, String> environment) throws InvalidConfigException, IOException {
        try {
            return load(environment);
        } catch (InvalidConfigException e) {
            if (e.fault() == Fault.UNREADABLE && Files.exists(Path.of(environment.get(FILE_VARIABLE)))) {
                throw new IOException(e.getMessage(), e);
            }
            throw e;
        }
    }

    static Config parse(JsonNode root) throws InvalidConfigException {
        if (!root.path("settings").isObject()) {
            throw new InvalidConfigException("settings: missing or not an object");
        }
        Map<String, String> values = new HashMap<>();
        flatten("", root.get("settings"), values);
        SettingsReader reader = new SettingsReader(values);
        try {
            return new Config(
                    address(root, "listen"),
                    address(root, "discovery"),
                    seed(root),
                    sockets(root),
                    memoryMb(root),
                    root.path("known"),
                    reader.settings(),
                    new MemberReader(reader.strings("failureDomains"), reader.strings("kinds")),
                    reader.number("limits.connectTimeoutMs", 250),
                    reader.number("limits.connIdleMs", 15_000),
                    reader.number("contract.answerSlackMs", 0),
                    reader.number("contract.drainGraceMs", 500));
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigException("settings: " + e.getMessage());
        }
    }

    /** Flattens to the keys of the simulator: strings in an array are comma-separated, objects are keyed by index. */
    private static void flatten(String path, JsonNode node, Map<String, String> values) {
        String prefix = path.isEmpty() ? "" : path + ".";
        if (node.isObject()) {
            node.properties().forEach(entry -> flatten(prefix + entry.getKey(), entry.getValue(), values));
        } else if (node.isArray() && node.path(0).isContainerNode()) {
            values.put(prefix + "count", String.valueOf(node.size()));
            for (int i = 0; i < node.size(); i++) {
                flatten(prefix + i, node.get(i), values);
            }
        } else if (node.isArray()) {
            StringBuilder words = new StringBuilder();
            for (Iterator<JsonNode> items = node.elements(); items.hasNext(); ) {
                words.append(items.next().asText()).append(items.hasNext() ? "," : "");
            }
            values.put(path, words.toString());
        } else if (!node.isNull()) {
            values.put(path, node.asText());
        }
    }

    private static InetSocketAddress address(JsonNode root, String key) throws InvalidConfigException {
        InetSocketAddress address = parseAddress(root.path(key).asText(""));
        if (address == null) {
            throw new InvalidConfigException(key + ": missing or not an IP address and port");
        }
        return address;
    }

    /** Parses a numeric IP address and a port; returns null for anything else, since there is no DNS to resolve names. */
    static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]")) {
            return null;
        }
        try {
            return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    private static long seed(JsonNode root) throws InvalidConfigException {
        try {
            return Long.parseUnsignedLong(root.path("seed").asText(""), 16);
        } catch (NumberFormatException e) {
            throw new InvalidConfigException("seed: missing or not a hexadecimal number");
        }
    }

    private static int memoryMb(JsonNode root) throws InvalidConfigException {
        int memoryMb = root.path("limits").path("memory_mb").asInt(DEFAULT_MEMORY_MB);
        if (memoryMb < ProcessMemory.MIN_LIMIT_MB) {
            throw new InvalidConfigException("limits.memory_mb: must be at least " + ProcessMemory.MIN_LIMIT_MB
                    + ", since the Java virtual machine does not fit into less");
        }
        return memoryMb;
    }

    private static int sockets(JsonNode root) throws InvalidConfigException {
        int sockets = root.path("limits").path("sockets").asInt(1024);
        if (sockets <= SocketBudget.RESERVED_DESCRIPTORS) {
            throw new InvalidConfigException("limits.sockets: must be above " + SocketBudget.RESERVED_DESCRIPTORS);
        }
        return sockets;
    }
}
