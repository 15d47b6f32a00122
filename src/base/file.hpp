#pragma once
// Files that are read whole.
#include <string>

#include <tl/expected.hpp>

namespace duneturn {

/// What the file at `path` holds; the error names the file and the cause.
auto readFile(const std::string& path) -> tl::expected<std::string, std::string>;

}  // namespace duneturn
