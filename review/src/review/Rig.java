package review;

import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** One sidecar as a process of its own, started by the deploy file, with stand-ins for servers and discovery. */
final class Rig implements AutoCloseable {

    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final int CONNECT_TIMEOUT_MS = 2000;

    final Record record;
    final List<Upstream> upstreams = new ArrayList<>();
    /** The locality and cell of each server, in the order of {@link #upstreams}. */
    final List<String> places = new ArrayList<>();

    private final Path root;
    private final Path folder;
    private final AtomicLong lastTxn = new AtomicLong(0x5a00000000L);
    private Discovery discovery;
    Process sidecar;
    InetSocketAddress address;
    int sockets = 256;
    String zones = "\"reykjavik\",\"akureyri\",\"egilsstadir\"";
    String lanes =
            """
            {"name":"visit-checkin","aimMs":600.0,"hardLimitMs":2000.0,"idempotency":"fragile","group":"all",
             "windowMs":5000.0,"worth":5.0,"lateWorth":0.5,"streaming":false},
            {"name":"shift-swap","aimMs":500.0,"hardLimitMs":1200.0,"idempotency":"dedup","group":"cell",
             "windowMs":2500.0,"worth":3.0,"lateWorth":0.25,"streaming":false}""";

    Rig(Record record) throws IOException {
        this.record = record;
        root = Path.of(System.getProperty("review.root"));
        folder = Files.createTempDirectory("review");
    }

    Upstream upstream(String locality, int cell, Upstream.Service service) throws IOException {
        Upstream upstream = new Upstream("s-" + (upstreams.size() + 1), record, service);
        upstreams.add(upstream);
        places.add("\"locality\":\"" + locality + "\",\"flavor\":\"mid-box\",\"cell\":" + cell);
        return upstream;
    }

    String list() {
        List<String> members = new ArrayList<>();
        for (int i = 0; i < upstreams.size(); i++) {
            members.add("{\"id\":\"" + upstreams.get(i).id + "\",\"host_port\":\""
                    + upstreams.get(i).address() + "\"," + places.get(i)
                    + ",\"phase\":\"active\",\"size\":1.0,\"up_since_ms\":0}");
        }
        return "{\"revision\":41,\"complete\":true,\"members\":["
                + members.stream().collect(Collectors.joining(",")) + "]}";
    }

    /** Starts the sidecar by the deploy file's command and waits until it is ready. */
    void start() throws IOException, InterruptedException {
        discovery = new Discovery(record, this::list);
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
        }
        String listen = "127.0.0.1:" + address.getPort();
        Path config = folder.resolve("config.json");
        Files.writeString(config, config(listen));
        String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = \""))
                .map(line -> line.substring("run = \"".length(), line.lastIndexOf('"')))
                .findFirst()
                .orElseThrow();
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
        builder.directory(root.toFile());
        builder.environment().put("BALANCER_NAME", "n1");
        builder.environment().put("BALANCER_LISTEN", listen);
        builder.environment().put("BALANCER_DISCOVERY", discovery.address());
        builder.environment().put("BALANCER_CONFIG", config.toString());
        builder.environment().put("TMPDIR", folder.toString());
        File log = folder.resolve("sidecar.log").toFile();
        builder.redirectErrorStream(true).redirectOutput(log);
        sidecar = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(sidecar::destroyForcibly));
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!ready()) {
            if (!sidecar.isAlive() || System.nanoTime() > untilNanos) {
                throw new IOException("the sidecar did not become ready: " + Files.readString(log.toPath()));
            }
            Thread.sleep(50);
        }
        record.say("the sidecar is ready, process " + sidecar.pid());
    }

    private boolean ready() {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(2000);
            socket.getOutputStream()
                    .write("GET /ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            Http.Message answer = Http.read(Http.buffered(socket.getInputStream()));
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private String config(String listen) {
        return """
                {"name":"n1","listen":"%s","discovery":"%s","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},
                 "known":%s,
                 "settings":{
                  "instances":4,"position":0,"tier":0,"tiers":["roster-api"],"family":"mesh","tickMs":5.0,
                  "membershipMode":"ask","failureDomains":[%s],"myZone":0,
                  "kinds":["new-box","mid-box","old-box"],"weights":"rough","worthBy":"work","overShareWorth":0.1,
                  "clients":{"marksRetry":true},"familyInfo":{"warmKeys":false},
                  "lanes":[%s],
                  "limits":{"maxAttempts":4,"cancel":true,"secondCopies":true,"retryAfter":true,"probing":true,
                   "peers":false,"maxRetryAfterMs":1000.0,"connIdleMs":60000.0,"connectTimeoutMs":250.0,
                   "maxOpen":20350,"streamsPerConn":1,"cpuUsPerRequest":0.0,"cpuUsPerS":81401},
                  "contract":{"answerSlackMs":20.0,"askEveryMs":10000.0,"coldFrom":0.12,"coldMs":24000.0,
                   "drainGraceMs":500.0,"fallMs":2000.0,"overloadFactor":4.0},
                  "report":{"fields":[],"via":"off"},
                  "scoringMix":{"whole":0.8,"worstClass":0.1,"worstTenant":0.0,"worstWindow":0.1},
                  "tenants":[]}}
                """
                .formatted(listen, discovery.address(), sockets, list(), zones, lanes);
    }

    Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(address, CONNECT_TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        return socket;
    }

    static String post(String lane, String txn, int remainingMs, String extraHeaders, String body) {
        return "POST /" + lane + " HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: " + txn + "\r\nX-Lane: " + lane
                + "\r\nX-Remaining-Ms: " + remainingMs + "\r\n" + extraHeaders + "Content-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    /** A fresh value for each request of the run. */
    String txn() {
        return "%016x".formatted(lastTxn.incrementAndGet());
    }

    /** Sends a signal to the sidecar's process. */
    void signal(String name) throws IOException, InterruptedException {
        record.line("SIG" + name + " to the sidecar");
        new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + sidecar.pid()).start().waitFor();
    }

    String log() throws IOException {
        return Files.readString(folder.resolve("sidecar.log"));
    }

    static Thread thread(String name, Runnable action) {
        Thread thread = new Thread(null, action, name, 1 << 18);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    @Override
    public void close() throws IOException, InterruptedException {
        if (sidecar != null) {
            sidecar.destroyForcibly().waitFor();
            record.line("log of the sidecar:");
            log().lines().limit(200).forEach(record::line);
        }
        if (discovery != null) {
            discovery.close();
        }
        for (Upstream upstream : upstreams) {
            upstream.close();
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
