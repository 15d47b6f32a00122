#include "net/peer_channel.hpp"

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include <thrift/protocol/TCompactProtocol.h>

#include "base/address.hpp"
#include "base/counters.hpp"
#include "base/time.hpp"
#include "net/socket.hpp"

namespace duneturn {

namespace protocol = apache::thrift::protocol;
namespace transport = apache::thrift::transport;

namespace {

constexpr std::size_t QUEUE_LIMIT = 256;
constexpr Microseconds IDLE_LIMIT = 30 * SECOND;
constexpr Microseconds ENVELOPE_LIFE = 2 * SECOND;  // after which its state has been sent again
constexpr Microseconds RETRY_AFTER = 100 * MILLISECOND;
constexpr Microseconds UNCHECKED_SPAN = SECOND;        // after which a connection is checked before a write
constexpr Microseconds UNACKNOWLEDGED_LIMIT = SECOND;  // of sent bytes
constexpr int CONNECT_LIMIT_MS = 400;
constexpr int SEND_LIMIT_MS = 1000;

}  // namespace

PeerChannel::Connection::Connection(const Address& address)
    : socket(std::make_shared<transport::TSocket>(
        address.ip, address.port, std::make_shared<apache::thrift::TConfiguration>())),
      transport(std::make_shared<transport::TFramedTransport>(socket)),
      client(std::make_shared<protocol::TCompactProtocol>(transport)) {
    socket->setConnTimeout(CONNECT_LIMIT_MS);
    socket->setSendTimeout(SEND_LIMIT_MS);
}

// After a pause: what is written to a connection that the peer has closed is lost.
auto PeerChannel::Connection::usable(Microseconds now) -> bool {
    if (!transport->isOpen()) return false;
    return now - lastSent <= UNCHECKED_SPAN || isSocketQuiet(socket->getSocketFD());
}

auto PeerChannel::Connection::open() -> void {
    transport->open();
    configureSocket(socket->getSocketFD(), UNACKNOWLEDGED_LIMIT);
}

auto PeerChannel::Connection::close() -> void {
    try {
        transport->close();
    } catch (const std::exception&) {
        // A connection that fails to close is given up all the same.
        lastSent = 0;
    }
}

PeerChannel::PeerChannel(
    std::string address, Counters& counters, std::mutex& countersMutex, EnvelopeCompressor& compressor)
    : address_(std::move(address)),
      counters_(counters),
      countersMutex_(countersMutex),
      compressor_(compressor),
      thread_([this] { run(); }) {}

PeerChannel::~PeerChannel() {
    {
        auto lock = std::lock_guard(mutex_);
        stop_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

auto PeerChannel::put(const wire::Envelope& envelope) -> void {
    {
        auto lock = std::lock_guard(mutex_);
        if (queue_.size() >= QUEUE_LIMIT) queue_.pop_front();
        lastPut_ = bootNow();
        queue_.push_back({lastPut_, envelope});
    }
    changed_.notify_one();
}

auto PeerChannel::idle(Microseconds now) -> bool {
    auto lock = std::lock_guard(mutex_);
    return queue_.empty() && now - lastPut_ > IDLE_LIMIT;
}

auto PeerChannel::next() -> std::optional<QueuedEnvelope> {
    auto lock = std::unique_lock(mutex_);
    changed_.wait(lock, [&] { return stop_ || !queue_.empty(); });
    if (stop_) return std::nullopt;
    auto queued = std::move(queue_.front());
    queue_.pop_front();
    return queued;
}

auto PeerChannel::send(Connection& connection, const wire::Envelope& envelope) -> void {
    if (!connection.usable(bootNow())) {
        connection.close();
        connection.open();
    }
    auto compressed = compress_ ? compressor_(envelope) : std::nullopt;
    connection.client.tell(compressed ? *compressed : envelope);
    connection.lastSent = bootNow();
}

auto PeerChannel::run() -> void {
    auto address = parseAddress(address_);
    if (!address) return;
    auto connection = Connection(*address);
    auto retryAt = Microseconds(0);
    while (auto queued = next()) {
        auto now = bootNow();
        if (now - queued->queuedAt > ENVELOPE_LIFE || now < retryAt) continue;
        try {
            send(connection, queued->envelope);
        } catch (const std::exception&) {
            connection.close();
            retryAt = bootNow() + RETRY_AFTER;
            auto lock = std::lock_guard(countersMutex_);
            counters_.add("peer_send_failed_total");
        }
    }
}

}  // namespace duneturn
