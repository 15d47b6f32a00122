// A machine is stopped in order (SIGTERM, SIGKILL after GraceS) while clients stream through it. Rule LOST.
#include "../standins/fleet.hpp"

using namespace review;

namespace {

constexpr auto GRACE_MS = 8000.0;       // GraceS
constexpr auto SENT_LIMIT_MS = 3000.0;  // NEWS-22: "sent no later than 3 s after the SIGTERM"
constexpr auto LAST_SIXTH = 5.0 / 6.0;  // NEWS-22: "in the last sixth of GraceS"
constexpr auto EVENTS = 15;             // of each stream
constexpr auto GAP_MS = 300.0;          // between them; the sheet allows 400
constexpr auto REQUEST_EVERY_MS = 40.0;
constexpr auto SERVICE = "huvo11a";

auto configuration() -> std::string {
    return R"({"ConfigVersion":1,"Routes":[{"Name":"r-3hwrr6x","Hostname":"ficu95.example","PathPrefix":"/lohu930/",)"
           R"("Variant":"stream","DeadlineMs":8000,"TargetMs":1000,"Rank":1,"Backend":"huvo11a","MaxTries":1,"Sticky":true,)"
           R"("Resumable":false,"GapTargetMs":400,"HomeRegions":[]}],"Backends":[{"Name":"huvo11a","HealthPath":"/health",)"
           R"("MaxConns":390,"Protocol":"h1","Tls":false,"ColdS":3.0,"ColdRateS":45.0,"Engine":{"Slots":64,"KvCapacity":319818,)"
           R"("KvTokenBytes":163840,"LinkMbps":1100000.0,"Stride":6,"Models":[{"Name":"m"}]}}],)"
           R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderReadMs":3000,"IdleMs":15000}})";
}

/// One request of a client, and what became of it.
struct Try {
    std::string id;
    double sentAt = 0, endedAt = 0, servedFrom = 0, servedTo = 0;
    int status = 0, events = 0;
    bool complete = false, served = false, serverDone = false, noConnection = false;
};

struct World {
    Record& record;
    std::mutex mutex = {};
    std::map<std::string, Try> tries = {};

