package gradehub;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The ready upstreams outside the subset. Every operation takes constant time, however many there are. */
final class CandidatePool {

    static final int ABSENT = -1; // the index of an upstream that is no candidate

    private final List<UpstreamState> candidates = new ArrayList<>();

    boolean isEmpty() {
        return candidates.isEmpty();
    }

    boolean contains(UpstreamState upstream) {
        return upstream.candidateIndex != ABSENT;
    }

    void add(UpstreamState upstream) {
        upstream.candidateIndex = candidates.size();
        candidates.add(upstream);
    }

    /** Removes a candidate by moving the last one to its place. */
    void remove(UpstreamState upstream) {
        UpstreamState last = candidates.remove(candidates.size() - 1);
        if (last != upstream) {
            candidates.set(upstream.candidateIndex, last);
            last.candidateIndex = upstream.candidateIndex;
        }
        upstream.candidateIndex = ABSENT;
    }

    UpstreamState removeRandom(SplittableRandom random) {
        UpstreamState drawn = candidates.get(random.nextInt(candidates.size()));
        remove(drawn);
        return drawn;
    }
}
