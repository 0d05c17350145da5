package gradehub.node;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Start times of upstreams by the sidecar's own clock. Discovery reports them by another machine's wall clock. If
 * either clock has been stepped, a newly reported start may lie in the future or far in the past, and slow start would last as
 * long as the step or be skipped. Such a start is replaced by the time at which it was reported.
 */
final class StartTimes {

    /** Longest delay between an upstream's start and its report to a connected sidecar. */
    private static final double MAX_REPORT_DELAY_MS = 2000;
    /** Entries of removed upstreams are kept: one that returns without a restart must not enter slow start again. */
    private static final int MAX_ENTRIES = 16_384;

    private record Start(double reportedMs, double startedMs) {}

    private final Map<String, Start> starts = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Start> eldest) {
            return size() > MAX_ENTRIES;
        }
    };

    /**
     * Returns the member's start time by the sidecar's clock. {@code silentMs} is the time since discovery was last heard;
     * a start of 0 means long ago.
     */
    double startedMs(String member, double reportedMs, double nowMs, double silentMs) {
        if (reportedMs <= 0) {
            return reportedMs;
        }
        Start known = starts.get(member);
        if (known == null || known.reportedMs != reportedMs) {
            known = new Start(reportedMs, isPlausible(nowMs - reportedMs, silentMs) ? reportedMs : nowMs);
            starts.put(member, known);
        }
        return known.startedMs;
    }

    private static boolean isPlausible(double ageMs, double silentMs) {
        return ageMs >= 0 && ageMs <= silentMs + MAX_REPORT_DELAY_MS;
    }
}
