#include "membership/server_directory.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>

#include "base/address.hpp"
#include "base/json.hpp"
#include "base/log.hpp"
#include "base/time.hpp"
#include "membership/failure_detector.hpp"

namespace duneturn {

static constexpr auto LISTING_SCHEMA =
    R"({"type":"object","additionalProperties":false,"required":["servers"],"properties":{
      "revision":{"type":"integer","minimum":1},
      "servers":{"type":"array","maxItems":4096,"items":{"type":"object","additionalProperties":false,
        "required":["name","address","region","district","pool"],"properties":{
        "name":{"type":"string","minLength":1,"maxLength":200},"address":{"type":"string"},"region":{"type":"string"},"district":{"type":"string"},
        "pool":{"type":"string"},"weights":{"type":"string"},"slots":{"type":"integer","minimum":1,"maximum":10000},
        "state":{"type":"string","enum":["up","leaving"]},"incarnation":{"type":"integer"},
        "coldUs":{"type":"integer","minimum":0}}}}}})";
static constexpr std::int64_t DEFAULT_SLOTS = 8;  // of a server whose listing names none
static constexpr int FAILED_PROBES_TO_DARK = 2;   // one probe may be lost without fault of the server

static auto faultsOf(const rapidjson::Document& document) -> std::vector<Fault> {
    auto faults = checkSchema(document, LISTING_SCHEMA);
    if (!faults.empty()) return faults;
    auto index = 0;
    for (auto& server : document["servers"].GetArray()) {
        if (auto address = parseAddress(jsonString(server, "address")); !address)
            faults.push_back({fmt::format("/servers/{}/address", index), address.error()});
        index++;
    }
    return faults;
}

static auto entryOf(const rapidjson::Value& server) -> PlatformListing::Entry {
    auto entry = PlatformListing::Entry();
    auto& listing = entry.listing;
    listing.server = jsonString(server, "name");
    listing.address = jsonString(server, "address");
    listing.region = jsonString(server, "region");
    listing.zone = jsonString(server, "district");
    listing.serviceName = jsonString(server, "pool");
    listing.weights = jsonString(server, "weights");
    listing.slots = std::int32_t(jsonInteger(server, "slots", DEFAULT_SLOTS));
    listing.state = jsonString(server, "state", "up") == "up" ? UP : LEAVING;
    listing.inc = jsonInteger(server, "incarnation");
    if (server.HasMember("coldUs")) entry.coldMicroseconds = jsonInteger(server, "coldUs");
    return entry;
}

auto parsePlatformListing(const std::string& body) -> tl::expected<PlatformListing, Outcome> {
    auto document = rapidjson::Document();
    if (!parseJson(body, document)) return tl::unexpected(Outcome{400, errorBody({{"/", "malformed JSON"}})});
    if (auto faults = faultsOf(document); !faults.empty())
        return tl::unexpected(Outcome{422, errorBody(faults)});
    auto listing = PlatformListing();
    listing.revision = jsonInteger(document, "revision");
    for (auto& server : document["servers"].GetArray()) listing.servers.push_back(entryOf(server));
    return listing;
}

auto ServerDirectory::find(const std::string& server) -> KnownServer* {
    auto known = servers_.find(server);
    return known == servers_.end() ? nullptr : &known->second;
}

auto ServerDirectory::anyUp() const -> bool {
    return std::any_of(
        servers_.begin(), servers_.end(), [](auto& entry) { return entry.second.listing.state == UP; });
}

auto ServerDirectory::topRevision() const -> std::int64_t {
    auto top = std::int64_t(0);
    for (auto& [name, server] : servers_) top = std::max(top, server.listing.revision);
    return top;
}

auto ServerDirectory::probeFinished(const std::string& server, const std::string& watcher, ProbeResult result,
    const wire::ServerLoad& load, Microseconds now) -> void {
    auto known = find(server);
    if (!known) return;
    auto answered = result == ProbeResult::Answered;
    known->failedProbes = answered ? 0 : known->failedProbes + 1;
    if (result == ProbeResult::Silent && known->failedProbes < FAILED_PROBES_TO_DARK) return;
    auto dark = !answered;
    if (known->loadReadAt && known->load.dark != dark) {
        if (dark) logEvent("server_dark", "server={}", server);
        else logEvent("server_back", "server={}", server);
    }
    if (answered && known->loadReadAt && known->load.boot != load.boot) known->firstSeenAt = now;
    if (answered) known->load = load;
    known->load.server = server;
    known->load.dark = dark;
    known->load.watcher = watcher;
    known->loadReadAt = now;
}

auto ServerDirectory::dropLapsed(Microseconds upTimeout, Microseconds now)
    -> std::vector<wire::ServerListing> {
    auto dropped = std::vector<wire::ServerListing>();
    for (auto it = servers_.begin(); it != servers_.end();) {
        auto& server = it->second;
        auto timeout = server.listing.state == UP ? upTimeout : DRAIN_MARK_TIMEOUT;
        if (now - server.listedAt < timeout) {
            ++it;
            continue;
        }
        logEvent("server_lapsed", "server={}", it->first);
        dropped.push_back(server.listing);
        it = servers_.erase(it);
    }
    return dropped;
}

auto noteIncarnation(KnownServer& server, std::int64_t incarnation, Microseconds now) -> void {
    auto& listing = server.listing;
    if (!listing.server.empty() && listing.inc == incarnation && listing.state != GONE) return;
    server.firstSeenAt = now;
    server.loadReadAt = 0;
}

auto agedListing(const KnownServer& server, Microseconds now) -> wire::ServerListing {
    auto listing = server.listing;
    listing.age = now - server.listedAt;
    listing.cold = std::max<Microseconds>(0, server.slowStartUntil - now);
    return listing;
}

auto agedLoad(const KnownServer& server, Microseconds now) -> wire::ServerLoad {
    auto load = server.load;
    load.age = now - server.loadReadAt;
    return load;
}

auto hasUsableLoad(const KnownServer& server, Microseconds now) -> bool {
    return server.loadReadAt && now - server.loadReadAt < LOAD_MAX_AGE;
}

auto stateName(int state) -> std::string_view {
    if (state == UP) return "up";
    return state == LEAVING ? "leaving" : "gone";
}

}  // namespace duneturn
