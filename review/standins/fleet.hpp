#pragma once
// A small deployment on loopback: nodes of the program as processes of their own, and stand-ins for the
// platform's list of servers, the operator and the record. Settings as on the users' pages.
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include "net.hpp"

namespace review {

/// What was sent, answered and run; one line each, with the time since the start.
class Record {
  public:
    explicit Record(const std::string& path) : file_(path) {}
    template <class... Parts>
    auto line(const Parts&... parts) -> void {
        auto lock = std::lock_guard(mutex_);
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f s  ", nowMs() / 1000);
        file_ << time;
        (file_ << ... << parts) << std::endl;
    }

  private:
    std::mutex mutex_;
    std::ofstream file_;
};

struct Node {
    std::string name, zone, region, ip;
    bool core = false;
    pid_t process = 0;
};

struct Place {
    std::string zone, region;
};

/// One entry of the platform's list.
struct Instance {
    std::string id, service, zone, state = "ready";
    Address address;
};

class Fleet {
  public:
    /// `program`: the built program. `places`: the zones; each gets one core machine and `edges` others.
    Fleet(std::string program, Record& record, std::vector<Place> places, int edges)
        : program_(std::move(program)), record_(record), places_(std::move(places)) {
        folder_ = makeFolder();
        net_ = 60 + int(getpid()) % 180;
        port_ = 20000 + int(getpid()) % 97 * 100;
        auto zone = 0;
        for (auto& place : places_) {
            zone++;
            for (auto i = 0; i <= edges; i++)
                nodes.push_back({"edge-" + place.zone + "-" + std::to_string(i + 1), place.zone, place.region,
                    ip(zone, 13 + i), i == 0, 0});
        }
        findPorts();
        platform_ = std::make_unique<Server>(
            Address{ip(200, 79), port(9)}, [this](Socket& socket) { serveList(socket); });
    }
    ~Fleet() {
        for (auto& node : nodes) kill(node);
        platform_.reset();
        std::filesystem::remove_all(folder_);
    }

    auto ip(int zone, int host) const -> std::string {
        return "127." + std::to_string(net_) + "." + std::to_string(zone) + "." + std::to_string(host);
    }
    auto port(int offset) const -> int { return port_ + offset; }
    auto front(const Node& node) const -> Address { return {node.ip, port(1)}; }
    auto readiness(const Node& node) const -> Address { return {node.ip, port(2)}; }
    auto control(const Node& node) const -> Address { return {node.ip, port(3)}; }
    auto directory(const Node& node) const -> Address { return {node.ip, port(4)}; }

