#pragma once
// The thread that writes a core's disk: the voter's log and state, and the peers' addresses beside them.
#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <tl/expected.hpp>

#include "base/settings.hpp"
#include "consensus/disk.hpp"
#include "daemon/logic.hpp"
#include "storage/store.hpp"

namespace duneturn {

class DiskThread {
  public:
    DiskThread(Logic& logic, const Settings& settings) : logic_(logic), settings_(settings) {}
    /// Ends the thread, as stop().
    ~DiskThread() { stop(); }
    DiskThread(const DiskThread&) = delete;
    auto operator=(const DiskThread&) -> DiskThread& = delete;

    /// Opens the store and makes the node a core by what it holds. Before start(), or on the thread itself.
    [[nodiscard]] auto open() -> tl::expected<void, StoreError>;
    /// Starts the thread, which first opens the store if that has failed so far.
    auto start() -> void;
    auto stop() -> void;
    /// Queues a write; Node::onDiskWriteDone tells of its end. With Logic::mutex held.
    auto write(const DiskWrite& write) -> void;
    /// Queues the peers' addresses, which replace those not written yet. With Logic::mutex held.
    auto keepPeers(const std::vector<std::string>& addresses) -> void;

  private:
    auto run() -> void;
    auto openUntilDone() -> bool;
    auto perform(const DiskWrite& write) -> void;
    auto readPeers() const -> std::vector<std::string>;
    auto writePeers(const std::string& text) const -> void;
    auto peersFile() const -> std::string { return settings_.data + "/peers"; }

    Logic& logic_;
    const Settings& settings_;
    std::thread thread_;
    // The thread's own once it runs.
    Store store_;
    DiskWriteFence gate_;
    bool opened_ = false;
    // Guarded by mutex_.
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<DiskWrite> writes_;
    std::string peers_;  // to be written, an address a line; empty if none are
    bool stopping_ = false;
};

}  // namespace duneturn
