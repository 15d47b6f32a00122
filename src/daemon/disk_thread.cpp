#include "daemon/disk_thread.hpp"

#include <chrono>
#include <cstdint>
#include <fcntl.h>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <sys/resource.h>
#include <unistd.h>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <tl/expected.hpp>

#include "base/address.hpp"
#include "base/file.hpp"
#include "base/hash.hpp"
#include "base/log.hpp"
#include "base/time.hpp"
#include "daemon/limits.hpp"

namespace duneturn {

static constexpr std::int64_t KILOBYTE = 1024;  // the unit of getrusage

/// The most memory that this process has had in use so far.
static auto peakMemoryBytes() -> std::int64_t {
    auto usage = rusage();
    if (getrusage(RUSAGE_SELF, &usage) != 0) return 0;
    return std::int64_t(usage.ru_maxrss) * KILOBYTE;
}

auto DiskThread::open() -> tl::expected<void, StoreError> {
    auto state = store_.open(settings_.data);
    if (!state) return tl::make_unexpected(state.error());
    auto peers = readPeers();
    auto random = std::random_device();
    auto seed = (std::uint64_t(random()) << 32) ^ random();
    auto newIdentity = fmt::format("{:016x}", hash64(settings_.node, seed));
    auto lock = std::lock_guard(logic_.mutex);
    if (store_.setAside()) logic_.counters.add("store_set_aside_total");
    logic_.node->addPeerHints(peers);
    auto entries = state->log.size();
    logic_.node->startCore(std::move(*state), newIdentity, bootNow());
    auto peak = peakMemoryBytes();
    logic_.counters.set("load_peak_bytes", peak);
    logEvent("store_loaded", "entries={} peak_bytes={}", entries, peak);
    opened_ = true;
    return {};
}

auto DiskThread::start() -> void {
    thread_ = std::thread([this] { run(); });
}

auto DiskThread::stop() -> void {
    {
        auto lock = std::lock_guard(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    if (thread_.joinable()) thread_.join();
}

auto DiskThread::write(const DiskWrite& write) -> void {
    {
        auto lock = std::lock_guard(mutex_);
        writes_.push_back(write);
    }
    changed_.notify_one();
}

auto DiskThread::keepPeers(const std::vector<std::string>& addresses) -> void {
    auto text = std::string();
    for (auto& address : addresses) text += address + "\n";
    {
        auto lock = std::lock_guard(mutex_);
        peers_ = text;
    }
    changed_.notify_one();
}

auto DiskThread::run() -> void {
    if (!openUntilDone()) return;
    while (true) {
        auto lock = std::unique_lock(mutex_);
        changed_.wait(lock, [&] { return stopping_ || !writes_.empty() || !peers_.empty(); });
        if (stopping_) return;
        if (writes_.empty()) {
            auto peers = std::exchange(peers_, {});
            lock.unlock();
            writePeers(peers);
            continue;
        }
        auto next = std::move(writes_.front());
        writes_.pop_front();
        lock.unlock();
        perform(next);
    }
}

// A disk that was in trouble at the start: the node serves without it meanwhile. False once the thread must
// end.
auto DiskThread::openUntilDone() -> bool {
    while (!opened_) {
        {
            auto lock = std::unique_lock(mutex_);
            auto retry = std::chrono::microseconds(DISK_RETRY);
            if (changed_.wait_for(lock, retry, [&] { return stopping_; })) return false;
        }
        // The start has logged the first failure; a line a second would say nothing more.
        if (open()) return true;
    }
    return true;
}

auto DiskThread::perform(const DiskWrite& write) -> void {
    auto result = tl::expected<void, StoreError>();
    if (gate_.takes(write)) result = store_.write(write);
    else {
        store_.carryOver(write);
        result = tl::make_unexpected(StoreError{"behind a failed write"});
    }
    if (!result) {
        logEvent("store_write_failed", "sequence={} cause={}", write.seq, result.error().why);
        gate_.fail(write);
    }
    auto lock = std::lock_guard(logic_.mutex);
    logic_.node->onDiskWriteDone(write.seq, bool(result), bootNow());
}

auto DiskThread::readPeers() const -> std::vector<std::string> {
    auto addresses = std::vector<std::string>();
    auto text = readFile(peersFile());
    if (!text) return addresses;
    auto lines = std::stringstream(*text);
    for (auto line = std::string(); std::getline(lines, line);)
        if (parseAddress(line)) addresses.push_back(line);
    return addresses;
}

// Hints only, so that failures are passed over: written aside, synced and renamed, so that a half-written
// file is never read.
auto DiskThread::writePeers(const std::string& text) const -> void {
    constexpr auto MODE = 0644;
    auto target = peersFile();
    auto aside = target + ".new";
    auto file = ::open(aside.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, MODE);
    if (file < 0) return;
    auto written = ::write(file, text.data(), text.size()) == ssize_t(text.size()) && ::fsync(file) == 0;
    ::close(file);
    if (!written || ::rename(aside.c_str(), target.c_str()) != 0) return;
    auto directory = ::open(settings_.data.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (directory < 0) return;
    ::fsync(directory);
    ::close(directory);
}

}  // namespace duneturn