    auto startAll() -> bool {
        for (auto& node : nodes) start(node, true);
        return platform_->listening();
    }
    auto start(Node& node, bool first) -> void {
        writeSettings(node, first);
        auto settings = "DUNETURN_CONFIG=" + folder_ + "/" + node.name + ".toml";
        auto log = folder_ + "/" + node.name + ".log";
        node.process = ::fork();
        if (node.process == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with this program, however that ends
            auto output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, 1);
            ::dup2(output, 2);
            char* arguments[] = {program_.data(), const_cast<char*>("platform"), nullptr};
            char* environment[] = {settings.data(), nullptr};
            ::execve(program_.c_str(), arguments, environment);
            ::_exit(127);
        }
        record_.line("start ", node.name, " process ", node.process);
    }
    auto signal(Node& node, int number) -> void {
        if (node.process > 0) ::kill(node.process, number);
        record_.line("signal ", number, " to ", node.name);
    }
    /// SIGKILL, and waits for the end.
    auto kill(Node& node) -> void {
        if (node.process <= 0) return;
        ::kill(node.process, SIGCONT);
        ::kill(node.process, SIGKILL);
        auto status = 0;
        ::waitpid(node.process, &status, 0);
        node.process = 0;
    }
    /// Whether the process has ended; collects it. `status` gets what waitpid tells.
    auto ended(Node& node, int& status) -> bool {
        if (node.process <= 0) return true;
        if (::waitpid(node.process, &status, WNOHANG) != node.process) return false;
        record_.line(node.name, " has ended: ", WIFSIGNALED(status) ? "signal " : "code ",
            WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
        node.process = 0;
        return true;
    }
    auto eraseDisk(const Node& node) -> void { std::filesystem::remove_all(dataPath(node)); }
    auto logOf(const Node& node) const -> std::string {
        auto file = std::ifstream(folder_ + "/" + node.name + ".log");
        return {std::istreambuf_iterator<char>(file), {}};
    }

    auto setServers(std::vector<Instance> servers) -> void {
        auto lock = std::lock_guard(mutex_);
        servers_ = std::move(servers);
    }
    /// Further lines of [Bounds] in the settings.
    auto setBounds(std::string lines) -> void { bounds_ = std::move(lines); }
    auto setSeeds(std::vector<std::string> seeds) -> void { seeds_ = std::move(seeds); }

    /// An order of the operator: to the nodes in turn, until one gives a clear answer.
    auto order(const std::string& method, const std::string& target, const std::string& base,
        const std::string& body, double forMs) -> int {
        auto until = nowMs() + forMs;
        for (auto turn = std::size_t(0); nowMs() < until; turn++) {
            auto& node = nodes[turn % nodes.size()];
            auto headers = "Host: " + control(node).text() + "\r\nContent-Type: application/json\r\n"
                + (base.empty() ? "" : "If-Match: " + base + "\r\n");
            auto answer = call(control(node), method, target, headers, body, 1000);
            auto status = answer.closed || !answer.whole ? 0 : answer.status();
            record_.line(
                "operator ", method, " ", target, " if-match ", base, " at ", node.name, ": ", status);
            if (status == 200 || status == 412 || status == 400 || status == 404) return status;
            sleepMs(100);
        }
        return 0;
    }
    /// Whether each node answers the readiness check within `forMs`.
    auto awaitReady(double forMs) -> bool {
        auto until = nowMs() + forMs;
        for (auto& node : nodes)
            while (node.process > 0
                && call(readiness(node), "GET", "/v1/ready", "Host: x\r\n", "", 1000).status() != 200) {
                if (nowMs() > until) return false;
                sleepMs(50);
            }
        return true;
    }

    std::vector<Node> nodes;

  private:
    static auto makeFolder() -> std::string {
        auto base = std::string(std::getenv("TMPDIR") ? std::getenv("TMPDIR") : "/tmp");
        auto name = base + "/review-XXXXXX";
        return ::mkdtemp(name.data()) ? name : std::string(".");
    }
    auto dataPath(const Node& node) const -> std::string { return folder_ + "/data-" + node.name; }
    auto findPorts() -> void {
        for (auto tries = 0; tries < 100; tries++) {
            auto free = true;
            for (auto& node : nodes)
                for (auto offset : {1, 2, 3, 4, 20, 35})
                    free = free && listenAt({node.ip, port(offset)}).open();
            if (free) return;
            port_ = 20000 + (port_ - 20000 + 700) % 9700;
        }
    }
    auto writeSettings(const Node& node, bool first) -> void {
        auto file = std::ofstream(folder_ + "/" + node.name + ".toml");
        auto quoted = [](const std::string& text) { return "\"" + text + "\""; };
        auto seeds = std::string();
        for (auto& seed : seeds_) seeds += (seeds.empty() ? "" : ",") + quoted(seed);
        if (seeds_.empty())
            for (auto& other : nodes)
                if (other.core) seeds += (seeds.empty() ? "" : ",") + quoted(control(other).text());
        file << "NodeName = " << quoted(node.name) << "\nRole = \"node\"\nMachineClass = \"edge\"\n"
             << "Serves = [\"edge\",\"control\",\"registry\"]\nIp = " << quoted(node.ip)
             << "\nZone = " << quoted(node.zone) << "\nRegion = " << quoted(node.region)
             << "\nInternalPorts = [" << port(20) << "," << port(35) << "]\nSeedAddrs = [" << seeds
             << "]\nBootstrap = " << (first ? "true" : "false")
             << "\nQuorumMember = " << (node.core ? "true" : "false") << "\n";
        if (node.core) file << "DataPath = " << quoted(dataPath(node)) << "\n";
        file << "Discovery = \"platform\"\nEntry = \"registry\"\nBeatIntervalMs = 1200\n"
             << "Invariants = "
                "[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\","
                "\"places\"]\n[Zones]\n";
        for (auto& place : places_) file << place.zone << " = " << quoted(place.region) << "\n";
        file << "[BindAddrs]\nFront = " << quoted(front(node).text())
             << "\nReadiness = " << quoted(readiness(node).text())
             << "\nControl = " << quoted(control(node).text())
             << "\nDirectory = " << quoted(directory(node).text())
             << "\n[Limits]\nCpuFraction = 0.45\nCpuCores = 1\nMemoryMb = 260\nMaxFds = 4100\n"
             << "LinkMbps = 1000.0\nDiskMb = 64\n[FaultBudget]\nMachines = 1\nZones = 1\nRegions = 0\n"
             << "[Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nContactMs = 5000\nAckMs = 6000\nCatchUpS = 4\n"
             << "DrainMs = 5000\nGraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 3000\n"
             << "DowngradeSlackMs = 250\nStretchMaxMs = 8000\nRetryRatio = 0.2\nRetryWindowS = 10\n"
             << "RetrySlack = 64\nColdOverrun = 1.5\nColdSlack = 5\nEvacuateMs = 5000\nRecoveryS = 12\n"
             << "PassBudgetMs = 600\nttl_max_s = 5\n"
             << bounds_ << "[PlatformApi]\nAddress = " << quoted(ip(200, 79) + ":" + std::to_string(port(9)))
             << "\nRatePerS = 47.0\nDuties = []\nMaxLagMs = 800\n";
    }
    auto serveList(Socket& socket) -> void {
        auto reader = Reader(socket);
        auto request = reader.read(false);
        if (request.closed) return;
        auto list = std::string();
        {
            auto lock = std::lock_guard(mutex_);
            for (auto& server : servers_)
                list += (list.empty() ? "" : ",") + std::string("{\"InstanceId\":\"") + server.id
                    + "\",\"Backend\":\"" + server.service + "\",\"Address\":\"" + server.address.text()
                    + "\",\"Zone\":\"" + server.zone + "\",\"ConfigVersion\":\"v1\",\"Slots\":64,\"State\":\""
                    + server.state + "\",\"ColdLeftMs\":0,\"Phase\":\"mixed\",\"Models\":[{\"Name\":\"m\","
                    + "\"ConfigVersion\":1,\"Adapters\":[]}]}";
        }
        auto body = "{\"Instances\":[" + list + "],\"NextToken\":null}";
        (void)socket.send(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n"
            "Content-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    std::string program_, folder_, bounds_;
    Record& record_;
    std::vector<Place> places_;
    std::vector<std::string> seeds_;
    int net_ = 0, port_ = 0;
    std::mutex mutex_;
    std::vector<Instance> servers_;
    std::unique_ptr<Server> platform_;
};

/// A sound plain server: a success with its seal for each request that names it, 421 for others.
inline auto servePlain(Record& record, const std::string& instance, Socket& socket) -> void {
    auto reader = Reader(socket);
    while (true) {
        auto request = reader.read(false);
        if (request.closed || !request.whole) return;
        auto id = request.header("x-attempt-id");
        auto isOwn = request.header("x-target-instance") == instance;
        if (isOwn) record.line("server ", instance, " runs ", id);
        auto sent = socket.send(isOwn ? "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id
                    + "\r\nX-Server-Seal: " + instance + "." + id + "\r\nContent-Length: 4\r\n\r\ntile"
                                      : "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: " + id
                    + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        if (!sent) return;
    }
}

/// One such server of `service` in each zone, listed by the platform; empty if one could not listen.
inline auto startPlainServers(Fleet& fleet, Record& record, const std::string& service,
    const std::vector<std::string>& zones) -> std::vector<std::unique_ptr<Server>> {
    auto servers = std::vector<std::unique_ptr<Server>>();
    auto listed = std::vector<Instance>();
    for (auto& zone : zones) {
        auto number = int(servers.size()) + 1;
        auto id = "i-" + std::to_string(number);
        auto address = Address{fleet.ip(100 + number, 10), fleet.port(8)};
        servers.push_back(std::make_unique<Server>(
            address, [&record, id](Socket& socket) { servePlain(record, id, socket); }));
        if (!servers.back()->listening()) return {};
        listed.push_back({id, service, zone, "ready", address});
    }
    fleet.setServers(listed);
    return servers;
}

/// One client's request of the route /pule252/ at a node; the status, 0 without an answer.
inline auto sendPlain(Fleet& fleet, Record& record, const Node& node, const std::string& id,
    const std::string& key = "") -> int {
    auto answer = call(fleet.front(node), "POST", "/pule252/2f",
        "Host: ficu95.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 8000\r\n"
            + (key.empty() ? "" : "Api-Key: " + key + "\r\n"),
        "", 9000);
    auto status = answer.closed || !answer.whole ? 0 : answer.status();
    record.line("client: ", id, " at ", node.name, " ends with ", status);
    return status;
}

}  // namespace review
