package gradehub;

import gradehub.Balancer.Contract;
import gradehub.Balancer.Effect;
import gradehub.Balancer.Goal;
import gradehub.Balancer.Group;
import gradehub.Balancer.Limits;
import gradehub.Balancer.RequestClass;
import gradehub.Balancer.Settings;
import gradehub.Balancer.Tenant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads settings by path, for the simulator's adapter and for the sidecar on sockets. Defaults are restrictive: one
 * attempt, no optional features, requests unsafe to repeat. A class without a deadline is rejected.
 */
public final class SettingsReader {

    private static final double DEFAULT_COLD_FROM = 0.1;
    private static final double DEFAULT_COLD_MS = 30_000;
    private static final double DEFAULT_ASK_EVERY_MS = 10_000;

    private final Map<String, String> values;

    /** Takes settings as path and value; see {@link #fromLines} for the syntax of paths. */
    public SettingsReader(Map<String, String> values) {
        this.values = Map.copyOf(values);
    }

    /** Parses path=value lines; a list of objects has its length under .count and its items under their indexes. */
    public static SettingsReader fromLines(String text) {
        Map<String, String> values = new HashMap<>();
        for (String line : text.lines().toList()) {
            int separator = line.indexOf('=');
            if (separator > 0) {
                values.put(
                        line.substring(0, separator).trim(),
                        line.substring(separator + 1).trim());
            }
        }
        return new SettingsReader(values);
    }

    /** The settings of a balancer. */
    public Settings settings() {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < count("lanes.count"); i++) {
            classes.add(requestClass("lanes." + i + "."));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < count("tenants.count"); i++) {
            String path = "tenants." + i + ".";
            tenants.add(new Tenant(
                    string(path + "name", "tenant-" + i), number(path + "portion", 0), number(path + "quotaPerS", 0)));
        }
        List<String> fields = "off".equals(string("report.via", "off")) ? List.of() : strings("report.fields");
        Limits limits = new Limits(
                (int) number("limits.maxAttempts", 1),
                flag("limits.secondCopies"),
                flag("limits.cancel"),
                flag("limits.probing"),
                flag("limits.retryAfter") ? number("limits.maxRetryAfterMs", 0) : 0);
        Contract contract = new Contract(
                number("contract.coldFrom", DEFAULT_COLD_FROM),
                number("contract.coldMs", DEFAULT_COLD_MS),
                number("contract.overloadFactor", 1),
                number("contract.fallMs", 0),
                number("contract.askEveryMs", DEFAULT_ASK_EVERY_MS));
        Goal goal = new Goal(
                number("scoringMix.whole", 1), number("scoringMix.worstClass", 0), number("scoringMix.worstTenant", 0));
        return new Settings(
                classes,
                tenants,
                (int) number("instances", 1),
                "ask".equals(string("membershipMode", "push")),
                flag("clients.marksRetry"),
                number("tickMs", 0),
                number("overShareWorth", 1),
                fields,
                "on_probe".equals(string("report.via", "off")),
                limits,
                contract,
                goal);
    }

    private RequestClass requestClass(String path) {
        if (!values.containsKey(path + "hardLimitMs")) {
            throw new IllegalArgumentException("setting " + path + "hardLimitMs is missing");
        }
        double deadlineMs = number(path + "hardLimitMs", 0);
        Effect effect = switch (string(path + "idempotency", "fragile")) {
            case "retryable" -> Effect.SAFE;
            case "dedup" -> Effect.KEYED;
            default -> Effect.UNSAFE;
        };
        Group group = switch (string(path + "group", "cell")) {
            case "all" -> Group.ALL;
            case "zone" -> Group.ZONE;
            default -> Group.CELL;
        };
        return new RequestClass(
                string(path + "name", "class"),
                number(path + "aimMs", deadlineMs),
                deadlineMs,
                number(path + "worth", 1),
                number(path + "lateWorth", 0),
                effect,
                group,
                number(path + "windowMs", 0),
                flag(path + "streaming"));
    }

    /** A comma-separated list of strings; empty if the setting is missing. */
    public List<String> strings(String path) {
        String value = string(path, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    private int count(String path) {
        return (int) number(path, 0);
    }

    private boolean flag(String path) {
        return "true".equals(values.get(path));
    }

    private String string(String path, String defaultValue) {
        return values.getOrDefault(path, defaultValue);
    }

    /** A number, or {@code defaultValue} if the setting is missing. */
    public double number(String path, double defaultValue) {
        String value = values.get(path);
        if (value == null) {
            return defaultValue;
        }
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("setting " + path + " is not a number: " + value, e);
        }
    }
}
