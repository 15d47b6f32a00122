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
#include "net/http.hpp"
#include "net/socket.hpp"

namespace duneturn {

namespace protocol = apache::thrift::protocol;
namespace transport = apache::thrift::transport;

namespace {

constexpr std::size_t QUEUE_LIMIT = 256;
constexpr Microseconds IDLE_LIMIT = 30 * SECOND;
constexpr Microseconds ENVELOPE_LIFE = 2 * SECOND;  // after which its state has been told again
constexpr Microseconds RETRY_AFTER = 100 * MILLISECOND;
constexpr Microseconds PAUSE = SECOND;  // after which a connection is looked at before it is written to
constexpr Microseconds UNHEARD_PEER = SECOND;  // sent bytes without an acknowledgement
constexpr int CONNECT_LIMIT_MS = 400;
constexpr int SEND_LIMIT_MS = 1000;

}  // namespace

PeerChannel::Connection::Connection(const Address& addr)
    : socket(std::make_shared<transport::TSocket>(
        addr.ip, addr.port, std::make_shared<apache::thrift::TConfiguration>())),
      transport(std::make_shared<transport::TFramedTransport>(socket)),
      client(std::make_shared<protocol::TCompactProtocol>(transport)) {
    socket->setConnTimeout(CONNECT_LIMIT_MS);
    socket->setSendTimeout(SEND_LIMIT_MS);
}

// After a pause: what is written to a connection that the peer has closed is lost.
auto PeerChannel::Connection::usable(Microseconds now) -> bool {
    if (!transport->isOpen()) return false;
    return now - lastSent <= PAUSE || isSocketQuiet(socket->getSocketFD());
}

auto PeerChannel::Connection::open() -> void {
    transport->open();
    configureSocket(socket->getSocketFD(), UNHEARD_PEER);
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
    std::string addr, Counters& counters, std::mutex& countersMutex, EnvelopeCompressor& compressor)
    : addr_(std::move(addr)),
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

auto PeerChannel::next(Queued& queued) -> bool {
    auto lock = std::unique_lock(mutex_);
    changed_.wait(lock, [&] { return stop_ || !queue_.empty(); });
    if (stop_) return false;
    queued = std::move(queue_.front());
    queue_.pop_front();
    return true;
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
    auto addr = parseAddress(addr_);
    if (!addr) return;
    auto connection = Connection(*addr);
    auto retryAt = Microseconds(0);
    auto queued = Queued();
    while (next(queued)) {
        auto now = bootNow();
        if (now - queued.at > ENVELOPE_LIFE || now < retryAt) continue;
        try {
            send(connection, queued.envelope);
        } catch (const std::exception&) {
            connection.close();
            retryAt = bootNow() + RETRY_AFTER;
            auto lock = std::lock_guard(countersMutex_);
            counters_.add("peer_send_failed_total");
        }
    }
}

}  // namespace duneturn
