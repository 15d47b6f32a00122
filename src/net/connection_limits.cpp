#include "net/connection_limits.hpp"

#include <cstdint>

#include "base/json.hpp"
#include "base/time.hpp"

namespace duneturn {

auto readConnectionLimits(const rapidjson::Value& config) -> ConnectionLimits {
    auto limits = ConnectionLimits();
    auto stated = jsonMember(config, "limits");
    if (!stated || !stated->IsObject()) return limits;
    auto read = [&](const char* name, std::int64_t otherwise) {
        auto value = jsonInteger(*stated, name, otherwise);
        return value > 0 ? value : otherwise;
    };
    limits.headerBytes = std::size_t(read("headerBytes", std::int64_t(limits.headerBytes)));
    limits.bodyBytes = std::size_t(read("bodyBytes", std::int64_t(limits.bodyBytes)));
    limits.headerRead = read("headerReadUs", limits.headerRead);
    limits.idle = read("idleUs", limits.idle);
    return limits;
}

}  // namespace duneturn
