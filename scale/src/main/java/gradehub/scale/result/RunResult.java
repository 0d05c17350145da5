package gradehub.scale.result;

import java.math.BigDecimal;
import java.math.MathContext;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/**
 * The measurements of one run.
 *
 * @param experiment name of the experiment
 * @param size number of upstreams in the fleet, each with its own sidecar
 * @param seed seed of all random numbers of the run
 * @param complete whether the run reached its planned end
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

    /** Makes unmodifiable copies of the lists. */
    public RunResult {
        figures = List.copyOf(figures);
        seconds = List.copyOf(seconds);
        services = List.copyOf(services);
    }

    /** A named figure; the unit of a ratio or a count is 1. */
    public record Figure(String name, double value, String unit) {}

    /** Counts of one simulated second of the run. */
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
     * The load on the upstreams of one service.
     *
     * @param callers number of machines that call the service
     * @param perUpstream mean attempts per second at an upstream
     * @param spread attempts at the busiest upstream, divided by the mean over all upstreams of the service
     */
    public record ServiceLoad(int service, int layer, int upstreams, int callers, double perUpstream, double spread) {}

    /** Formats a number with at most six significant digits and no exponent. */
    public static String format(double value) {
        if (Double.isNaN(value) || Double.isInfinite(value)) {
            return String.valueOf(value);
        }
        return BigDecimal.valueOf(value).round(SIX_DIGITS).stripTrailingZeros().toPlainString();
    }

    /** Returns the value of the figure with this name. */
    public double figure(String name) {
        return figures.stream()
                .filter(figure -> figure.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("unknown figure: " + name))
                .value();
    }

    /**
     * Returns the SHA-256, in hexadecimal, of the string forms of all figures and rows. Those contain the names of the
     * records and their components, so that renaming one of them changes the digest.
     */
    public String digest() {
        StringBuilder text = new StringBuilder();
        figures.forEach(figure -> text.append(figure).append('\n'));
        seconds.forEach(second -> text.append(second).append('\n'));
        services.forEach(service -> text.append(service).append('\n'));
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(sha256.digest(text.toString().getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java platform must provide it", e);
        }
    }
}
