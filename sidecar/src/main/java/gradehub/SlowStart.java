package gradehub;

/**
 * Guards against pushing over an upstream that has just started. Acts for the contract's time: first attempts
 * only, for the part that is warm, from a budget.
 *
 * <p>The contract's budget is {@code overloadFactor} times what a cold upstream can do, and a warm one of
 * its size takes no more than it can do. So all sidecars together keep to it if each sends at {@code rate}
 * times its own part of what a warm one takes, and saves no more than the rest of the budget.
 */
final class SlowStart {

    private static final double MOST_RATE = 1.5; // of what a warm member of the size is sent
    private static final double SAVED_MS = LoadShiftingBalancer.SHARE_TICK_MS / 4; // worth of saved tokens

    private final Balancer.Contract contract;
    private final double rate;
    private final double lapseMs;
    private double sentPerMs;
    private int sent; // in this tick
    private double meanCostMs; // of the requests that came with a hint
    private long hinted;

    SlowStart(Balancer.Contract contract) {
        this.contract = contract;
        rate = Math.min(MOST_RATE, contract.overloadFactor() / 2);
        lapseMs = Math.max(SAVED_MS, contract.overloadMs()) * (contract.overloadFactor() - rate) / rate;
    }

    /** The part of its load that an upstream can take at this age; 1 once it is warm. */
    double warmth(double nowMs, Balancer.Upstream listed) {
        double ageMs = nowMs - listed.startedMs();
        if (listed.startedMs() <= 0 || ageMs >= contract.coldMs()) {
            return 1;
        }
        return contract.coldFrom() + (1 - contract.coldFrom()) * Math.max(0, ageMs) / contract.coldMs();
    }

    /** Whether a cold upstream may be sent an attempt, where {@code part} of all attempts is a warm one's. */
    boolean admits(double nowMs, TokenBucket budget, double warmth, double part) {
        return budget.has(nowMs, rate * sentPerMs * part * warmth, SAVED_MS, lapseMs);
    }

    /** Notes a request, whose hint of its cost is 0 where there is none. */
    void requested(double costMs) {
        if (costMs > 0) {
            meanCostMs += (costMs - meanCostMs) / Math.min(ClassStats.SMOOTHING, ++hinted);
        }
    }

    /** Notes an attempt: a heavy request is a part of the budget that is larger by so much. */
    void sent(TokenBucket budget, double costMs) {
        sent++;
        budget.take(costMs > 0 ? costMs / meanCostMs : 1);
    }

    void tick() {
        sentPerMs = (sentPerMs + sent / LoadShiftingBalancer.SHARE_TICK_MS) / 2;
        sent = 0;
    }
}
