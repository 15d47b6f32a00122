#pragma once
// The headers of an HTTP message, as they travel through the router.
#include <string>
#include <utility>
#include <vector>

namespace duneturn {

/// Names and values in the order in which they were received; names keep their case and may repeat.
using Headers = std::vector<std::pair<std::string, std::string>>;

}  // namespace duneturn
