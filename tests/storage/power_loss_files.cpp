#include "storage/power_loss_files.hpp"

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <string>
#include <utility>
#include <vector>

#include "base/file.hpp"

namespace duneturn {

namespace {

constexpr auto PAGE_BYTES = std::size_t(4096);
constexpr auto LAST_PAGES = 2 * PAGE_BYTES;  // written last and alone, behind a sync

auto contentsOf(const std::string& path) -> std::string { return readFile(path).value_or(""); }

// Every other page of `newer` over `older`, and none of the pages written last.
auto torn(const std::string& older, const std::string& newer) -> std::string {
    auto mixed = older;
    mixed.resize(std::max(older.size(), newer.size()));
    for (auto at = LAST_PAGES; at < newer.size(); at += 2 * PAGE_BYTES)
        mixed.replace(at, PAGE_BYTES, newer, at, PAGE_BYTES);
    return mixed;
}
auto withoutLastPages(const std::string& older, const std::string& newer) -> std::string {
    auto mixed = newer;
    mixed.resize(std::max(older.size(), newer.size()));
    mixed.replace(0, LAST_PAGES, older, 0, LAST_PAGES);
    return mixed;
}

}  // namespace

auto DiskImage::restore(const std::string& path) const -> void {
    std::filesystem::remove_all(path);
    if (!folder) return;
    std::filesystem::create_directory(path);
    for (auto& [name, bytes] : files) {
        auto file = std::filesystem::path(path) / name;
        std::ofstream(file, std::ios::binary) << bytes;
    }
}

auto PowerLossFiles::apply(Names& names, const NameChange& change) -> void {
    if (change.kind != NameChange::Kind::Made)
        if (auto old = names.find(change.from); old != names.end() && old->second == change.file)
            names.erase(old);
    if (change.kind != NameChange::Kind::Removed) names[change.to] = change.file;
}

auto PowerLossFiles::makeDirectory(const std::string& path) -> int {
    atPoint();
    auto error = systemFiles().makeDirectory(path);
    folderMade_ = folderMade_ || !error;
    atPoint();
    return error;
}

auto PowerLossFiles::createFile(const std::string& path) -> int {
    atPoint();
    auto error = systemFiles().createFile(path);
    if (!error) {
        pending_.push_back({NameChange::Kind::Made, "", path, nextFile_++});
        apply(names_, pending_.back());
    }
    atPoint();
    return error;
}

auto PowerLossFiles::renameFile(const std::string& from, const std::string& to) -> int {
    atPoint();
    auto error = systemFiles().renameFile(from, to);
    if (!error) {
        pending_.push_back({NameChange::Kind::Renamed, from, to, names_.at(from)});
        apply(names_, pending_.back());
    }
    atPoint();
    return error;
}

auto PowerLossFiles::removeFile(const std::string& path) -> int {
    atPoint();
    auto error = systemFiles().removeFile(path);
    if (auto known = names_.find(path); !error && known != names_.end()) {
        pending_.push_back({NameChange::Kind::Removed, path, "", known->second});
        apply(names_, pending_.back());
    }
    atPoint();
    return error;
}

auto PowerLossFiles::syncFile(const std::string& path, int) -> int {
    atPoint();
    if (!skipsFileSync) synced_[names_.at(path)] = contentsOf(path);
    atPoint();
    return 0;
}

auto PowerLossFiles::syncDirectory(const std::string& path) -> int {
    atPoint();
    if (failingDirectorySyncs > 0 && path == folder()) {
        failingDirectorySyncs--;
        return EIO;
    }
    if (!skipsDirectorySync && path == root_) folderDurable_ = folderMade_;
    if (!skipsDirectorySync && path == folder()) {
        durableNames_ = names_;
        pending_.clear();
    }
    atPoint();
    return 0;
}

auto PowerLossFiles::contents(FileId file) const -> std::vector<std::string> {
    auto now = std::string();
    for (auto& [path, id] : names_)
        if (id == file) now = contentsOf(path);
    auto synced = synced_.find(file);
    if (synced == synced_.end()) return {"", now, now.substr(0, now.size() / 2)};
    // One that has no name any more is not written to any more.
    if (now.empty() || now == synced->second) return {synced->second};
    return {synced->second, now, withoutLastPages(synced->second, now), torn(synced->second, now)};
}

auto PowerLossFiles::imagesOf(const Names& names) const -> std::vector<DiskImage> {
    auto images = std::vector<DiskImage>{{true, {}}};
    for (auto& [path, file] : names) {
        auto more = std::vector<DiskImage>();
        for (auto& bytes : contents(file))
            for (auto image : images) {
                image.files[path.substr(folder().size() + 1)] = bytes;
                more.push_back(std::move(image));
            }
        images = std::move(more);
    }
    return images;
}

auto PowerLossFiles::images() const -> std::vector<DiskImage> {
    auto all = std::vector<DiskImage>();
    if (!folderDurable_) all.push_back({});
    if (!folderMade_) return all;
    for (auto kept = 0u; kept < (1u << pending_.size()); kept++) {
        auto names = durableNames_;
        for (auto i = std::size_t(0); i < pending_.size(); i++)
            if (kept >> i & 1) apply(names, pending_[i]);
        for (auto& image : imagesOf(names)) all.push_back(std::move(image));
    }
    return all;
}

}  // namespace duneturn
