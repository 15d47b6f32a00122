#include "daemon/peer_server.hpp"

#include <exception>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include <fmt/format.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include "Peer.h"
#include "base/address.hpp"
#include "base/time.hpp"
#include "daemon/limits.hpp"
#include "net/envelope_compression.hpp"
#include "net/socket.hpp"

namespace duneturn {

namespace thrift = apache::thrift;

namespace {

/// The wire's interface of a node; its method's name is the wire's.
class EnvelopeReceiver : public wire::PeerIf {
  public:
    EnvelopeReceiver(Logic& logic, PeerChannels& channels) : logic_(logic), channels_(channels) {}

    auto tell(const wire::Envelope& envelope) -> void override {
        auto isCompressed = envelope.__isset.compressed;
        auto content = isCompressed ? decompressEnvelope(envelope) : std::nullopt;
        auto lock = std::lock_guard(logic_.mutex);
        if (isCompressed && !content) return logic_.counters.add("peer_decompress_failed_total");
        logic_.node->handle(content ? *content : envelope, bootNow());
        auto peer = logic_.node->nodes().find(envelope.node);
        if (peer == logic_.node->nodes().end()) return;
        channels_.setReadsCompressed(peer->second.record.peer, envelope.wire >= COMPRESSION_WIRE_VERSION);
    }

  private:
    Logic& logic_;
    PeerChannels& channels_;
};

/// Framed transports with a limit on a frame's size.
class FramedTransports : public thrift::transport::TFramedTransportFactory {
  public:
    auto getTransport(std::shared_ptr<thrift::transport::TTransport> transport)
        -> std::shared_ptr<thrift::transport::TTransport> override {
        return std::make_shared<thrift::transport::TFramedTransport>(transport, limits_);
    }

  private:
    std::shared_ptr<thrift::TConfiguration> limits_ =
        std::make_shared<thrift::TConfiguration>(PEER_MESSAGE_BYTES, PEER_MESSAGE_BYTES, PEER_MESSAGE_DEPTH);
};

auto listeningSocket(const Address& address) -> std::shared_ptr<thrift::transport::TServerSocket> {
    auto socket = std::make_shared<thrift::transport::TServerSocket>(address.ip, address.port);
    socket->setRecvTimeout(int(PEER_RECEIVE_TIMEOUT / MILLISECOND));
    socket->setSendTimeout(int(PEER_SEND_TIMEOUT / MILLISECOND));
    socket->setAcceptCallback([](int accepted) { configureSocket(accepted, PEER_UNACKNOWLEDGED_LIMIT); });
    return socket;
}

}  // namespace

struct PeerServer::Server {
    Server(const Address& address, Logic& logic, PeerChannels& channels)
        : threaded(std::make_shared<wire::PeerProcessor>(std::make_shared<EnvelopeReceiver>(logic, channels)),
            listeningSocket(address), std::make_shared<FramedTransports>(),
            std::make_shared<thrift::protocol::TCompactProtocolFactoryT<thrift::transport::TTransport>>(
                PEER_MESSAGE_BYTES, PEER_CONTAINER_ITEMS)) {
        threaded.setConcurrentClientLimit(MOST_PEERS);
    }

    thrift::server::TThreadedServer threaded;
};

PeerServer::PeerServer(
    const std::string& address, Logic& logic, PeerChannels& channels, std::function<void()> onFailure)
    : address_(address),
      onFailure_(std::move(onFailure)),
      server_(std::make_unique<Server>(*parseAddress(address), logic, channels)) {
    // Connections that break are no news.
    thrift::GlobalOutput.setOutputFunction([](const char*) {});
}

PeerServer::~PeerServer() = default;

auto PeerServer::start() -> void {
    thread_ = std::thread([this] { run(); });
}

auto PeerServer::stop() -> void { server_->threaded.stop(); }

auto PeerServer::join() -> void {
    if (thread_.joinable()) thread_.join();
}

auto PeerServer::run() -> void {
    try {
        server_->threaded.serve();
    } catch (const std::exception& failure) {
        fmt::print(stderr, "duneturn: cannot listen on {}: {}\n", address_, failure.what());
        failed_ = true;
        onFailure_();
    }
}

}  // namespace duneturn
