#include "daemon/peer_channels.hpp"

#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "base/time.hpp"
#include "daemon/limits.hpp"
#include "net/envelope_compression.hpp"
#include "net/peer_channel.hpp"

namespace duneturn {

PeerChannels::PeerChannels(std::string ownAddress, TransportCounters& counters)
    : ownAddress_(std::move(ownAddress)),
      counters_(counters),
      compressor_(std::make_unique<EnvelopeCompressor>()) {}

PeerChannels::~PeerChannels() = default;

auto PeerChannels::send(const std::string& address, const wire::Envelope& envelope) -> void {
    if (address == ownAddress_) return;
    auto lock = std::lock_guard(mutex_);
    auto found = channels_.find(address);
    if (found == channels_.end()) {
        if (channels_.size() >= MOST_PEERS) return;
        auto channel =
            std::make_unique<PeerChannel>(address, counters_.counters, counters_.mutex, *compressor_);
        found = channels_.emplace(address, std::move(channel)).first;
    }
    found->second->setCompress(readsCompressed_.count(address) > 0);
    found->second->put(envelope);
}

auto PeerChannels::setReadsCompressed(const std::string& address, bool reads) -> void {
    auto lock = std::lock_guard(mutex_);
    if (reads) readsCompressed_.insert(address);
    else readsCompressed_.erase(address);
}

auto PeerChannels::closeIdle(Microseconds now) -> void {
    auto idle = std::vector<std::unique_ptr<PeerChannel>>();  // destroyed, and so joined, without mutex_
    auto lock = std::lock_guard(mutex_);
    for (auto i = channels_.begin(); i != channels_.end();) {
        if (!i->second->idle(now)) {
            ++i;
            continue;
        }
        idle.push_back(std::move(i->second));
        i = channels_.erase(i);
    }
}

auto PeerChannels::closeAll() -> void {
    auto lock = std::lock_guard(mutex_);
    channels_.clear();
}

}  // namespace duneturn
