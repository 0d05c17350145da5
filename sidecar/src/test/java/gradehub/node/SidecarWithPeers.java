package gradehub.node;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The packaged sidecar, ready, with one upstream that answers each request and a discovery that lists it. */
final class SidecarWithPeers implements AutoCloseable {

    private final SidecarFixture fixture;
    private final StubServer upstream;
    private final StubServer discovery;
    private final SidecarProcess process;

    private SidecarWithPeers(
            SidecarFixture fixture, StubServer upstream, StubServer discovery, SidecarProcess process) {
        this.fixture = fixture;
        this.upstream = upstream;
        this.discovery = discovery;
        this.process = process;
    }

    /** Starts all of them, the sidecar with its files in this folder, and waits until it is ready. */
    static SidecarWithPeers start(Path folder, Map<String, String> environment)
            throws IOException, InterruptedException {
        SidecarFixture fixture = new SidecarFixture();
        StubServer upstream = StubServer.upstream();
        StubServer discovery = StubServer.discovery(SidecarFixture.listOf(upstream.address()));
        SidecarProcess process =
                SidecarProcess.start(folder, fixture.config(null).put("discovery", discovery.address()), environment);
        process.awaitReady();
        return new SidecarWithPeers(fixture, upstream, discovery, process);
    }

    /**
     * Starts all of them with these limits; the upstream answers {@link SidecarProcess#LARGE} requests with large bodies.
     * Discovery lists this many further upstreams, which drain, and is asked again every few seconds, as it then says nothing.
     */
    static SidecarWithPeers startWithLimits(Path folder, int memoryMb, int sockets, int draining)
            throws IOException, InterruptedException {
        SidecarFixture fixture = new SidecarFixture();
        StubServer upstream = StubServer.answering(request -> SidecarFixture.answer(
                "200 OK",
                request.startLine().contains(SidecarProcess.LARGE)
                        ? "b".repeat(DemandingPeer.BODY_BYTES)
                        : request.header("X-Txn")));
        List<String> members = new ArrayList<>();
        members.add(SidecarFixture.member("u1", upstream.address(), "active"));
        for (int i = 0; i < draining; i++) {
            members.add(SidecarFixture.member("draining-" + i, upstream.address(), "leaving"));
        }
        StubServer discovery = StubServer.discovery(SidecarFixture.list(1, true, members.toArray(new String[0])));
        ObjectNode config = fixture.config(null).put("discovery", discovery.address());
        config.withObject("/limits").put("memory_mb", memoryMb).put("sockets", sockets);
        SidecarProcess process = SidecarProcess.start(folder, config, Map.of());
        process.awaitReady();
        return new SidecarWithPeers(fixture, upstream, discovery, process);
    }

    SidecarProcess process() {
        return process;
    }

    StubServer upstream() {
        return upstream;
    }

    @Override
    public void close() throws IOException {
        process.close();
        discovery.close();
        upstream.close();
        fixture.close();
    }
}
