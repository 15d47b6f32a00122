// At the first start the process of one core machine is killed and started again. The operator's first
// configuration must still be acknowledged. Rule Acks.
#include "../standins/fleet.hpp"

using namespace review;

namespace {

constexpr auto KILLED_AT_MS = 500.0;  // after the last machine has started
constexpr auto DOWN_MS = 1000.0;      // "started again after a short delay"
constexpr auto CONTACT_MS = 5000.0, ACK_MS = 6000.0;
constexpr auto WATCHED_MS = 60000.0;

auto configuration() -> std::string {
    return R"({"ConfigVersion":1,"Routes":[{"Name":"r-73d3zji","Hostname":"ficu95.example","PathPrefix":"/pule252/",)"
           R"("Variant":"safe","DeadlineMs":8000,"TargetMs":500,"Rank":2,"Backend":"wuno96b","MaxTries":1,"Sticky":false,)"
           R"("Resumable":false,"HomeRegions":[]}],"Backends":[{"Name":"wuno96b","HealthPath":"/health","MaxConns":130,)"
           R"("Protocol":"h1","Tls":false,"ColdS":0.0,"ColdRateS":0.0}],"Limits":{"MaxHeaderBytes":16384,)"
           R"("MaxBodyBytes":4194304,"HeaderReadMs":3000,"IdleMs":15000}})";
}

}  // namespace

auto main(int, char** arguments) -> int {
    ::signal(SIGPIPE, SIG_IGN);
    auto root = std::string(arguments[1]), folder = std::string(arguments[2]);
    auto trouble = std::string(std::getenv("TROUBLE") ? std::getenv("TROUBLE") : "1") != "0";
    auto record = Record(folder + "/record.txt");
    auto fleet = Fleet(root + "/target/duneturn", record,
        {{"zone-a", "north"}, {"zone-b", "north"}, {"zone-c", "south"}}, 3);
    auto servers = startPlainServers(fleet, record, "wuno96b", {"zone-a", "zone-b", "zone-c"});
    if (servers.empty() || !fleet.startAll()) return 2;
    auto& first = fleet.nodes[0];  // the core machine of zone-a
    sleepMs(KILLED_AT_MS);
    if (trouble) {
        fleet.kill(first);
        record.line("killed ", first.name);
    }
    sleepMs(DOWN_MS);
    if (trouble) fleet.start(first, false);
    auto settledAt = nowMs() + CONTACT_MS;
    auto status = fleet.order("PUT", "/v1/config", "0", configuration(), WATCHED_MS);
    auto late = nowMs() - settledAt;
    if (status == 200) fleet.awaitReady(10000);
    auto ready = 0;
    for (auto& node : fleet.nodes)
        ready += call(fleet.readiness(node), "GET", "/v1/ready", "Host: x\r\n", "", 1000).status() == 200;
    auto served = 0;
    for (auto& node : fleet.nodes) served += sendPlain(fleet, record, node, "9c41d07b-" + node.name) == 200;
    record.line("requests served: ", served, " of ", fleet.nodes.size());
    record.line("the first configuration: ", status, ", ", late,
        " ms after the core was settled; machines ready: ", ready);
    std::printf(
        "first configuration: %d, %.1f s after the core was settled; %d machines ready, %d requests served\n",
        status, late / 1000, ready, served);
    return status == 200 && late <= ACK_MS ? 0 : 1;
}
