#include "storage/file_layer.hpp"

#include <cerrno>
#include <cstdio>
#include <fcntl.h>
#include <string>
#include <unistd.h>

#include <sys/stat.h>

namespace duneturn {

namespace {

constexpr mode_t DIRECTORY_MODE = 0755;
constexpr mode_t FILE_MODE = 0644;

auto errorOf(int result) -> int { return result == 0 ? 0 : errno; }

struct SystemFiles final : FileLayer {
    auto makeDirectory(const std::string& path) -> int override {
        auto error = errorOf(::mkdir(path.c_str(), DIRECTORY_MODE));
        return error == EEXIST ? 0 : error;
    }
    auto createFile(const std::string& path) -> int override {
        auto descriptor = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
        if (descriptor < 0) return errno;
        return errorOf(::close(descriptor));
    }
    auto renameFile(const std::string& from, const std::string& to) -> int override {
        return errorOf(::rename(from.c_str(), to.c_str()));
    }
    auto removeFile(const std::string& path) -> int override {
        auto error = errorOf(::unlink(path.c_str()));
        return error == ENOENT ? 0 : error;
    }
    auto syncFile(const std::string&, int descriptor) -> int override {
        return errorOf(::fdatasync(descriptor));
    }
    auto syncDirectory(const std::string& path) -> int override {
        auto descriptor = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
        if (descriptor < 0) return errno;
        auto error = errorOf(::fsync(descriptor));
        ::close(descriptor);
        return error;
    }
};

}  // namespace

auto systemFiles() -> FileLayer& {
    static auto files = SystemFiles();
    return files;
}

auto parentDirectory(std::string path) -> std::string {
    while (path.size() > 1 && path.back() == '/') path.pop_back();
    auto slash = path.rfind('/');
    if (slash == std::string::npos) return ".";
    return slash == 0 ? "/" : path.substr(0, slash);
}

auto fileBytes(const std::string& path) -> std::size_t {
    struct stat status {};
    if (::stat(path.c_str(), &status) != 0) return 0;
    return std::size_t(status.st_size);
}

}  // namespace duneturn
