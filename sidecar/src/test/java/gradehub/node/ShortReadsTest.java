package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.SingleThreadEventLoop;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What arrives at once is read in many turns of the event loop. The memory of the messages shows what has been read. */
class ShortReadsTest {

    private static final int BODY_BYTES = 60 * 1024;
    private static final int CLIENTS = 40;
    private static final int INPUT_BYTES = 16 * 1024;
    /** What is counted for the headers of a message. */
    private static final int HEADER_BYTES = 2048;

    private SidecarFixture fixture;
    private ServerSocket upstream;

    @BeforeEach
    void open() throws Exception {
        fixture = new SidecarFixture();
        upstream = fixture.listener();
        fixture.start(SidecarFixture.listOf(SidecarFixture.address(upstream)));
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private TurnObserver observeUsedBytes() {
        return TurnObserver.start(fixture.sidecar().loop(), fixture.sidecar().memory()::usedBytes);
    }

    /** Returns how much may be reserved for this much input: a buffer is doubled when a read does not fit. */
    private static int maxReserved(int readBytes, int messages) {
        return 2 * readBytes + messages * HEADER_BYTES;
    }

    /** Guards against an answer that is read whole in one turn of the event loop, while all other connections wait. */
    @Test
    void longAnswerIsReadInSeveralTurns() throws Throwable {
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            String answer = SidecarFixture.answer("200 OK", "b".repeat(BODY_BYTES));
            TurnObserver observer = observeUsedBytes();
            fixture.whileEventLoopBlocked(() -> up.send(answer.substring(0, answer.length() - 1)));
            long most = observer.mostInOneTurnUntil(BODY_BYTES);
            assertTrue(most <= maxReserved(ShortReads.MAX_READ_BYTES, 1), most + " bytes");
        }
    }

    /** Guards against turns that grow with the number of clients that send much at once. */
    @Test
    void inputOfManyClientsIsReadInSeveralTurns() throws Throwable {
        List<RawConnection> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(fixture.client());
        }
        fixture.awaitOnEventLoop(() -> fixture.sidecar().clients() == CLIENTS);
        String request = SidecarFixture.postRequest(SidecarFixture.requestId(1), "b".repeat(BODY_BYTES));
        TurnObserver observer = observeUsedBytes();
        fixture.whileEventLoopBlocked(() -> sendToAll(clients, request.substring(0, INPUT_BYTES)));
        long most = observer.mostInOneTurnUntil(CLIENTS * INPUT_BYTES * 3 / 4);
        int readable = TurnReadBudget.TURN_BYTES + CLIENTS * TurnReadBudget.SHORT_READ_BYTES;
        assertTrue(most <= maxReserved(readable, CLIENTS), most + " bytes");
        for (RawConnection client : clients) {
            client.close();
        }
    }

    /** Guards against answers of upstreams that are read a little at a time because clients send much. */
    @Test
    void connectionsOfTheSidecarDoNotShareTheBudgetOfItsClients() throws Exception {
        SingleThreadEventLoop loop = (SingleThreadEventLoop) fixture.sidecar().loop();
        int[] sizes = loop.submit(() -> {
                    TurnReadBudget.current().recordRead(TurnReadBudget.TURN_BYTES, loop);
                    int accepted = new ShortReads(null, new MemoryBudget(1 << 18))
                            .newHandle()
                            .guess();
                    int opened = new ShortReads(null, null).newHandle().guess();
                    return new int[] {accepted, opened};
                })
                .get();
        assertEquals(TurnReadBudget.SHORT_READ_BYTES, sizes[0]);
        assertTrue(sizes[1] > TurnReadBudget.SHORT_READ_BYTES, sizes[1] + " bytes");
    }

    private static void sendToAll(List<RawConnection> clients, String input) throws IOException {
        for (RawConnection client : clients) {
            client.send(input);
        }
    }
}
