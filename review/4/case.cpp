// An answer without a length that begins before a long request is in, and a server that crashes meanwhile.
//   case                      the case; TROUBLE=0: the server does not crash
//   case server IP PORT ID    a model server, as a process of its own
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "../standins-2/fleet.hpp"

using namespace review;

namespace {

constexpr auto PORT = 8200;
constexpr auto REQUEST_BYTES = std::size_t(4100000);  // MaxBodyBytes is 4194304
constexpr auto LONG_REQUEST = std::size_t(1000000);
constexpr auto SERVERS = 3;
constexpr auto SEAL = "3e1b.07.5a2.600.0.c9f2a4d1";

auto answerBody(const std::string& id, int part) -> std::string {
    auto body = std::string();
    for (auto line = 0; line < 20; line++)
        body += "part " + std::to_string(part) + " line " + std::to_string(line) + " of " + id + "\n";
    return body;
}
auto wholeBody(const std::string& id) -> std::string { return answerBody(id, 1) + answerBody(id, 2); }

auto say(const std::string& line) -> void {
    std::printf("%s\n", line.c_str());
    std::fflush(stdout);
}

/// One request of a connection. A long one is answered while it is still coming in, without a length.
auto serveConnection(int descriptor, const std::string& id) -> void {
    auto bytes = std::string();
    while (!parseHead(bytes).bytes)
        if (readSome(descriptor, bytes, 10000) != Read::Bytes) return (void)::close(descriptor);
    auto head = parseHead(bytes);
    auto attempt = head.field("x-attempt-id");
    auto length = std::strtoul(head.field("content-length").c_str(), nullptr, 10);
    auto common = "X-Attempt-Id: " + attempt + "\r\nX-Server-Seal: " + SEAL + "\r\n";
    if (head.field("x-target-instance") != id) {
        sendAll(descriptor, "HTTP/1.1 421 Misdirected Request\r\n" + common + "Content-Length: 0\r\n\r\n");
        return (void)::close(descriptor);
    }
    if (length >= LONG_REQUEST) {
        sleepMs(100);
        say("runs " + attempt);
        sendAll(descriptor,
            "HTTP/1.1 200 OK\r\n" + common + "Connection: close\r\nContent-Type: text/plain\r\n\r\n"
                + answerBody(attempt, 1));
        say("half " + attempt);
        sleepMs(500);
    }
    while (bytes.size() < head.bytes + length)
        if (readSome(descriptor, bytes, 10000) != Read::Bytes) return (void)::close(descriptor);
    if (length >= LONG_REQUEST) {
        sendAll(descriptor, answerBody(attempt, 2));
    } else {
        say("runs " + attempt);
        auto body = wholeBody(attempt);
        sendAll(descriptor,
            "HTTP/1.1 200 OK\r\n" + common
                + "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    say("sent " + attempt);
    ::close(descriptor);
}

auto serve(const std::string& ip, const std::string& id) -> int {
    ::signal(SIGPIPE, SIG_IGN);
    auto listening = listenOn({ip, PORT}, 64 * 1024);
    if (listening < 0) return 1;
    say("listens");
    while (true) {
        auto descriptor = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor >= 0) std::thread(serveConnection, descriptor, id).detach();
    }
}

/// A server's process, and the end of the pipe that it writes to.
struct ServerProcess {
    std::string id, ip;
    pid_t pid = 0;
    int output = -1;
    std::string read;
};

auto startServer(const char* self, const std::string& ip, const std::string& id) -> ServerProcess {
    auto server = ServerProcess{id, ip, 0, -1, ""};
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) != 0) return server;
    server.pid = ::fork();
    if (server.pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(ends[1], 1);
        ::execl(self, self, "server", ip.c_str(), id.c_str(), nullptr);
        ::_exit(127);
    }
    ::close(ends[1]);
    server.output = ends[0];
    return server;
}

/// Waits until the server has written a line.
auto awaitLine(Record& record, ServerProcess& server, const std::string& line, long timeoutMs) -> bool {
    for (auto until = nowMs() + timeoutMs; nowMs() < until;) {
        if (auto at = server.read.find(line + "\n"); at != std::string::npos) {
            record(server.id + ": " + server.read.substr(0, at + line.size()));
            server.read.erase(0, at + line.size() + 1);
            return true;
        }
        readSome(server.output, server.read, 50);
    }
    return false;
}

