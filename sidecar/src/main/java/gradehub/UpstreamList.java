package gradehub;

import gradehub.Balancer.Status;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The upstreams known from discovery, and the subset from which requests are served. The time for a change
 * grows with its entries and, if it concerns a member, with the subset, but not with the number of upstreams.
 */
final class UpstreamList {

    private static final int MIN_SUBSET = 10; // members; the design asks for "about ten"
    private static final int MIN_SIDECARS = 8; // per upstream; fewer spread the load unevenly
    private static final double INITIAL_CONCURRENCY = 8; // of all sidecars at a new upstream

    private final int sidecars;
    private final SplittableRandom random;
    private final Map<Integer, UpstreamState> upstreams = new HashMap<>(); // by id
    final List<UpstreamState> members = new ArrayList<>();
    private final CandidatePool candidates = new CandidatePool();
    private final List<UpstreamState> newCandidates = new ArrayList<>(); // not yet considered for the subset
    private boolean membersChanged; // by the update that is being applied
    private double memberWeights; // the sum

    UpstreamList(int sidecars, SplittableRandom random) {
        this.sidecars = sidecars;
        this.random = random;
    }

    /** Applies an update from discovery; the state of an upstream that has restarted is reset. */
    void apply(double nowMs, Balancer.ListKind kind, List<Balancer.Upstream> entries) {
        if (kind != Balancer.ListKind.DELTA) {
            upstreams.values().forEach(UpstreamList::markGone);
        }
        for (Balancer.Upstream entry : entries) {
            applyEntry(entry);
        }
        if (kind != Balancer.ListKind.DELTA) {
            List.copyOf(upstreams.values()).forEach(this::applyStatus);
        }
        if (membersChanged) {
            members.removeIf(upstream -> !upstream.member);
            normaliseMembers();
        }
        fillSubset(nowMs);
        if (membersChanged) {
            normaliseMembers();
        }
        membersChanged = false;
    }

    private void applyEntry(Balancer.Upstream entry) {
        UpstreamState known = upstreams.get(entry.id());
        if (known != null && entry.startedMs() > 0 && known.listed.startedMs() != entry.startedMs()) {
            markGone(known);
            applyStatus(known);
            known = null;
        }
        if (known == null) {
            known = new UpstreamState(entry);
            upstreams.put(entry.id(), known);
        }
        known.listed = entry;
        applyStatus(known);
    }

    /** Makes a ready upstream a candidate unless it is a member; one that is not ready is neither. */
    private void applyStatus(UpstreamState upstream) {
        membersChanged |= upstream.member; // its weight may have changed
        upstream.member &= upstream.isReady();
        boolean candidate = candidates.contains(upstream);
        if (upstream.isReady() && !upstream.member && !candidate) {
            candidates.add(upstream);
            newCandidates.add(upstream);
        } else if (!upstream.isReady() && candidate) {
            candidates.remove(upstream);
        }
        if (upstream.listed.status() == Status.GONE) {
            upstreams.remove(upstream.id, upstream);
        }
    }

    UpstreamState find(int id) {
        return upstreams.get(id);
    }

    /** Fills free places with random candidates, then considers each new candidate for a member's place. */
    private void fillSubset(double nowMs) {
        double weights = memberWeights;
        while (members.size() < subsetSize() && !candidates.isEmpty()) {
            addMember(nowMs, candidates.removeRandom(random), weights);
        }
        // In random order: a later one may take the place of an earlier one.
        while (!newCandidates.isEmpty()) {
            UpstreamState upstream = removeRandomNewCandidate();
            boolean considered = upstream.consideredForSubset || !candidates.contains(upstream);
            upstream.consideredForSubset = true;
            // A new upstream replaces a member with the probability that keeps coverage of the fleet even.
            if (!considered && random.nextInt(upstreams.size()) < members.size()) {
                removeMember(random.nextInt(members.size()));
                candidates.remove(upstream);
                addMember(nowMs, upstream, weights);
            }
        }
    }

    private UpstreamState removeRandomNewCandidate() {
        int last = newCandidates.size() - 1;
        int drawn = random.nextInt(newCandidates.size());
        UpstreamState upstream = newCandidates.get(drawn);
        newCandidates.set(drawn, newCandidates.get(last));
        newCandidates.remove(last);
        return upstream;
    }

    /** Adds an upstream at the mean share by weight; {@code weights} is the sum over the members so far. */
    private void addMember(double nowMs, UpstreamState upstream, double weights) {
        upstream.limit.reset(initialConcurrency());
        upstream.share = (upstream.listed.weight() + Double.MIN_NORMAL) / (weights > 0 ? weights : 1);
        // Random, so that many sidecars do not all send their first attempt at once.
        upstream.slowStartBudget.reset(nowMs, random.nextDouble());
        upstream.consideredForSubset = true;
        upstream.member = true;
        members.add(upstream);
        membersChanged = true;
    }

    private void removeMember(int index) {
        UpstreamState removed = members.remove(index);
        removed.member = false;
        candidates.add(removed);
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
        return memberWeights > 0 ? upstream.listed.weight() / memberWeights : 1.0 / members.size();
    }

    private void normaliseMembers() {
        LoadShares.normalise(members);
        memberWeights = 0;
        for (UpstreamState member : members) {
            memberWeights += member.listed.weight();
        }
    }

    private static void markGone(UpstreamState upstream) {
        Balancer.Upstream old = upstream.listed;
        upstream.listed = new Balancer.Upstream(
                old.id(), Status.GONE, old.startedMs(), old.zone(), old.kind(), old.cell(), old.weight());
    }
}
