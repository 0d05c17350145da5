package gradehub.node;

/**
 * Logs and counts what happens to requests other than an upstream's answer. Each kind of event is logged with its
 * request's identifier at most once per second; the counts are complete.
 */
final class RequestLog {

    /** What happened to a request. */
    enum Event {
        CLIENT_LEFT("client-left"),
        UNREAD_INPUT("ended-behind-unread-input"),
        REFUSED("refused-by-policy"),
        FAILED("failed-by-policy"),
        OVERDUE("ended-at-deadline"),
        RETRIED("retried"),
        COPIED("second-copy"),
        IDENTIFIER_OPEN("rejected-identifier-open"),
        IDENTIFIER_USED("rejected-identifier-may-have-run"),
        NO_MEMORY("refused-for-memory"),
        REJECTED("rejected-as-invalid");

        private final String label;

        Event(String label) {
            this.label = label;
        }
    }

    private static final Event[] EVENTS = Event.values();

    private final RateLimitedLog[] logs = new RateLimitedLog[EVENTS.length];
    private final long[] counts = new long[EVENTS.length];

    RequestLog() {
        for (int i = 0; i < logs.length; i++) {
            logs[i] = new RateLimitedLog();
        }
    }

    /** Records an event of a request that has had this many attempts; {@code detail} says more about its cause. */
    void record(Event event, String id, int attempts, String detail) {
        counts[event.ordinal()]++;
        logs[event.ordinal()].warn(
                "event=request-" + event.label + " id=" + id + " attempts=" + attempts + " detail=\"" + detail + '"');
    }

    /** Returns the number of requests with this event since the start. */
    long count(Event event) {
        return counts[event.ordinal()];
    }

    /** Returns one line with all counts. */
    String totals() {
        StringBuilder line = new StringBuilder("event=request-totals");
        for (Event event : EVENTS) {
            line.append(' ').append(event.label).append('=').append(count(event));
        }
        return line.toString();
    }
}
