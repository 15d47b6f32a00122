#include "base/file.hpp"

#include <fstream>
#include <sstream>
#include <string>

#include <fmt/format.h>
#include <tl/expected.hpp>

namespace duneturn {

auto readFile(const std::string& path) -> tl::expected<std::string, std::string> {
    auto file = std::ifstream(path, std::ios::binary);
    if (!file) return tl::make_unexpected(fmt::format("{}: cannot be read", path));
    auto text = std::stringstream();
    text << file.rdbuf();
    return text.str();
}

}  // namespace duneturn
