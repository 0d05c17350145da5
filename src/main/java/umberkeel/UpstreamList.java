package umberkeel;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** The upstreams that discovery has named, in the order in which they came, and the subset drawn from. */
final class UpstreamList {

    final List<UpstreamState> upstreams = new ArrayList<>();
    final List<UpstreamState> members = new ArrayList<>();
    private final Map<Integer, UpstreamState> byId = new HashMap<>();

    /** Takes over what discovery says; an upstream that has restarted begins anew. */
    void apply(Balancer.ListKind kind, List<Balancer.Upstream> entries) {
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
        members.removeIf(upstream -> !upstream.ready());
        upstreams.removeIf(upstream -> upstream.listed.status() == Balancer.Status.GONE);
        byId.values().removeIf(upstream -> upstream.listed.status() == Balancer.Status.GONE);
    }

    UpstreamState find(int id) {
        return byId.get(id);
    }

    List<UpstreamState> candidates() {
        return upstreams.stream().filter(upstream -> upstream.ready() && !members.contains(upstream))
                .collect(Collectors.toCollection(ArrayList::new));
    }

    /** The part of the members' weight that an upstream has. */
    double weightPart(UpstreamState upstream) {
        double weights = members.stream().mapToDouble(member -> member.listed.weight()).sum();
        return weights > 0 ? upstream.listed.weight() / weights : 1.0 / members.size();
    }

    /** Scales the members' shares to a sum of 1. */
    void normalise() {
        double total = 0;
        for (UpstreamState upstream : members) {
            total += upstream.share;
        }
        for (UpstreamState upstream : members) {
            upstream.share /= total;
        }
    }

    private static void markGone(UpstreamState upstream) {
        Balancer.Upstream old = upstream.listed;
        upstream.listed = new Balancer.Upstream(old.id(), Balancer.Status.GONE, old.startedMs(), old.zone(),
                old.kind(), old.cell(), old.weight());
    }
}
