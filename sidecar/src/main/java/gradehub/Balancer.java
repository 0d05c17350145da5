package gradehub;

import java.util.List;
import java.util.Objects;

/**
 * The decision logic of one sidecar. The caller reports events through the methods below, in the order in which they
 * happened; the balancer responds during the call through {@link Actions}. An instance is used by one thread at a time,
 * reads no clock ({@code nowMs} never decreases) and shares no state with other instances.
 *
 * <p>Identifiers of requests and upstreams are opaque. The attempts of a request are numbered 0, 1, 2 and so on, in
 * the order in which they were sent.
 */
public interface Balancer {

    /** The sidecar has started. Called once, before all other methods except {@link #setMaxClientRequests}. */
    void start(double nowMs);

    /** Sets how many requests clients can have open at once. Called before {@link #start}, if the number is known. */
    default void setMaxClientRequests(int requests) {}

    /** An update of the list of upstreams; {@code entries} is empty for {@link ListKind#FAILED}. */
    void upstreams(double nowMs, ListKind kind, List<Upstream> entries);

    /** A client's request has arrived; it must get exactly one final answer. */
    void request(double nowMs, Request request);

    /** The answer of a streamed request has started, and the client receives it from this attempt. */
    void streamStarted(double nowMs, int request, int attempt, double elapsedMs);

    /** An attempt has ended. Each attempt that was sent ends exactly once. */
    void attemptEnded(double nowMs, AttemptEnd end);

    /** The client has disconnected; its request needs no answer. */
    void clientDisconnected(double nowMs, int request);

    /** A timer set with {@link Actions#timer} has expired. */
    void timer(double nowMs, int token);

    /** A health probe has ended. Ignored by default. */
    default void probeEnded(double nowMs, int upstream, Outcome outcome, double elapsedMs, double[] report) {}

    /** A message has arrived from another sidecar. Ignored by default. */
    default void peerMessage(double nowMs, int sender, byte[] message) {}

    /** The operations that a balancer can request from its sidecar. */
    interface Actions {

        /** Sends an attempt; the sidecar opens a connection if none is idle. */
        void send(int request, int upstream, double timeoutMs);

        /** Final answer: not served, safe to retry. {@code retryAfterMs} 0 means that no delay is suggested. */
        void refuse(int request, double retryAfterMs);

        /** Final answer: not served; the request may have been executed. */
        void fail(int request);

        /** Cancels an attempt; it still ends with an event, usually as {@link Outcome#CANCELLED}. */
        void cancel(int request, int attempt);

        /** Sends a health probe. */
        void probe(int upstream);

        /** Calls {@link Balancer#timer} after a delay; a timer cannot be cancelled. */
        void timer(double delayMs, int token);

        /** Opens or closes the subscription to the list of upstreams. */
        void subscribe(boolean on);

        /** Fetches the full list once. */
        void fetchList();

        /** Closes this sidecar's idle connections to an upstream. */
        void closeIdle(int upstream);

        /** Logs a line for operators. */
        void log(String line);
    }

    /** How an update of the list of upstreams relates to the previous state. */
    enum ListKind {
        /** The changed entries only. */
        DELTA,
        /** The full list; an upstream that is missing from it is gone. */
        FULL,
        /** The full list as stored before this sidecar restarted; may be outdated. */
        CACHED,
        /** A subscription or a fetch failed; the previous list remains valid. */
        FAILED
    }

    /** The status of an upstream in discovery. */
    enum Status {
        DRAINING,
        READY,
        GONE
    }

    /** How an attempt or a probe ended. */
    enum Outcome {
        /** Answered with an error; may have been executed. */
        ERROR(false),
        /** Served. */
        OK(false),
        /** Rejected by the upstream without being executed. */
        REJECTED(true),
        /** No answer in time; may have been executed, or may still be. */
        TIMEOUT(false),
        /** No connection could be made. */
        CONNECT_FAILED(true),
        /** The connection was lost; may have been executed. */
        RESET(false),
        /** Cancelled by this sidecar; may have been executed. */
        CANCELLED(false),
        /** Never sent: the request had ended, or had no time or attempts left. */
        NOT_SENT(true);

        private final boolean provesNotRun;

        Outcome(boolean provesNotRun) {
            this.provesNotRun = provesNotRun;
        }

        /** Whether the request is known not to have been executed by this attempt. */
        public boolean provesNotRun() {
            return provesNotRun;
        }
    }

    /** The effect of executing a request a second time. */
    enum Effect {
        /** None: idempotent. */
        SAFE,
        /** None within the deduplication window of one group of upstreams. */
        KEYED,
        /** Harmful: not idempotent. */
        UNSAFE
    }

