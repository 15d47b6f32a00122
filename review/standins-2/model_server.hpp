// Model servers that do nothing wrong: threads of the case's own process.
#pragma once
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "fleet.hpp"

namespace review {

/// Answers each request that names it after `workMs`, with a body of its own, and counts what runs.
class ModelServer {
  public:
    ModelServer(Fleet& fleet, int host, std::string id, std::string service, std::string zone, long workMs)
        : id_(std::move(id)),
          service_(std::move(service)),
          zone_(std::move(zone)),
          address_{fleet.ip(host), 8200},
          workMs_(workMs) {
        listening_ = listenOn(address_);
        thread_ = std::thread([this] { run(); });
    }
    ~ModelServer() {
        stopping_ = true;
        thread_.join();
        ::close(listening_);
        while (connections_ > 0) sleepMs(10);
    }
    auto instance() const -> Instance { return {id_, service_, address_.text(), zone_, "ready"}; }
    auto runs() const -> int { return runs_; }

  private:
    auto run() -> void {
        while (!stopping_) {
            auto wait = pollfd{listening_, POLLIN, 0};
            if (::poll(&wait, 1, 100) != 1) continue;
            auto descriptor = ::accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) continue;
            connections_++;
            std::thread([this, descriptor] {
                auto bytes = std::string();
                while (!stopping_ && serve(descriptor, bytes)) {}
                ::close(descriptor);
                connections_--;
            }).detach();
        }
    }
    /// One request; false if the connection has ended.
    auto serve(int descriptor, std::string& bytes) -> bool {
        auto more = [&] {
            auto read = Read::Silent;
            while (read == Read::Silent && !stopping_) read = readSome(descriptor, bytes, 100);
            return read == Read::Bytes;
        };
        while (!parseHead(bytes).bytes)
            if (!more()) return false;
        auto head = parseHead(bytes);
        auto length = std::strtoul(head.field("content-length").c_str(), nullptr, 10);
        while (bytes.size() < head.bytes + length)
            if (!more()) return false;
        bytes.erase(0, head.bytes + length);
        auto attempt = head.field("x-attempt-id");
        if (head.field("x-target-instance") != id_)
            return sendAll(descriptor,
                "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Attempt-Id: " + attempt
                    + "\r\nContent-Length: 0\r\n\r\n");
        runs_++;
        sleepMs(workMs_);
        auto body = "answer to " + attempt + " of " + head.field("x-tenant") + "\n";
        return sendAll(descriptor,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Seal: " + id_ + "." + attempt
                + "\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(body.size())
                + "\r\n\r\n" + body);
    }

    std::string id_, service_, zone_;
    Address address_;
    long workMs_;
    int listening_ = -1;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> connections_ = 0, runs_ = 0;
    std::thread thread_;
};

}  // namespace review
