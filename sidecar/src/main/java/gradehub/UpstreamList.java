package gradehub;

import gradehub.Balancer.Status;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** The upstreams known from discovery, in order of arrival, and the subset from which requests are served. */
final class UpstreamList {

    private static final int MIN_SUBSET = 10; // members; the design asks for "about ten"
    private static final int MIN_SIDECARS = 8; // per upstream; fewer spread the load unevenly
    private static final double INITIAL_CONCURRENCY = 8; // of all sidecars at a new upstream

    private final int sidecars;
    private final SplittableRandom random;
    private final List<UpstreamState> upstreams = new ArrayList<>();
    final List<UpstreamState> members = new ArrayList<>();
    private final Map<Integer, UpstreamState> byId = new HashMap<>();

    UpstreamList(int sidecars, SplittableRandom random) {
        this.sidecars = sidecars;
        this.random = random;
    }

    /** Applies an update from discovery; the state of an upstream that has restarted is reset. */
    void apply(double nowMs, Balancer.ListKind kind, List<Balancer.Upstream> entries) {
        if (kind != Balancer.ListKind.DELTA) {
            upstreams.forEach(UpstreamList::markGone);
        }
        for (Balancer.Upstream entry : entries) {
            UpstreamState known = byId.get(entry.id());
            if (known != null && entry.startedMs() > 0 && known.listed.startedMs() != entry.startedMs()) {
                markGone(known);
                known = null;
            }
            if (known == null) {
                known = new UpstreamState(entry);
                upstreams.add(known);
                byId.put(entry.id(), known);
            }
            known.listed = entry;
        }
        members.removeIf(upstream -> !upstream.isReady());
        upstreams.removeIf(upstream -> upstream.listed.status() == Status.GONE);
        byId.values().removeIf(upstream -> upstream.listed.status() == Status.GONE);
        fillSubset(nowMs);
    }

    UpstreamState find(int id) {
        return byId.get(id);
    }

    /** Fills free places of the subset with random ready upstreams, each at the mean share by weight. */
    private void fillSubset(double nowMs) {
        List<UpstreamState> candidates = new ArrayList<>(upstreams);
        candidates.removeIf(upstream -> !upstream.isReady() || members.contains(upstream));
        LoadShares.normalise(members);
        double weights = members.stream()
                .mapToDouble(upstream -> upstream.listed.weight())
                .sum();
        while (!candidates.isEmpty()) {
            UpstreamState upstream = candidates.remove(random.nextInt(candidates.size()));
            boolean full = members.size() >= subsetSize();
            // A new upstream replaces a member with the probability that keeps coverage of the fleet even.
            if (full && !upstream.consideredForSubset && random.nextInt(upstreams.size()) < members.size()) {
                members.remove(random.nextInt(members.size()));
                full = false;
            }
            if (!full) {
                upstream.limit.reset(initialConcurrency());
                upstream.share = (upstream.listed.weight() + Double.MIN_NORMAL) / (weights > 0 ? weights : 1);
                // Random, so that many sidecars do not all send their first attempt at once.
                upstream.slowStartBudget.reset(nowMs, random.nextDouble());
                members.add(upstream);
            }
            upstream.consideredForSubset = true;
        }
        LoadShares.normalise(members);
    }

    private double subsetSize() {
        return Math.max(MIN_SUBSET, (double) MIN_SIDECARS * upstreams.size() / sidecars);
    }

    /** This sidecar's part of the initial concurrency of an upstream, as if all sidecars were alike. */
    double initialConcurrency() {
        double fleet = upstreams.size();
        return INITIAL_CONCURRENCY * fleet / (sidecars * Math.min(subsetSize(), fleet));
    }

    double weightFraction(UpstreamState upstream) {
        double weights =
                members.stream().mapToDouble(member -> member.listed.weight()).sum();
        return weights > 0 ? upstream.listed.weight() / weights : 1.0 / members.size();
    }

    private static void markGone(UpstreamState upstream) {
        Balancer.Upstream old = upstream.listed;
        upstream.listed = new Balancer.Upstream(
                old.id(), Status.GONE, old.startedMs(), old.zone(), old.kind(), old.cell(), old.weight());
    }
}