    auto change(const std::string& id, const std::function<void(Try&)>& how) -> void {
        auto lock = std::lock_guard(mutex);
        auto& one = tries[id];
        one.id = id;
        how(one);
    }
};

/// A sound model server: one stream of EVENTS events for each request.
auto serveStream(World& world, const std::string& instance, Socket& socket) -> void {
    auto reader = Reader(socket);
    while (true) {
        auto request = reader.read(false);
        if (request.closed || !request.whole) return;
        auto id = request.header("x-attempt-id");
        if (request.header("x-target-instance") != instance) {
            if (!socket.send("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: " + id
                    + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
                return;
            continue;
        }
        world.record.line("server ", instance, " runs ", id);
        world.change(id, [](Try& one) {
            one.served = true;
            one.servedFrom = nowMs();
        });
        auto open = socket.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " + id
            + "\r\nX-Server-Seal: " + instance + "." + id
            + "\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (auto i = 1; i <= EVENTS && open; i++) {
            sleepMs(GAP_MS);
            auto event =
                "id: " + std::to_string(i * 6) + "\ndata: piece " + std::to_string(i) + " of " + id + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            open = !socket.peerGone() && socket.send(size + event + "\r\n");
            if (open) world.change(id, [](Try& one) { one.servedTo = nowMs(); });
        }
        open = open && socket.send("0\r\n\r\n");
        world.change(id, [&](Try& one) { one.serverDone = open; });
        world.record.line(
            "server ", instance, open ? " has sent all of " : " finds the connection closed of ", id);
        if (!open) return;
    }
}

auto client(World& world, const Address& front, const std::string& id) -> void {
    world.change(id, [](Try& one) { one.sentAt = nowMs(); });
    auto socket = connectTo(front, 9000);
    auto text = "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: " + id
        + "\r\nX-Model: m\r\nX-Token-Counts: 383,90\r\nX-Prompt-Prefix: 5c1e07a2:92,91bd3f06:291\r\n"
          "X-Deadline-Ms: 8000\r\nContent-Length: 4\r\n\r\nrain";
    if (!socket.open() || !socket.send(text)) {
        world.record.line("client: no connection for ", id);
        return world.change(id, [](Try& one) { one.noConnection = true; });
    }
    world.record.line("client sends ", id);
    auto events = 0;
    auto answer = Reader(socket).read(true, [&](const std::string& part) {
        for (auto at = part.find("id: "); at != std::string::npos; at = part.find("id: ", at + 1)) events++;
    });
    world.record.line("client: ", id, " ends with status ", answer.status(), ", ", events, " events, ",
        answer.whole ? "complete" : "not complete");
    world.change(id, [&](Try& one) {
        one.endedAt = nowMs();
        one.status = answer.status();
        one.events = events;
        one.complete = answer.whole && !answer.closed;
    });
}

}  // namespace

auto main(int, char** arguments) -> int {
    ::signal(SIGPIPE, SIG_IGN);
    auto root = std::string(arguments[1]), folder = std::string(arguments[2]);
    auto trouble = std::string(std::getenv("TROUBLE") ? std::getenv("TROUBLE") : "1") != "0";
    auto record = Record(folder + "/record.txt");
    auto world = World{record};
    auto fleet = Fleet(root + "/target/duneturn", record,
        {{"zone-a", "north"}, {"zone-b", "north"}, {"zone-c", "south"}}, 3);

    auto servers = std::vector<std::unique_ptr<Server>>();
    auto listed = std::vector<Instance>();
    auto zone = 0;
    for (auto name : {"zone-a", "zone-b", "zone-c"}) {
        zone++;
        for (auto i = 0; i < 4; i++) {
            auto id = "i-" + std::to_string(zone) + std::to_string(i);
            auto address = Address{fleet.ip(100 + zone, 10 + i), fleet.port(8)};
            servers.push_back(std::make_unique<Server>(
                address, [&world, id](Socket& socket) { serveStream(world, id, socket); }));
            if (!servers.back()->listening()) return 2;
            listed.push_back({id, SERVICE, name, "ready", address});
        }
    }
    fleet.setServers(listed);
    if (!fleet.startAll() || fleet.order("PUT", "/v1/config", "0", configuration(), 20000) != 200) return 2;
    if (!fleet.awaitReady(15000)) return 2;
    sleepMs(6000);  // calm for longer than ContactMs

    auto& node = fleet.nodes[1];  // an edge without a disk
    // A client keeps the directory's answer for three times TtlS at most: 6 s from just before the stop.
    auto named = call(fleet.directory(fleet.nodes[0]), "GET",
        "/v1/resolve?Name=ficu95.example&Region=north&Zone=zone-a", "Host: x\r\n", "", 1000);
    record.line("directory: ", named.body);
    if (named.body.find(fleet.front(node).text()) == std::string::npos) return 2;
    auto resolvedAt = nowMs();
    auto threads = std::vector<std::thread>();
    auto stopAt = resolvedAt + 500, stopped = 0.0;
    for (auto i = 0; resolvedAt + i * REQUEST_EVERY_MS < resolvedAt + 5800; i++) {
        sleepUntil(resolvedAt + i * REQUEST_EVERY_MS);
        if (!stopped && nowMs() >= stopAt) {
            stopped = nowMs();
            if (trouble) fleet.signal(node, SIGTERM);
        }
        char id[32];
        std::snprintf(id, sizeof id, "9c41d07b%08x", i);
        threads.emplace_back(client, std::ref(world), fleet.front(node), std::string(id));
    }
    if (trouble) {
        auto status = 0;
        while (!fleet.ended(node, status) && nowMs() < stopped + GRACE_MS) sleepMs(10);
        fleet.kill(node);
    }
    for (auto& thread : threads) thread.join();

    auto lost = 0, complete = 0, excused = 0, other = 0;
    for (auto& [id, one] : world.tries) {
        if (one.complete) {
            complete++;
            continue;
        }
        // Nothing is promised to a request that was not read, nor where no server had it.
        if (one.noConnection || !one.served) {
            other++;
            continue;
        }
        auto sinceStop = one.sentAt - stopped;
        auto atWorkLate = one.endedAt >= stopped + GRACE_MS * LAST_SIXTH;
        auto isExcused = !trouble ? false : atWorkLate && sinceStop <= SENT_LIMIT_MS;
        auto deadline = one.endedAt - one.sentAt >= 8000;
        if (isExcused || deadline || one.serverDone) {
            excused++;
            record.line("excused: ", id, " sent ", sinceStop, " ms after SIGTERM, cut ",
                one.endedAt - stopped, " ms after it");
            continue;
        }
        lost++;
        record.line("LOST: ", id, " sent ", sinceStop, " ms after SIGTERM, passed on to a server, cut ",
            one.endedAt - stopped, " ms after SIGTERM and ", one.endedAt - one.sentAt,
            " ms after it was sent, after ", one.events, " events");
    }
    record.line("requests ", world.tries.size(), ", complete ", complete, ", excused ", excused,
        ", not read ", other, ", LOST ", lost);
    std::printf("requests %zu, complete %d, excused %d, not read %d, LOST %d\n", world.tries.size(), complete,
        excused, other, lost);
    return lost > 0 ? 1 : 0;
}
