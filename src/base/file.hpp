#pragma once
// Files that are read whole.
#include <string>

#include <tl/expected.hpp>

namespace duneturn {

/// The bytes of the file at `path`; the error names the file and the cause.
[[nodiscard]] auto readFile(const std::string& path) -> tl::expected<std::string, std::string>;

}  // namespace duneturn
