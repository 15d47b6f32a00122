#pragma once
// Asks one server for its load.
#include <string>

#include "daemon/logic.hpp"
#include "net/http.hpp"

namespace duneturn {

/// GET /load of the server at `address`; Node::probeFinished gets what came of it.
auto probeServer(Logic& logic, std::string server, std::string address) -> asio::awaitable<void>;

}  // namespace duneturn
