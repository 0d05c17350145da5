package gradehub.scale.model;

import gradehub.Balancer;

/**
 * What the list service has to say of one machine.
 *
 * @param revision the revision of the list in which this was new
 * @param changedMicros when it was new
 * @param upstream the same for the decision module
 * @param bytes length of its JSON form
 */
record ListEntry(
        Topology.Machine machine,
        Phase phase,
        long startedMicros,
        int revision,
        long changedMicros,
        Balancer.Upstream upstream,
        int bytes) {

    /** The protocol's phases. */
    enum Phase {
        ACTIVE("active", Balancer.Status.READY),
        LEAVING("leaving", Balancer.Status.DRAINING),
        LEFT("left", Balancer.Status.GONE);

        final String word;
        final Balancer.Status status;

        Phase(String word, Balancer.Status status) {
            this.word = word;
            this.status = status;
        }
    }

    /** An entry; {@code startedMicros} is negative for a machine that started before the run. */
    static ListEntry of(
            Topology.Machine machine, String zone, Phase phase, long startedMicros, int revision, long changedMicros) {
        double startedMillis = startedMicros < 0 ? 0 : Math.max(1, SimulationContext.toMillis(startedMicros));
        Balancer.Upstream upstream = new Balancer.Upstream(
                machine.number(), phase.status, startedMillis, machine.zone(), 0, machine.service(), 1);
        int bytes = ListJson.member(machine, zone, phase, startedMicros).length;
        return new ListEntry(machine, phase, startedMicros, revision, changedMicros, upstream, bytes);
    }
}
