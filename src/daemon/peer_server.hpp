#pragma once
// The receiving side of the transport between nodes: a Thrift server with a thread a connection.
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "daemon/logic.hpp"
#include "daemon/peer_channels.hpp"

namespace duneturn {

/// Gives each envelope that a peer sends to the node.
class PeerServer {
  public:
    /// Listens at `address` once started; `onFailure` is called, on the server's thread, if it cannot.
    PeerServer(
        const std::string& address, Logic& logic, PeerChannels& channels, std::function<void()> onFailure);
    /// After stop() and join(), if it was started.
    ~PeerServer();
    PeerServer(const PeerServer&) = delete;
    auto operator=(const PeerServer&) -> PeerServer& = delete;

    auto start() -> void;
    /// Takes no further envelopes; the connections end by and by.
    auto stop() -> void;
    auto join() -> void;
    /// Whether the address could not be listened at.
    [[nodiscard]] auto failed() const -> bool { return failed_; }

  private:
    struct Server;  // keeps Thrift's headers out of this one

    auto run() -> void;

    const std::string address_;
    std::function<void()> onFailure_;
    std::unique_ptr<Server> server_;
    std::atomic<bool> failed_ = false;
    std::thread thread_;
};

}  // namespace duneturn
