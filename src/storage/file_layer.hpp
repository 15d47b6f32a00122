#pragma once
// The operations on names and the syncs that a store's durability rests on, behind an
// interface, so that tests can lose each of them as a loss of power does.
#include <string>

namespace duneturn {

/// Creates, renames, removes and syncs files. Each call returns 0 or an errno value.
struct FileLayer {
    virtual ~FileLayer() = default;
    /// Creates a directory; one that exists already is no error.
    virtual auto makeDirectory(const std::string& path) -> int = 0;
    /// Creates an empty file, replacing one of the same name.
    virtual auto createFile(const std::string& path) -> int = 0;
    virtual auto renameFile(const std::string& from, const std::string& to) -> int = 0;
    /// Removes a file; one that does not exist is no error.
    virtual auto removeFile(const std::string& path) -> int = 0;
    /// Makes what was written to an open file durable.
    virtual auto syncFile(const std::string& path, int descriptor) -> int = 0;
    /// Makes the names in a directory durable: files created, renamed and removed in it.
    virtual auto syncDirectory(const std::string& path) -> int = 0;
};

/// The operating system's files.
auto systemFiles() -> FileLayer&;

/// The directory that holds `path`, "." for a bare name.
[[nodiscard]] auto parentDirectory(std::string path) -> std::string;
/// The length of a file; 0 if it does not exist.
[[nodiscard]] auto fileBytes(const std::string& path) -> std::size_t;

}  // namespace duneturn