    /** The upstreams that deduplicate a {@link Effect#KEYED} request among each other. */
    enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** An entry of the list of upstreams; {@code startedMs} is 0 if the upstream started long ago. */
    record Upstream(int id, Status status, double startedMs, int zone, int kind, int cell, double weight) {
        /** Rejects a missing status and a negative weight. */
        public Upstream {
            Objects.requireNonNull(status, "status");
            require(weight >= 0, "weight of an upstream must not be negative");
        }
    }

    /**
     * One request; {@code tenant} is undefined if {@link Settings#tenants} is empty. {@code costMs} is a rough estimate
     * of its CPU time on a standard core, or 0 if there is none.
     */
    record Request(int id, int requestClass, int tenant, double timeoutMs, boolean retry, double costMs) {
        /** Rejects a NaN timeout and a negative cost estimate. */
        public Request {
            require(!Double.isNaN(timeoutMs), "timeout of a request must be a number");
            require(costMs >= 0, "cost estimate of a request must not be negative");
        }
    }

    /** The end of one attempt; {@code requestDone} is true if the client has its final answer. */
    record AttemptEnd(
            int request,
            int attempt,
            int upstream,
            Outcome outcome,
            double elapsedMs,
            boolean requestDone,
            double[] report) {
        /** Rejects a missing outcome or report. */
        public AttemptEnd {
            Objects.requireNonNull(outcome, "outcome");
            Objects.requireNonNull(report, "report");
        }
    }

    /** A class of requests; {@code lateWorth} is the fraction of its worth that an answer after the aim retains. */
    record RequestClass(
            String name,
            double aimMs,
            double deadlineMs,
            double worth,
            double lateWorth,
            Effect effect,
            Group group,
            double windowMs,
            boolean streamed) {
        /** Rejects missing values, non-positive times and negative worths. */
        public RequestClass {
            Objects.requireNonNull(effect, "effect");
            Objects.requireNonNull(group, "group");
            require(aimMs > 0 && deadlineMs > 0, "aim and deadline of a class must be positive");
            require(worth >= 0 && lateWorth >= 0, "worth of a class must not be negative");
        }
    }

    /** A tenant of the service; up to its quota, over all sidecars, its requests have their full worth. */
    record Tenant(String name, double portion, double quotaPerS) {
        /** Rejects a negative portion or quota. */
        public Tenant {
            require(portion >= 0 && quotaPerS >= 0, "portion and quota of a tenant must not be negative");
        }
    }

    /** The operations that the sidecar may use, and their limits. */
    record Limits(int maxAttempts, boolean secondCopies, boolean cancel, boolean probes, double maxRetryAfterMs) {
        /** Rejects a limit below one attempt. */
        public Limits {
            require(maxAttempts >= 1, "at least one attempt must be allowed");
        }
    }

    /** The platform's contract: how upstreams warm up, and how often to fetch the list without a subscription. */
    record Contract(double coldFrom, double coldMs, double overloadFactor, double overloadMs, double listIntervalMs) {
        /** Rejects a cold capacity outside (0, 1], negative times and non-positive factors. */
        public Contract {
            require(coldFrom > 0 && coldFrom <= 1, "cold share must be above 0 and at most 1");
            require(coldMs >= 0 && overloadMs >= 0, "times of the contract must not be negative");
            require(
                    overloadFactor > 0 && listIntervalMs > 0,
                    "overload factor and list interval of the contract must be positive");
        }
    }

    /** The weights of the service goal: for all requests, for the worst class and for the worst tenant. */
    record Goal(double overall, double worstClass, double worstTenant) {}

    /** The settings of a balancer; {@code reportsOnProbe} is true if upstreams report load only to probes. */
    record Settings(
            List<RequestClass> classes,
            List<Tenant> tenants,
            int sidecars,
            boolean pollsList,
            boolean retriesMarked,
            double tickMs,
            double overShareWorth,
            List<String> reportFields,
            boolean reportsOnProbe,
            Limits limits,
            Contract contract,
            Goal goal) {
        /** Copies the lists; rejects missing values, an empty list of classes and fewer than one sidecar. */
        public Settings {
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
            reportFields = List.copyOf(reportFields);
            Objects.requireNonNull(limits, "limits");
            Objects.requireNonNull(contract, "contract");
            Objects.requireNonNull(goal, "goal");
            require(!classes.isEmpty(), "at least one request class is needed");
            require(sidecars >= 1, "at least one sidecar is needed");
        }

        /** The number of requests active or waiting at an upstream by its load report; 0 if it has no such field. */
        double reportedRequests(double[] report) {
            double requests = 0;
            for (int i = 0; i < report.length && i < reportFields.size(); i++) {
                if (reportFields.get(i).equals("active") || reportFields.get(i).equals("waiting")) {
                    requests = Math.max(requests, report[i]);
                }
            }
            return requests;
        }

        double shortestAimMs() {
            return classes.stream().mapToDouble(RequestClass::aimMs).min().orElseThrow();
        }
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
