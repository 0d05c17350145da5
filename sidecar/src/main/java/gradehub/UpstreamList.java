package gradehub;

import gradehub.Balancer.Status;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** The upstreams that discovery has named, in the order in which they came, and the subset drawn from. */
final class UpstreamList {

    private static final int SUBSET = 10; // members: the design's "about ten"
    private static final int COVER = 8; // sidecars that hold an upstream, at least: fewer cover unevenly
    private static final double FIRST_IN_FLIGHT = 8; // attempts of all sidecars at an upstream not known yet

    private final int sidecars;
    private final SplittableRandom random;
    private final List<UpstreamState> upstreams = new ArrayList<>();
    final List<UpstreamState> members = new ArrayList<>();
    private final Map<Integer, UpstreamState> byId = new HashMap<>();

    UpstreamList(int sidecars, SplittableRandom random) {
        this.sidecars = sidecars;
        this.random = random;
    }

    /** Takes over what discovery says; an upstream that has restarted begins anew. */
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

    /** A member that drains or is gone gives way to a random ready upstream, at the mean share. */
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
            // A new upstream takes a member's place as often as an even cover of the fleet asks for.
            if (full && !upstream.consideredForSubset && random.nextInt(upstreams.size()) < members.size()) {
                members.remove(random.nextInt(members.size()));
                full = false;
            }
            if (!full) {
                upstream.limit.reset(initialConcurrency());
                upstream.share = (upstream.listed.weight() + Double.MIN_NORMAL) / (weights > 0 ? weights : 1);
                // Not one at once from each of many sidecars.
                upstream.slowStartBudget.reset(nowMs, random.nextDouble());
                members.add(upstream);
            }
            upstream.consideredForSubset = true;
        }
        LoadShares.normalise(members);
    }

    private double subsetSize() {
        return Math.max(SUBSET, (double) COVER * upstreams.size() / sidecars);
    }

    /** This sidecar's part of the attempts that an upstream not known yet may have, as if all were alike. */
    double initialConcurrency() {
        double fleet = upstreams.size();
        return FIRST_IN_FLIGHT * fleet / (sidecars * Math.min(subsetSize(), fleet));
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
