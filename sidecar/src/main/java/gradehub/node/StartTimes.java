package gradehub.node;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * When upstreams started, by the sidecar's own clock. Discovery tells it by another machine's wall clock; where one of
 * the two has been stepped, a start that is news would lie in the future or long ago, and slow start would last for as
 * long as the step or not at all. Such a start counts from when it was told.
 */
final class StartTimes {

    /** From an upstream's start to the news of it at a sidecar that listens. */
    private static final double NEWS_MS = 2000;
    /** Those of upstreams that have gone are kept: one that comes back without a restart is not new. */
    private static final int MOST_KEPT = 16_384;

    private record Start(double toldMs, double startedMs) {}

    private final Map<String, Start> starts = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Start> eldest) {
            return size() > MOST_KEPT;
        }
    };

    /** The start of this member by the sidecar's clock, where discovery was last heard so long ago; 0 is long ago. */
    double startedMs(String member, double toldMs, double nowMs, double silentMs) {
        if (toldMs <= 0) {
            return toldMs;
        }
        Start known = starts.get(member);
        if (known == null || known.toldMs != toldMs) {
            known = new Start(toldMs, isPlausible(nowMs - toldMs, silentMs) ? toldMs : nowMs);
            starts.put(member, known);
        }
        return known.startedMs;
    }

    private static boolean isPlausible(double ageMs, double silentMs) {
        return ageMs >= 0 && ageMs <= silentMs + NEWS_MS;
    }
}
