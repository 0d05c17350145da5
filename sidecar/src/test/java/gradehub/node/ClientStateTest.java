package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.Balancer;
import gradehub.Balancer.AttemptEnd;
import gradehub.Balancer.Outcome;
import gradehub.Balancer.Request;
import gradehub.NoOpBalancer;
import gradehub.node.ReadAheadChannel.PeerState;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** What the engine does with a further attempt when the client has left, or may have left, since the first one. */
class ClientStateTest {

    private static final int SAFE = 0;
    private static final int UNSAFE = 1;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final CompletableFuture<Answer> answer = new CompletableFuture<>();
    private final List<Outcome> ends = new CopyOnWriteArrayList<>();

    private SidecarFixture fixture;
    private ServerSocket first;
    private ServerSocket second;
    private Engine engine;
    private volatile PeerState state = PeerState.CONNECTED;

    @BeforeEach
    void open() throws Exception {
        fixture = new SidecarFixture();
        first = fixture.listener();
        second = fixture.listener();
        Config config = Config.parse(fixture.config(null));
        engine = loop.submit(() -> new Engine(
                        loop,
                        new Clock(),
                        config,
                        new SocketBudget(1024),
                        new MemoryBudget(1 << 18),
                        ReadAheadChannel::new,
                        TwoAttempts::new))
                .get();
        MemberReader.Update update = config.members()
                .read(Config.JSON.readTree(SidecarFixture.list(
                        1,
                        true,
                        SidecarFixture.member("u1", SidecarFixture.address(first), "active"),
                        SidecarFixture.member("u2", SidecarFixture.address(second), "active"))));
        loop.submit(() -> engine.upstreams(Balancer.ListKind.FULL, update, 0)).get();
    }

    @AfterEach
    void close() throws Exception {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        fixture.close();
    }

    /** Sends one attempt at once, and another to the second upstream when that one ends or the test asks for it. */
    private final class TwoAttempts extends NoOpBalancer {
        private final Balancer.Actions actions;
        private List<Balancer.Upstream> upstreams;

        TwoAttempts(Balancer.Actions actions) {
            this.actions = actions;
        }

        @Override
        public void upstreams(double nowMs, Balancer.ListKind kind, List<Balancer.Upstream> entries) {
            upstreams = entries;
        }

        @Override
        public void request(double nowMs, Request request) {
            actions.send(request.id(), upstreams.get(0).id(), 0);
        }

        @Override
        public void attemptEnded(double nowMs, AttemptEnd end) {
            ends.add(end.outcome());
            if (end.attempt() == 0 && !end.requestDone()) {
                timer(nowMs, end.request());
            }
        }

        @Override
        public void timer(double nowMs, int request) {
            actions.send(request, upstreams.get(1).id(), 0);
        }
    }

    private void request(int requestClass) {
        ClientRequest request = new ClientRequest(
                SidecarFixture.requestId(1),
                requestClass,
                0,
                30_000,
                false,
                0,
                HttpMethod.POST,
                "/x",
                new DefaultHttpHeaders(),
                new byte[0]);
        loop.execute(() -> engine.request(request, 0, new Engine.Client() {
            @Override
            public void answer(Answer given) {
                answer.complete(given);
            }

            @Override
            public PeerState state() {
                return state;
            }

            @Override
            public void closed(boolean mustNotRepeat) {}

            @Override
            public void completed() {}
        }));
    }

    private RawConnection acceptFirstAttempt() throws Exception {
        RawConnection attempt = SidecarFixture.accept(first);
        attempt.read();
        return attempt;
    }

    private int answeredStatus() throws Exception {
        return answer.get(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS).status();
    }

    private void assertSecondUpstreamIsUnused() throws Exception {
        loop.submit(() -> {}).get();
        second.setSoTimeout(1); // a connection would have been opened by now
        assertThrows(SocketTimeoutException.class, second::accept);
    }

    /** Guards against a second copy that begins after the client has left, or may have left. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "CONNECTED")
    void secondCopyIsNotSent(PeerState later) throws Exception {
        request(SAFE);
        try (RawConnection attempt = acceptFirstAttempt()) {
            state = later;
            loop.submit(() -> engine.timer(0, 1)).get();
            assertTrue(hasEnded(Outcome.NOT_SENT));
            assertSecondUpstreamIsUnused();
            if (later == PeerState.UNKNOWN) {
                attempt.send(SidecarFixture.answer("200 OK", ""));
                assertEquals(200, answeredStatus(), "the first attempt still serves the request");
            }
        }
    }

    private boolean hasEnded(Outcome outcome) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RawConnection.TIMEOUT_MS);
        while (!ends.contains(outcome) && System.nanoTime() < deadlineNanos) {
            Thread.onSpinWait();
        }
        return ends.contains(outcome);
    }

    /** Guards against a refusal, which promises that nothing ran, where the first attempt may have run. */
    @ParameterizedTest
    @CsvSource({"0,true,503", "1,true,502", "1,false,503"})
    void requestEndsWhenItsRetryFindsTheStateUnknown(int requestClass, boolean mayHaveRun, int status)
            throws Exception {
        request(requestClass);
        try (RawConnection attempt = acceptFirstAttempt()) {
            state = PeerState.UNKNOWN;
            if (mayHaveRun) {
                attempt.reset();
            } else {
                attempt.send(SidecarFixture.answer("503 Busy", "", "X-Turned-Away: 1"));
            }
            assertEquals(status, answeredStatus());
            assertSecondUpstreamIsUnused();
        }
    }

    /** Guards against a request that stays in the engine when its retry finds that the client has left. */
    @Test
    void requestOfAClientThatHasLeftIsRemoved() throws Exception {
        request(UNSAFE);
        try (RawConnection attempt = acceptFirstAttempt()) {
            state = PeerState.CLOSED;
            attempt.send(SidecarFixture.answer("503 Busy", "", "X-Turned-Away: 1"));
            assertTrue(hasEnded(Outcome.NOT_SENT));
            assertSecondUpstreamIsUnused();
        }
        assertEquals(0, loop.submit(engine::requestsInFlight).get());
    }
}
