#pragma once
// The command line's flags: those that several subcommands share, and the strict reading of all of them.
#include <string>
#include <vector>

#include <gflags/gflags.h>
#include <tl/expected.hpp>

DECLARE_string(node);
DECLARE_bool(check);
DECLARE_bool(json);
DECLARE_string(listen);
DECLARE_string(nodes);
DECLARE_string(servers);
DECLARE_int64(duration_us);
DECLARE_double(scale);
DECLARE_uint64(seed);
DECLARE_string(broken);

namespace duneturn {

/// Sets the flags named in `arguments`, up to an argument "--". The error names a flag that no subcommand
/// has, or a value that does not fit.
[[nodiscard]] auto setFlags(const std::vector<std::string>& arguments) -> tl::expected<void, std::string>;
/// The parts of a list with commas; empty parts are left out.
[[nodiscard]] auto splitCommas(const std::string& text) -> std::vector<std::string>;

}  // namespace duneturn
