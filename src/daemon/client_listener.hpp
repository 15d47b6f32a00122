#pragma once
// The addresses that this process listens at for HTTP, and the sessions begun there.
#include <memory>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "daemon/client_session.hpp"

namespace duneturn {

class ClientListeners {
  public:
    explicit ClientListeners(SessionContext& context) : context_(context) {}

    /// Adds an address to listen at. An empty one, or one that was added already, changes nothing.
    auto add(ListenerKind kind, const std::string& address) -> void;
    /// Opens all of them; the error names the address that cannot be listened at.
    [[nodiscard]] auto open() -> tl::expected<void, std::string>;
    /// Takes connections from now on.
    auto start() -> void;
    /// Takes no further clients, and closes their connections that carry no request. With Logic::mutex held.
    auto closeIdle() -> void;
    /// Requests of clients that have begun to come and are not answered wholly yet.
    [[nodiscard]] auto requestsUnderWay() const -> int { return context_.requestsUnderWay; }

  private:
    struct Listener {
        ListenerKind kind;
        std::string address;
        tcp::acceptor acceptor;
    };
    auto run(Listener& listener) -> asio::awaitable<void>;

    SessionContext& context_;
    std::vector<std::unique_ptr<Listener>> listeners_;
};

}  // namespace duneturn
