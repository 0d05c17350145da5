package gradehub.scale.model;

import gradehub.Balancer;

/**
 * The entry of one machine in the list.
 *
 * @param revision the revision of the list that introduced this entry
 * @param changedMicros when that revision was made
 * @param upstream the entry in the form that the balancing module takes
 * @param jsonBytes length of its JSON form
 */
record ListEntry(
        Topology.Machine machine,
        Phase phase,
        long startedMicros,
        int revision,
        long changedMicros,
        Balancer.Upstream upstream,
        int jsonBytes) {

    /** The phases of a member in the list service's protocol. */
    enum Phase {
        ACTIVE("active", Balancer.Status.READY),
        LEAVING("leaving", Balancer.Status.DRAINING),
        LEFT("left", Balancer.Status.GONE);

        final String protocolName;
        final Balancer.Status status;

        Phase(String protocolName, Balancer.Status status) {
            this.protocolName = protocolName;
            this.status = status;
        }
    }

    /** Creates an entry; {@code startedMicros} is negative for a machine that started before the run. */
    static ListEntry of(
            Topology.Machine machine, String zone, Phase phase, long startedMicros, int revision, long changedMicros) {
        double startedMillis = startedMicros < 0 ? 0 : Math.max(1, SimulationContext.toMillis(startedMicros));
        Balancer.Upstream upstream = new Balancer.Upstream(
                machine.number(), phase.status, startedMillis, machine.zone(), 0, machine.service(), 1);
        int jsonBytes = ListJson.encodeMember(machine, zone, phase, startedMicros).length;
        return new ListEntry(machine, phase, startedMicros, revision, changedMicros, upstream, jsonBytes);
    }
}
