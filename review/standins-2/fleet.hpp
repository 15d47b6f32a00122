// A small deployment on loopback for the review's scripts: machines that run the program of the deploy file,
// the platform's list of servers, an operator and clients. Plain sockets, no library.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

inline auto nowMs() -> long {
    using namespace std::chrono;
    static const auto begun = steady_clock::now();
    return long(duration_cast<milliseconds>(steady_clock::now() - begun).count());
}
inline auto sleepMs(long time) -> void { std::this_thread::sleep_for(std::chrono::milliseconds(time)); }

/// Lines of record.txt, with the time since the start; also on standard output.
class Record {
  public:
    explicit Record(const std::string& path) : file_(path) { nowMs(); }
    auto operator()(const std::string& line) -> void {
        auto lock = std::lock_guard(mutex_);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f  ", double(nowMs()) / 1000);
        file_ << time << line << std::endl;
        std::printf("%s%s\n", time, line.c_str());
        std::fflush(stdout);
    }

  private:
    std::mutex mutex_;
    std::ofstream file_;
};

// ---- sockets

struct Address {
    std::string ip;
    int port = 0;
    auto text() const -> std::string { return ip + ":" + std::to_string(port); }
    auto raw() const -> sockaddr_in {
        auto address = sockaddr_in();
        address.sin_family = AF_INET;
        address.sin_port = htons(std::uint16_t(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        return address;
    }
};

inline auto listenOn(const Address& at, int receiveBuffer = 0) -> int {
    auto descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto one = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (receiveBuffer) ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    auto address = at.raw();
    auto failed = ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0
        || ::listen(descriptor, 128) != 0;
    if (!failed) return descriptor;
    ::close(descriptor);
    return -1;
}

inline auto connectTo(const Address& to, long timeoutMs) -> int {
    auto descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto address = to.raw();
    if (::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        auto wait = pollfd{descriptor, POLLOUT, 0};
        auto error = errno == EINPROGRESS ? 0 : errno;
        auto length = socklen_t(sizeof error);
        if (!error && ::poll(&wait, 1, int(timeoutMs)) != 1) error = ETIMEDOUT;
        if (!error) ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
        if (error) {
            ::close(descriptor);
            return -1;
        }
    }
    ::fcntl(descriptor, F_SETFL, 0);
    auto one = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return descriptor;
}

inline auto sendAll(int descriptor, const std::string& bytes) -> bool {
    for (auto sent = std::size_t(0); sent < bytes.size();) {
        auto count = ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) return false;
        sent += std::size_t(count);
    }
    return true;
}

enum class Read { Bytes, End, Reset, Silent };

/// Appends what comes within a time to `bytes`.
inline auto readSome(int descriptor, std::string& bytes, long timeoutMs) -> Read {
    auto wait = pollfd{descriptor, POLLIN, 0};
    if (::poll(&wait, 1, int(timeoutMs < 0 ? 0 : timeoutMs)) != 1) return Read::Silent;
    char buffer[65536];
    auto count = ::read(descriptor, buffer, sizeof buffer);
    if (count < 0) return Read::Reset;
    if (count == 0) return Read::End;
    bytes.append(buffer, std::size_t(count));
    return Read::Bytes;
}

// ---- HTTP

inline auto lower(std::string text) -> std::string {
    for (auto& character : text) character = char(std::tolower(std::uint8_t(character)));
    return text;
}

/// The start line and the fields of a message; names in lower case.
struct Head {
    std::string startLine;
    std::map<std::string, std::string> fields;
    std::size_t bytes = 0;  // with the empty line; 0: not whole yet
    auto field(const std::string& name) const -> std::string {
        auto found = fields.find(name);
        return found == fields.end() ? "" : found->second;
    }
};

inline auto parseHead(const std::string& bytes) -> Head {
    auto head = Head();
    auto end = bytes.find("\r\n\r\n");
    if (end == std::string::npos) return head;
    head.bytes = end + 4;
    auto from = bytes.find("\r\n");
    head.startLine = bytes.substr(0, from);
    while (from < end) {
        from += 2;
        auto next = bytes.find("\r\n", from);
        auto line = bytes.substr(from, next - from);
        auto colon = line.find(':');
        if (colon != std::string::npos) {
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            head.fields[lower(line.substr(0, colon))] = value;
        }
        from = next;
    }
    return head;
}

/// What a client got on one request.
struct Answer {
    int status = 0;  // 0: no head came
    Head head;
    std::string body;
    bool whole = false;
    std::string end;  // how it ended, in words
    long tookMs = 0;
};

/// Decodes the chunks that are whole; true after the last one.
inline auto unchunk(const std::string& bytes, std::string& body) -> bool {
    body.clear();
    for (auto at = std::size_t(0);;) {
        auto line = bytes.find("\r\n", at);
        if (line == std::string::npos) return false;
        auto size = std::strtoul(bytes.substr(at, line - at).c_str(), nullptr, 16);
        if (size == 0) return bytes.find("\r\n", line + 2) != std::string::npos;
        if (bytes.size() < line + 2 + size + 2) {
            body += bytes.substr(line + 2, size);
            return false;
        }
        body += bytes.substr(line + 2, size);
        at = line + 2 + size + 2;
    }
}

/// Reads one answer from a connection.
inline auto readAnswer(int descriptor, long timeoutMs) -> Answer {
    auto answer = Answer();
    auto begun = nowMs();
    auto bytes = std::string();
    while (true) {
        if (!answer.head.bytes) answer.head = parseHead(bytes);
        if (answer.head.bytes) {
            answer.status = std::atoi(answer.head.startLine.substr(9, 3).c_str());
            auto rest = bytes.substr(answer.head.bytes);
            if (lower(answer.head.field("transfer-encoding")) == "chunked")
                answer.whole = unchunk(rest, answer.body);
            else if (auto length = answer.head.field("content-length"); !length.empty()) {
                answer.body = rest;
                answer.whole = rest.size() >= std::strtoul(length.c_str(), nullptr, 10);
            } else answer.body = rest;
        }
        answer.tookMs = nowMs() - begun;
        if (answer.whole) {
            answer.end = "whole";
            return answer;
        }
        auto read = readSome(descriptor, bytes, timeoutMs - answer.tookMs);
        if (read == Read::Bytes) continue;
        answer.end = read == Read::End ? "closed" : read == Read::Reset ? "reset" : "silent";
        return answer;
    }
}

inline auto call(const Address& to, const std::string& request, long timeoutMs) -> Answer {
    auto descriptor = connectTo(to, 1000);
    auto answer = Answer();
    answer.end = "no connection";
    if (descriptor < 0) return answer;
    sendAll(descriptor, request);
    answer = readAnswer(descriptor, timeoutMs);
    ::close(descriptor);
    return answer;
}

inline auto requestText(const std::string& method, const std::string& path,
    const std::vector<std::pair<std::string, std::string>>& fields, const std::string& body) -> std::string {
    auto text = method + " " + path + " HTTP/1.1\r\n";
    for (auto& [name, value] : fields) text += name + ": " + value + "\r\n";
    if (!body.empty() || method != "GET") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

// ---- the deployment

struct Machine {
    std::string name, zone, region, ip, folder;
    bool core = false;
    bool bootstrap = true;
    pid_t pid = 0;
    auto at(int port) const -> Address { return {ip, port}; }
};

struct Instance {
    std::string id, service, address, zone;
    std::string state = "ready";
};

constexpr auto FRONT = 8161, DIRECTORY = 8164, CONTROL = 8166, READINESS = 8167, API = 8169;

/// Machines, the platform's list and the operator. Every address is a loopback address of its own network.
class Fleet {
  public:
    explicit Fleet(Record& record) : record_(record) {
        auto text = std::string(P_tmpdir "/duneturn-review-XXXXXX");
        folder_ = ::mkdtemp(text.data());
        for (auto tries = 0; tries < 200; tries++) {
            auto number = (int(::getpid()) * 7 + tries * 13) % 62000 + 500;
            network_ = "127." + std::to_string(number / 250 % 250 + 2) + "." + std::to_string(number % 250);
            auto probe = listenOn({network_ + ".200", API});
            if (probe < 0) continue;
            list_ = probe;
            break;
        }
        for (auto [name, region] : {std::pair("lhr-hall", "punjab"), std::pair("khi-hall", "sindh"),
                 std::pair("mtn-hall", "punjab")})
            zones.emplace_back(name, region);
    }
    Fleet(const Fleet&) = delete;
    auto operator=(const Fleet&) -> Fleet& = delete;
    ~Fleet() {
        for (auto& machine : machines) end(machine);
        for (auto pid : others) kill(pid);
        stopping_ = true;
        if (thread_.joinable()) thread_.join();
        auto ignored = std::error_code();
        std::filesystem::remove_all(folder_, ignored);
    }

    auto ip(int host) const -> std::string { return network_ + "." + std::to_string(host); }
    auto usable() const -> bool { return list_ >= 0; }

    /// Adds one core a zone and `edges` edges a zone, and starts them all.
    auto start(int edges) -> void {
        thread_ = std::thread([this] { serveList(); });
        auto host = 10;
        for (auto kind = 0; kind <= edges; kind++)
            for (auto& [zone, region] : zones) {
                auto machine = Machine();
                machine.core = kind == 0;
                machine.zone = zone;
                machine.region = region;
                machine.name = "edge-" + zone + "-" + std::to_string(kind + 1);
                machine.ip = ip(host++);
                machine.folder = folder_ + "/" + machine.name;
                std::filesystem::create_directories(machine.folder + "/data");
                machines.push_back(machine);
            }
        for (auto& machine : machines) run(machine);
    }

    auto settings(const Machine& machine) const -> std::string {
        auto quote = [](const std::string& text) { return "\"" + text + "\""; };
        auto seeds = std::string(), places = std::string();
        for (auto& other : machines)
            if (other.core) seeds += (seeds.empty() ? "" : ",") + quote(other.at(CONTROL).text());
        for (auto& [zone, region] : zones) places += zone + " = " + quote(region) + "\n";
        auto text = "NodeName = " + quote(machine.name)
            + "\nRole = \"node\"\nMachineClass = \"edge\"\nServes = [\"edge\",\"control\",\"registry\"]\nIp "
              "= "
            + quote(machine.ip) + "\nZone = " + quote(machine.zone) + "\nRegion = " + quote(machine.region)
            + "\nInternalPorts = [7720,7735]\nSeedAddrs = [" + seeds
            + "]\nBootstrap = " + (machine.bootstrap ? "true" : "false")
            + "\nQuorumMember = " + (machine.core ? "true" : "false") + "\n";
        if (machine.core) text += "DataPath = " + quote(machine.folder + "/data") + "\n";
        text += "Discovery = \"platform\"\nEntry = \"registry\"\nBeatIntervalMs = 1200\nInvariants = "
                "[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"places\"]"
                "\n[Zones]\n"
            + places + "[BindAddrs]\nFront = " + quote(machine.at(FRONT).text())
            + "\nReadiness = " + quote(machine.at(READINESS).text())
            + "\nControl = " + quote(machine.at(CONTROL).text())
            + "\nDirectory = " + quote(machine.at(DIRECTORY).text())
            + "\n[Limits]\nCpuFraction = 0.45\nCpuCores = 1\nMemoryMb = 260\nMaxFds = 4100\nLinkMbps = "
              "1000.0\nDiskMb = 64\n[FaultBudget]\nMachines = 1\nZones = 1\nRegions = 0\n[Bounds]\n"
            + bounds + "[PlatformApi]\nAddress = " + quote(ip(200) + ":" + std::to_string(API))
            + "\nRatePerS = 47.0\nDuties = []\nMaxLagMs = 800\n";
        return text;
    }

    /// Starts a machine's process by the command of the deploy file, at the root of the repository.
    auto run(Machine& machine) -> void {
        auto file = machine.folder + "/local.toml";
        std::ofstream(file) << settings(machine);
        auto pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // also if the case is ended from outside
            auto log = ::open((machine.folder + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            ::setenv("DUNETURN_CONFIG", file.c_str(), 1);
            ::execl("target/duneturn", "target/duneturn", "platform", nullptr);
            ::_exit(127);
        }
        machine.pid = pid;
        record_("start " + machine.name + " at " + machine.ip);
    }
    auto kill(pid_t pid, int signal = SIGKILL) -> void {
        if (pid <= 0) return;
        ::kill(pid, signal);
        if (signal != SIGKILL) return;
        ::kill(pid, SIGCONT);
        ::waitpid(pid, nullptr, 0);
    }
    auto end(Machine& machine) -> void { kill(std::exchange(machine.pid, 0)); }
    /// Whether a machine's process has ended by itself.
    auto hasEnded(Machine& machine) -> bool {
        if (machine.pid <= 0 || ::waitpid(machine.pid, nullptr, WNOHANG) == 0) return false;
        machine.pid = 0;
        return true;
    }

    auto ready(const Machine& machine) const -> bool {
        return call(machine.at(READINESS), requestText("GET", "/v1/ready", {{"Host", machine.ip}}, ""), 1000)
                   .status
            == 200;
    }
    auto waitReady(long timeoutMs) -> bool {
        for (auto until = nowMs() + timeoutMs; nowMs() < until; sleepMs(100)) {
            auto all = true;
            for (auto& machine : machines) all = all && (machine.pid == 0 || ready(machine));
            if (all) return true;
        }
        return false;
    }
    /// Sends a configuration as the operator does, to one machine after the other, until it is clear.
    auto configure(const std::string& document, int base, long timeoutMs) -> int {
        for (auto until = nowMs() + timeoutMs; nowMs() < until; sleepMs(200))
            for (auto& machine : machines) {
                if (machine.pid == 0) continue;
                auto request = requestText("PUT", "/v1/config",
                    {{"Host", machine.ip}, {"If-Match", std::to_string(base)},
                        {"Content-Type", "application/json"}},
                    document);
                auto answer = call(machine.at(CONTROL), request, 1000);
                record_("operator: PUT /v1/config on " + std::to_string(base) + " to " + machine.name + " -> "
                    + std::to_string(answer.status));
                if (answer.status == 200 || (answer.status >= 400 && answer.status < 500))
                    return answer.status;
            }
        return 0;
    }

    auto setInstances(std::vector<Instance> instances) -> void {
        auto lock = std::lock_guard(mutex_);
        instances_ = std::move(instances);
    }

    std::vector<std::pair<std::string, std::string>> zones;
    std::vector<Machine> machines;
    std::vector<pid_t> others;     // ended with the fleet
    std::set<std::string> paused;  // machines that are disturbed now
    std::string bounds =
        "SeedLagS = 3\nAddrReuseS = 2\nContactMs = 5000\nAckMs = 6000\nCatchUpS = 4\nDrainMs = "
        "5000\nGraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 3000\nDowngradeSlackMs = 250\nStretchMaxMs = "
        "8000\nRetryRatio = 0.2\nRetryWindowS = 10\nRetrySlack = 64\nColdOverrun = 1.5\nColdSlack = "
        "5\nEvacuateMs = 5000\nRecoveryS = 12\nPassBudgetMs = 600\nttl_max_s = 5\n";

  private:
    /// GET /instances, all on one page.
    auto serveList() -> void {
        while (!stopping_) {
            auto wait = pollfd{list_, POLLIN, 0};
            if (::poll(&wait, 1, 100) != 1) continue;
            auto descriptor = ::accept4(list_, nullptr, nullptr, SOCK_CLOEXEC);
            auto bytes = std::string();
            while (!parseHead(bytes).bytes && readSome(descriptor, bytes, 500) == Read::Bytes) {}
            auto entries = std::string();
            {
                auto lock = std::lock_guard(mutex_);
                for (auto& instance : instances_)
                    entries += (entries.empty() ? "" : ",") + std::string("{\"Backend\":\"")
                        + instance.service + "\",\"Address\":\"" + instance.address + "\",\"Zone\":\""
                        + instance.zone + "\",\"ConfigVersion\":\"v1\",\"Slots\":48,\"State\":\""
                        + instance.state + "\",\"ColdLeftMs\":0,\"InstanceId\":\"" + instance.id + "\"}";
            }
            auto body = "{\"Instances\":[" + entries + "],\"NextToken\":null}";
            sendAll(descriptor,
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
                    + std::to_string(body.size()) + "\r\n\r\n" + body);
            ::close(descriptor);
        }
    }

    Record& record_;
    std::string folder_, network_;
    int list_ = -1;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
    std::mutex mutex_;
    std::vector<Instance> instances_;
};

}  // namespace review
