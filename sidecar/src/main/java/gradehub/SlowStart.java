package gradehub;

/**
 * Protects an upstream that has just started from overload. While the contract calls it cold, it gets first
 * attempts only, in proportion to its capacity so far and within a budget.
 *
 * <p>The contract's budget is {@code overloadFactor} times the capacity of a cold upstream, and a warm one of
 * its size gets no more than its capacity. So the sum over all sidecars stays within it if each sends at
 * {@code rate} times its own part of a warm upstream's load, and accumulates no more than the rest.
 */
final class SlowStart {

    private static final double MAX_RATE = 1.5; // of the load of a warm member of the same size
    private static final double BURST_MS = LoadShiftingBalancer.SHARE_TICK_MS / 4; // of tokens may accumulate

    private final Balancer.Contract contract;
    private final double rate;
    private final double lapseMs;
    private double sentPerMs;
    private int sent; // attempts in this tick
    private double meanCostMs; // of the requests with a cost hint
    private long hinted; // requests with a cost hint

    SlowStart(Balancer.Contract contract) {
        this.contract = contract;
        rate = Math.min(MAX_RATE, contract.overloadFactor() / 2);
        lapseMs = Math.max(BURST_MS, contract.overloadMs()) * (contract.overloadFactor() - rate) / rate;
    }

    /** The fraction of its full load that an upstream can take at its age; 1 once it is warm. */
    double capacityFraction(double nowMs, Balancer.Upstream listed) {
        double ageMs = nowMs - listed.startedMs();
        if (listed.startedMs() <= 0 || ageMs >= contract.coldMs()) {
            return 1;
        }
        return contract.coldFrom() + (1 - contract.coldFrom()) * Math.max(0, ageMs) / contract.coldMs();
    }

    /** Whether a cold upstream may get an attempt; {@code part} of all attempts would go to it when warm. */
    boolean admits(double nowMs, TokenBucket budget, double capacityFraction, double part) {
        return budget.hasToken(nowMs, rate * sentPerMs * part * capacityFraction, BURST_MS, lapseMs);
    }

    /** Records a request; {@code costMs} is 0 if it has no cost hint. */
    void recordRequest(double costMs) {
        if (costMs > 0) {
            meanCostMs += (costMs - meanCostMs) / Math.min(ClassStats.SMOOTHING, ++hinted);
        }
    }

    /** Records an attempt and charges the budget in proportion to its cost hint. */
    void recordAttempt(TokenBucket budget, double costMs) {
        sent++;
        budget.consume(costMs > 0 ? costMs / meanCostMs : 1);
    }

    void tick() {
        sentPerMs = (sentPerMs + sent / LoadShiftingBalancer.SHARE_TICK_MS) / 2;
        sent = 0;
    }
}
