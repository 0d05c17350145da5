package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.Balancer;
import gradehub.Balancer.AttemptEnd;
import gradehub.Balancer.Outcome;
import gradehub.Balancer.Request;
import gradehub.NoOpBalancer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests how the engine drives a decision module, also one that misbehaves. */
class EngineTest {

    private static final int UNKNOWN_UPSTREAM = 99;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private Engine engine(Function<Balancer.Actions, Balancer> module) throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            Config config = Config.parse(fixture.config(null));
            return loop.submit(() -> new Engine(
                            loop,
                            new Clock(),
                            config,
                            new SocketBudget(1024),
                            new MemoryBudget(1 << 18),
                            ReadAheadChannel::new,
                            module))
                    .get();
        }
    }

    private Answer ask(Engine engine, double remainingMs) throws Exception {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        ClientRequest request = new ClientRequest(
                "0000000000000001",
                1,
                0,
                remainingMs,
                false,
                0,
                HttpMethod.POST,
                "/event-submit",
                new DefaultHttpHeaders(),
                new byte[0]);
        loop.execute(() -> engine.request(request, 0, new Engine.Client() {
            @Override
            public void answer(Answer given) {
                assertTrue(answer.complete(given), "answered more than once");
            }

            @Override
            public ReadAheadChannel.PeerState state() {
                return ReadAheadChannel.PeerState.CONNECTED;
            }

            @Override
            public void closed(boolean mustNotRepeat) {}

            @Override
            public void completed() {}
        }));
        return answer.get(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private int requestsInFlight(Engine engine) throws Exception {
        return loop.submit(engine::requestsInFlight).get();
    }

    @Test
    void moduleExceptionFailsOnlyItsRequest() throws Exception {
        Engine engine = engine(actions -> new NoOpBalancer() {
            @Override
            public void request(double nowMs, Request request) {
                throw new IllegalStateException("thrown by the test");
            }
        });
        assertEquals(502, ask(engine, 30_000).status());
        assertEquals(502, ask(engine, 30_000).status(), "the module still receives the next request");
        assertEquals(0, requestsInFlight(engine));
    }

    /** A request that the module never answers is answered by the engine; otherwise it would be lost. */
    @Test
    void unansweredRequestFailsAtDeadline() throws Exception {
        List<Integer> left = new CopyOnWriteArrayList<>();
        Engine engine = engine(actions -> new NoOpBalancer() {
            @Override
            public void clientDisconnected(double nowMs, int request) {
                left.add(request);
            }
        });
        assertEquals(502, ask(engine, 10).status());
        assertEquals(0, requestsInFlight(engine));
        assertEquals(List.of(1), left);
    }

    /** A request that the module ended while it handled another event was never removed. */
    @Test
    void requestEndedDuringAnotherEventIsRemoved() throws Exception {
        List<Integer> waiting = new ArrayList<>();
        Engine engine = engine(actions -> new NoOpBalancer() {
            @Override
            public void request(double nowMs, Request request) {
                waiting.forEach(id -> actions.refuse(id, 0));
                waiting.add(request.id());
                actions.timer(1, 0);
            }

            @Override
            public void timer(double nowMs, int token) {
                waiting.forEach(id -> actions.refuse(id, 0));
            }
        });
        assertEquals(503, ask(engine, 30_000).status());
        assertEquals(503, ask(engine, 30_000).status());
        assertEquals(0, requestsInFlight(engine));
    }

    /** The engine sends nothing new to a leaving upstream, even if the module asks for it. */
    @Test
    void nothingIsSentToLeavingUpstream() throws Exception {
        List<Outcome> ends = new ArrayList<>();
        Engine engine = engine(actions -> new NoOpBalancer() {
            private int leaving;

            @Override
            public void upstreams(double nowMs, Balancer.ListKind kind, List<Balancer.Upstream> entries) {
                leaving = entries.get(0).id();
            }

            @Override
            public void request(double nowMs, Request request) {
                actions.send(request.id(), leaving, 1000);
            }

            @Override
            public void attemptEnded(double nowMs, AttemptEnd end) {
                ends.add(end.outcome());
                actions.refuse(end.request(), 0);
            }
        });
        try (SidecarFixture fixture = new SidecarFixture()) {
            String list = SidecarFixture.list(
                    1, true, SidecarFixture.member("u1", SidecarFixture.address(fixture.listener()), "leaving"));
            MemberReader reader = Config.parse(fixture.config(null)).members();
            MemberReader.Update update = reader.read(Config.JSON.readTree(list));
            loop.submit(() -> engine.upstreams(Balancer.ListKind.FULL, update, 0))
                    .get();
            assertEquals(503, ask(engine, 30_000).status());
            assertEquals(List.of(Outcome.CONNECT_FAILED), ends);
        }
    }

    /** Events that result from the module's actions are delivered after its call returns, not within it. */
    @Test
    void moduleIsNotCalledReentrantly() throws Exception {
        List<String> calls = new ArrayList<>();
        Engine engine = engine(actions -> new NoOpBalancer() {
            @Override
            public void request(double nowMs, Request request) {
                calls.add("request");
                actions.send(request.id(), UNKNOWN_UPSTREAM, 1000); // not listed, so the attempt fails at once
                actions.send(request.id(), UNKNOWN_UPSTREAM, -1);
                calls.add("end of request");
            }

            @Override
            public void attemptEnded(double nowMs, AttemptEnd end) {
                calls.add(end.attempt() + " " + end.outcome());
                if (end.attempt() == 1) {
                    actions.fail(end.request());
                    actions.send(end.request(), UNKNOWN_UPSTREAM, 1000);
                }
            }
        });
        assertEquals(502, ask(engine, 30_000).status());
        assertEquals(0, requestsInFlight(engine));
        assertEquals(
                List.of(
                        "request",
                        "end of request",
                        "0 " + Outcome.CONNECT_FAILED,
                        "1 " + Outcome.CONNECT_FAILED,
                        "2 " + Outcome.NOT_SENT),
                calls);
    }
}