auto document(const std::string& service) -> std::string {
    return R"({"ConfigVersion":7,"Routes":[{"Name":"r-bulletin","Hostname":"review.example","PathPrefix":"/bulletin/",)"
           R"("Variant":"effectful","DeadlineMs":8000,"TargetMs":1000,"Rank":1,"Backend":")"
        + service + R"(","MaxTries":1,"HomeRegions":[]}],"Backends":[{"Name":")" + service
        + R"(","HealthPath":"/health","MaxConns":390,"Protocol":"h1","Tls":false,"ColdS":0.0,"ColdRateS":0.0}],)"
          R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderReadMs":3000,"IdleMs":15000}})";
}

}  // namespace

auto main(int count, char** arguments) -> int {
    if (count == 4 && std::string(arguments[1]) == "server") return serve(arguments[2], arguments[3]);
    ::signal(SIGPIPE, SIG_IGN);
    auto variable = std::getenv("TROUBLE");
    auto trouble = !variable || std::string(variable) != "0";
    auto record = Record(std::string(arguments[1]) + "/record.txt");
    auto fleet = Fleet(record);
    if (!fleet.usable()) return 2;
    auto servers = std::vector<ServerProcess>();
    auto instances = std::vector<Instance>();
    for (auto i = 0; i < SERVERS; i++) {
        servers.push_back(startServer(arguments[0], fleet.ip(100 + i), "i-review" + std::to_string(i)));
        fleet.others.push_back(servers.back().pid);
        if (!awaitLine(record, servers.back(), "listens", 5000)) return 2;
        auto address = Address{servers.back().ip, PORT};
        instances.push_back({servers.back().id, "desk", address.text(), fleet.zones[std::size_t(i)].first});
    }
    fleet.setInstances({instances[0]});
    fleet.start(0);
    if (fleet.configure(document("desk"), 0, 20000) != 200 || !fleet.waitReady(20000)) return 2;
    auto broken = 0, wholeAnswers = 0;
    for (auto i = 0; i < SERVERS; i++) {
        auto& server = servers[std::size_t(i)];
        fleet.setInstances({instances[std::size_t(i)]});
        sleepMs(3500);
        auto& machine = fleet.machines[std::size_t(i) % fleet.machines.size()];
        auto id = "review-attempt-" + std::to_string(i);
        auto fields = std::vector<std::pair<std::string, std::string>>{{"Host", "review.example"},
            {"X-Attempt-Id", id}, {"X-Deadline-Ms", "8000"}, {"Content-Type", "text/plain"}};
        auto request =
            requestText("POST", "/bulletin/" + std::to_string(i), fields, std::string(REQUEST_BYTES, 'b'));
        record(
            "client: sends " + id + " with " + std::to_string(REQUEST_BYTES) + " bytes to " + machine.name);
        auto answer = Answer();
        auto client = std::thread([&] { answer = call(machine.at(FRONT), request, 10000); });
        auto isHalf = awaitLine(record, server, "half " + id, 6000);
        if (isHalf && trouble) {
            sleepMs(100);
            fleet.kill(server.pid);
            record("trouble: " + server.id + " crashes (SIGKILL), its answer half sent");
        }
        client.join();
        if (!isHalf) record("the server never answered");
        auto whole = wholeBody(id);
        record("client: " + id + " got status " + std::to_string(answer.status) + ", " + answer.end
            + ", body " + std::to_string(answer.body.size()) + " of " + std::to_string(whole.size())
            + " bytes, seal "
            + (answer.head.field("x-server-seal").empty() ? "none" : answer.head.field("x-server-seal")));
        auto isSuccess = answer.status / 100 == 2 && answer.whole;
        if (isSuccess && answer.body == whole) wholeAnswers++;
        if (isSuccess && answer.body != whole) {
            broken++;
            record("MIXED: a success whose body is not the server's whole body");
        }
    }
    record("answers whole: " + std::to_string(wholeAnswers) + ", broken: " + std::to_string(broken) + " of "
        + std::to_string(SERVERS));
    if (!trouble && wholeAnswers != SERVERS) return broken ? 1 : 2;
    return broken ? 1 : 0;
}
