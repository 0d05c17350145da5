package gradehub.node;

import java.util.List;

/** Parses the load reports of upstreams. */
record LoadReportParser(List<String> fields) {

    static final double[] NONE = {};

    /**
     * Returns the values in the order of the settings, or {@link #NONE} if a value is missing or invalid: with a 0 in
     * its place the upstream would appear idle.
     */
    double[] parse(String header) {
        if (header == null || fields.isEmpty()) {
            return NONE;
        }
        double[] report = new double[fields.size()];
        boolean[] present = new boolean[fields.size()];
        for (String part : header.split(",")) {
            int separator = part.indexOf('=');
            int field = separator < 0
                    ? -1
                    : fields.indexOf(part.substring(0, separator).trim());
            if (field >= 0) {
                report[field] = parseNumber(part.substring(separator + 1).trim());
                present[field] = report[field] >= 0 && report[field] <= Float.MAX_VALUE;
            }
        }
        for (boolean valid : present) {
            if (!valid) {
                return NONE;
            }
        }
        return report;
    }

    private static double parseNumber(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
