#pragma once
// Blocking sockets and the little of HTTP/1.1 that the stand-ins need. Loopback only.
#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace review {

using Clock = std::chrono::steady_clock;

/// Milliseconds since the program started.
inline auto nowMs() -> double {
    static const auto begun = Clock::now();
    return std::chrono::duration<double, std::milli>(Clock::now() - begun).count();
}
inline auto sleepMs(double time) -> void {
    if (time > 0) std::this_thread::sleep_for(std::chrono::microseconds(std::int64_t(time * 1000)));
}
inline auto sleepUntil(double at) -> void { sleepMs(at - nowMs()); }

struct Address {
    std::string ip;
    int port = 0;
    [[nodiscard]] auto text() const -> std::string { return ip + ":" + std::to_string(port); }
};

inline auto socketAddress(const Address& address) -> sockaddr_in {
    auto result = sockaddr_in();
    result.sin_family = AF_INET;
    result.sin_port = htons(std::uint16_t(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

/// An owned socket.
class Socket {
  public:
    explicit Socket(int descriptor = -1) : descriptor_(descriptor) {}
    Socket(Socket&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
    auto operator=(Socket&& other) noexcept -> Socket& {
        std::swap(descriptor_, other.descriptor_);
        return *this;
    }
    ~Socket() {
        if (descriptor_ >= 0) ::close(descriptor_);
    }
    [[nodiscard]] auto get() const -> int { return descriptor_; }
    [[nodiscard]] auto open() const -> bool { return descriptor_ >= 0; }
    auto timeout(double ms) const -> void {
        auto time = timeval{time_t(ms / 1000), suseconds_t(std::int64_t(ms * 1000) % 1000000)};
        ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
        ::setsockopt(descriptor_, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
    }
    /// Makes the next close a reset.
    auto resetOnClose() const -> void {
        auto now = linger{1, 0};
        ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    [[nodiscard]] auto send(const std::string& bytes) const -> bool {
        for (auto sent = std::size_t(0); sent < bytes.size();) {
            auto count = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count < 0 && errno == EINTR) continue;
            if (count <= 0) return false;
            sent += std::size_t(count);
        }
        return true;
    }
    /// The peer has closed or reset.
    [[nodiscard]] auto peerGone() const -> bool {
        auto byte = char();
        auto count = ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    }

  private:
    int descriptor_;
};

inline auto listenAt(const Address& address) -> Socket {
    auto result = Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    auto yes = 1;
    ::setsockopt(result.get(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    auto target = socketAddress(address);
    if (::bind(result.get(), reinterpret_cast<sockaddr*>(&target), sizeof target) != 0) return Socket();
    if (::listen(result.get(), 512) != 0) return Socket();
    return result;
}

inline auto connectTo(const Address& address, double timeoutMs) -> Socket {
    auto result = Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    result.timeout(timeoutMs);
    auto yes = 1;
    ::setsockopt(result.get(), IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    auto target = socketAddress(address);
    if (::connect(result.get(), reinterpret_cast<sockaddr*>(&target), sizeof target) != 0) return Socket();
    return result;
}

/// A request or an answer: its first line, its headers with names in lower case, its body.
struct Message {
    std::string first, body;
    std::vector<std::pair<std::string, std::string>> headers;
    bool whole = false;   ///< The body came to its end.
    bool closed = false;  ///< The connection ended before the head was whole.
    [[nodiscard]] auto header(const std::string& name) const -> std::string {
        for (auto& [key, value] : headers)
            if (key == name) return value;
        return "";
    }
    [[nodiscard]] auto status() const -> int { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
    [[nodiscard]] auto method() const -> std::string { return first.substr(0, first.find(' ')); }
    [[nodiscard]] auto target() const -> std::string {
        auto from = first.find(' ');
        if (from == std::string::npos) return "";
        return first.substr(from + 1, first.find(' ', from + 1) - from - 1);
    }
};

/// Reads messages from one socket, and keeps what came too early.
class Reader {
  public:
    explicit Reader(const Socket& socket) : socket_(socket) {}

    /// Head and body; `onPart` sees each piece of the body as it comes.
    auto read(bool isAnswer, const std::function<void(const std::string&)>& onPart = {}) -> Message {
        auto message = readHead();
        if (!message.closed) readBody(message, isAnswer, onPart);
        return message;
    }
    auto readHead() -> Message {
        auto message = Message();
        auto end = std::string::npos;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
            if (!more()) {
                message.closed = true;
                return message;
            }
        auto head = buffer_.substr(0, end);
        buffer_.erase(0, end + 4);
        auto line = head.find("\r\n");
        message.first = head.substr(0, line);
        while (line != std::string::npos) {
            auto next = head.find("\r\n", line + 2);
            auto field = head.substr(line + 2, next == std::string::npos ? next : next - line - 2);
            if (auto colon = field.find(':'); colon != std::string::npos) {
                auto name = field.substr(0, colon);
                std::transform(
                    name.begin(), name.end(), name.begin(), [](char c) { return char(std::tolower(c)); });
                auto begin = field.find_first_not_of(' ', colon + 1);
                message.headers.emplace_back(name, begin == std::string::npos ? "" : field.substr(begin));
            }
            line = next;
        }
        return message;
    }
    auto readBody(Message& message, bool isAnswer, const std::function<void(const std::string&)>& onPart = {})
        -> void {
        auto add = [&](const std::string& part) {
            message.body += part;
            if (onPart && !part.empty()) onPart(part);
        };
        if (message.header("transfer-encoding") == "chunked") return readChunks(message, add);
        auto length = message.header("content-length");
        if (length.empty()) {
            message.whole = true;
            if (!isAnswer || message.status() == 204 || message.status() == 304) return;
            do add(std::exchange(buffer_, {}));
            while (more());
            message.whole = !failed_;
            return;
        }
        auto left = std::size_t(std::atoll(length.c_str()));
        while (true) {
            auto part = buffer_.substr(0, left);
            buffer_.erase(0, part.size());
            left -= part.size();
            add(part);
            if (left == 0) break;
            if (!more()) return;
        }
        message.whole = true;
    }

  private:
    template <class Add>
    auto readChunks(Message& message, const Add& add) -> void {
        while (true) {
            auto end = std::size_t(0);
            while ((end = buffer_.find("\r\n")) == std::string::npos)
                if (!more()) return;
            auto size = std::size_t(std::strtoull(buffer_.c_str(), nullptr, 16));
            while (buffer_.size() < end + 2 + size + 2)
                if (!more()) return;
            add(buffer_.substr(end + 2, size));
            buffer_.erase(0, end + 2 + size + 2);
            if (size == 0) break;
        }
        message.whole = true;
    }
    auto more() -> bool {
        char bytes[16384];
        auto count = ssize_t(0);
        do count = ::recv(socket_.get(), bytes, sizeof bytes, 0);
        while (count < 0 && errno == EINTR);
        if (count < 0) failed_ = true;
        if (count <= 0) return false;
        buffer_.append(bytes, std::size_t(count));
        return true;
    }

    const Socket& socket_;
    std::string buffer_;
    bool failed_ = false;
};

/// One request on a connection of its own; the answer's `closed` is set if there was none.
inline auto call(const Address& to, const std::string& method, const std::string& target,
    const std::string& headers, const std::string& body, double timeoutMs) -> Message {
    auto none = Message();
    none.closed = true;
    auto socket = connectTo(to, timeoutMs);
    if (!socket.open()) return none;
    auto text = method + " " + target + " HTTP/1.1\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
    if (!socket.send(text)) return none;
    return Reader(socket).read(true);
}

/// Accepts connections at one address, each served by a thread of its own.
class Server {
  public:
    using Serve = std::function<void(Socket&)>;

    Server(const Address& address, Serve serve) : socket_(listenAt(address)), serve_(std::move(serve)) {
        if (!socket_.open()) return;
        thread_ = std::thread([this] { run(); });
    }
    ~Server() {
        stopping_ = true;
        if (thread_.joinable()) thread_.join();
        while (serving_ > 0) sleepMs(5);
    }
    [[nodiscard]] auto listening() const -> bool { return socket_.open(); }

  private:
    auto run() -> void {
        while (!stopping_) {
            auto ready = pollfd{socket_.get(), POLLIN, 0};
            if (::poll(&ready, 1, 100) <= 0) continue;
            auto accepted = ::accept4(socket_.get(), nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) continue;
            serving_++;
            std::thread([this, accepted] {
                {
                    auto socket = Socket(accepted);
                    socket.timeout(20000);
                    auto yes = 1;
                    ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
                    serve_(socket);
                }
                serving_--;
            }).detach();
        }
    }

    Socket socket_;
    Serve serve_;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> serving_ = 0;
    std::thread thread_;
};

}  // namespace review
