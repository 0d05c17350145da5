package gradehub.scale.result;

import java.math.BigDecimal;
import java.math.MathContext;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/**
 * What one run has measured.
 *
 * @param experiment name of the experiment
 * @param size upstreams of the fleet, each with its sidecar
 * @param seed seed of the run
 * @param complete whether it was played to its end
 */
public record RunResult(
        String experiment,
        int size,
        long seed,
        boolean complete,
        List<Figure> figures,
        List<Second> seconds,
        List<ServiceLoad> services) {

    private static final MathContext SIX_DIGITS = new MathContext(6);

    /** Copies the lists. */
    public RunResult {
        figures = List.copyOf(figures);
        seconds = List.copyOf(seconds);
        services = List.copyOf(services);
    }

    /** A named figure; a ratio has the unit 1. */
    public record Figure(String name, double value, String unit) {}

    /** One simulated second of the run. */
    public record Second(
            int second,
            long rootOffered,
            long rootServed,
            long attempts,
            long leafAttempts,
            long listCalls,
            long listCallsFailed,
            long listBytesIn,
            long listBytesOut,
            long restored,
            long configured) {}

    /**
     * The load of one service.
     *
     * @param perUpstream attempts a second at an upstream, in the mean
     * @param spread attempts at its busiest upstream over that mean
     */
    public record ServiceLoad(int service, int layer, int upstreams, int callers, double perUpstream, double spread) {}

    /** A number in at most six significant digits. */
    public static String format(double value) {
        if (Double.isNaN(value) || Double.isInfinite(value)) {
            return String.valueOf(value);
        }
        return BigDecimal.valueOf(value).round(SIX_DIGITS).stripTrailingZeros().toPlainString();
    }

    /** The figure of this name. */
    public double figure(String name) {
        return figures.stream()
                .filter(figure -> figure.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no figure " + name))
                .value();
    }

    /** SHA-256 over all that was measured, in hexadecimal digits. */
    public String digest() {
        StringBuilder text = new StringBuilder();
        figures.forEach(figure -> text.append(figure).append('\n'));
        seconds.forEach(second -> text.append(second).append('\n'));
        services.forEach(service -> text.append(service).append('\n'));
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(sha256.digest(text.toString().getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("each Java platform has SHA-256", e);
        }
    }
}
