#pragma once
// A file layer that works on real files and knows what a loss of power may leave of them.
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "storage/file_layer.hpp"

namespace duneturn {

/// What a disk holds after a loss of power: the folder's files by name, or no folder.
struct DiskImage {
    bool folder = false;
    std::map<std::string, std::string> files;

    /// Writes the image as the folder `path`.
    auto restore(const std::string& path) const -> void;
};

/// The failure model: each file that was created, renamed or removed in a folder that was not
/// synced since is kept or lost by itself; what was written to a file and not synced is kept,
/// lost or torn, but for the first two pages, which a store writes only after it has synced the
/// others. The store's folder is `root`/data.
class PowerLossFiles : public FileLayer {
  public:
    explicit PowerLossFiles(std::string root) : root_(std::move(root)) {}
    auto folder() const -> std::string { return root_ + "/data"; }

    auto makeDirectory(const std::string& path) -> int override;
    auto createFile(const std::string& path) -> int override;
    auto renameFile(const std::string& from, const std::string& to) -> int override;
    auto removeFile(const std::string& path) -> int override;
    auto syncFile(const std::string& path, int descriptor) -> int override;
    auto syncDirectory(const std::string& path) -> int override;

    /// Every image that a loss of power at this moment may leave.
    auto images() const -> std::vector<DiskImage>;

    /// Called before and after each operation.
    std::function<void()> atPoint = [] {};
    /// Deliberate faults of the layer: a sync that reports success and does nothing.
    bool skipsFileSync = false;
    bool skipsDirectorySync = false;
    /// How many of the next syncs of the folder fail.
    int failingDirectorySyncs = 0;

  private:
    using FileId = int;
    using Names = std::map<std::string, FileId>;
    struct NameChange {
        enum class Kind { Made, Renamed, Removed };
        Kind kind;
        std::string from, to;
        FileId file;
    };
    static auto apply(Names& names, const NameChange& change) -> void;
    auto contents(FileId file) const -> std::vector<std::string>;
    auto imagesOf(const Names& names) const -> std::vector<DiskImage>;

    std::string root_;
    FileId nextFile_ = 1;
    Names names_, durableNames_;
    std::vector<NameChange> pending_;
    std::map<FileId, std::string> synced_;
    bool folderMade_ = false;
    bool folderDurable_ = false;
};

}  // namespace duneturn
