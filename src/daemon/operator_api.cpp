#include "daemon/operator_api.hpp"

#include <cstdint>
#include <cstdlib>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/json.hpp"
#include "base/time.hpp"
#include "daemon/limits.hpp"
#include "state/replicated_state.hpp"

namespace duneturn {

namespace {

constexpr int HTTP_1_1 = 11;

auto jsonAnswer(std::string body) -> HttpResponse {
    auto answer = HttpResponse(http::status::ok, HTTP_1_1);
    answer.set(http::field::content_type, "application/json");
    answer.body() = std::move(body);
    return answer;
}

auto jsonAnswer(const Outcome& outcome) -> HttpResponse {
    auto answer = jsonAnswer(outcome.body);
    answer.result(unsigned(outcome.status));
    if (outcome.status == 503 || outcome.status == 504) answer.set(http::field::retry_after, "1");
    return answer;
}

auto errorAnswer(int status, const std::string& why) -> HttpResponse {
    return jsonAnswer(Outcome{status, errorBody({{"/", why}})});
}

/// What stands in `path` at the "*" of `pattern`; empty if the path is another. A pattern without "*" gives
/// "".
auto matchPath(std::string_view pattern, std::string_view path) -> std::optional<std::string> {
    auto star = pattern.find('*');
    if (star == std::string_view::npos) return path == pattern ? std::optional(std::string()) : std::nullopt;
    auto before = pattern.substr(0, star), after = pattern.substr(star + 1);
    if (path.size() < before.size() + after.size()) return std::nullopt;
    if (!path.starts_with(before) || !path.ends_with(after)) return std::nullopt;
    return std::string(path.substr(before.size(), path.size() - before.size() - after.size()));
}

/// A parameter of a target's query as it stands there; empty if there is none.
auto queryParameter(const std::string& target, std::string_view name) -> std::string {
    auto start = target.find('?');
    while (start != std::string::npos) {
        auto end = target.find('&', start + 1);
        auto length = end == std::string::npos ? std::string::npos : end - start - 1;
        auto parameter = target.substr(start + 1, length);
        auto equals = parameter.find('=');
        if (parameter.substr(0, equals) == name)
            return equals == std::string::npos ? "" : parameter.substr(equals + 1);
        start = end;
    }
    return "";
}

}  // namespace

auto isPublicTarget(std::string_view target) -> bool {
    return target.starts_with("/v1/where") || target == "/healthz" || target == "/readyz";
}

auto OperatorApi::routes() -> const std::vector<Route>& {
    using http::verb;
    static const auto table = std::vector<Route>{
        {verb::get, "/v1/where", &OperatorApi::where},
        {verb::get, "/healthz", &OperatorApi::live},
        {verb::get, "/readyz", &OperatorApi::ready},
        {verb::get, "/metrics", &OperatorApi::metrics},
        {verb::get, "/v1/status", &OperatorApi::status},
        {verb::get, "/v1/beliefs", &OperatorApi::beliefs},
        {verb::get, "/v1/tenants", &OperatorApi::tenants},
        {verb::get, "/v1/exchanges", &OperatorApi::requests},
        {verb::get, "/v1/exchanges/*", &OperatorApi::explain},
        {verb::get, "/v1/decisions", &OperatorApi::decisions},
        {verb::get, "/v1/word", &OperatorApi::readDocument},
        {verb::get, "/v1/config", &OperatorApi::readConfig},
        {verb::get, "/v1/plan", &OperatorApi::readPlan},
        {verb::get, "/v1/orders/*", &OperatorApi::findOrder},
        {verb::put, "/v1/config", &OperatorApi::putConfig},
        {verb::patch, "/v1/config", &OperatorApi::mergeConfig},
        {verb::post, "/v1/orders/*", &OperatorApi::postOrder},
        {verb::post, "/v1/rescue", &OperatorApi::rescue},
        {verb::put, "/v1/platform/servers", &OperatorApi::listServers},
        {verb::post, "/v1/platform/servers/*/leaving", &OperatorApi::markLeaving},
    };
    return table;
}

auto OperatorApi::serve(const HttpRequest& request, Shell& shell) -> asio::awaitable<HttpResponse> {
    auto target = std::string(request.target());
    auto path = target.substr(0, target.find('?'));
    for (auto& route : routes()) {
        if (route.method != request.method()) continue;
        auto parameter = matchPath(route.pattern, path);
        if (!parameter) continue;
        auto call = Call{request, shell, target, path, *parameter};
        co_return co_await (this->*route.handler)(call);
    }
    co_return errorAnswer(404, "no such path or method");
}

// ---- what this node knows

auto OperatorApi::where(const Call& call) -> asio::awaitable<HttpResponse> {
    auto region = queryParameter(call.target, "region");
    auto zone = queryParameter(call.target, "district");
    co_return jsonAnswer(call.shell.where(region, zone));
}

auto OperatorApi::live(const Call&) -> asio::awaitable<HttpResponse> {
    co_return jsonAnswer("{\"live\":true}");
}

auto OperatorApi::ready(const Call& call) -> asio::awaitable<HttpResponse> {
    auto ready = call.shell.ready();
    co_return jsonAnswer(Outcome{ready ? 200 : 503, bodyOf({{"ready", ready ? "true" : "false"}})});
}

auto OperatorApi::metrics(const Call&) -> asio::awaitable<HttpResponse> {
    auto text = std::string();
    {
        auto lock = std::lock_guard(logic_.mutex);
        text = logic_.counters.text();
    }
    auto answer = jsonAnswer(text + counters_.text());
    answer.set(http::field::content_type, "text/plain; version=0.0.4");
    co_return answer;
}

auto OperatorApi::status(const Call&) -> asio::awaitable<HttpResponse> {
    auto lock = std::lock_guard(logic_.mutex);
    co_return jsonAnswer(logic_.node->status(bootNow()));
}

auto OperatorApi::beliefs(const Call&) -> asio::awaitable<HttpResponse> {
    auto lock = std::lock_guard(logic_.mutex);
    co_return jsonAnswer(logic_.node->beliefs(bootNow()));
}

auto OperatorApi::tenants(const Call&) -> asio::awaitable<HttpResponse> {
    auto lock = std::lock_guard(logic_.mutex);
    co_return jsonAnswer(logic_.node->tenantsText());
}

auto OperatorApi::requests(const Call&) -> asio::awaitable<HttpResponse> {
    auto lock = std::lock_guard(logic_.mutex);
    co_return jsonAnswer(logic_.edge->liveRequestsJson(bootNow()));
}

auto OperatorApi::explain(const Call& call) -> asio::awaitable<HttpResponse> {
    auto lock = std::lock_guard(logic_.mutex);
    auto text = logic_.edge->explainedRequestJson(call.parameter, bootNow());
    if (text.empty()) co_return errorAnswer(404, "no such exchange is live or remembered here");
    co_return jsonAnswer(text);
}

auto OperatorApi::decisions(const Call& call) -> asio::awaitable<HttpResponse> {
    auto after = std::atoll(queryParameter(call.target, "after").c_str());
    auto lock = std::lock_guard(logic_.mutex);
    co_return jsonAnswer(logic_.edge->decisionsJson(after));
}

// ---- the replicated state, as a majority confirmed it after the request arrived

auto OperatorApi::readDocument(const Call& call) -> asio::awaitable<HttpResponse> {
    auto query = StateQuery::document();
    auto read = co_await call.shell.readState(query);
    co_return jsonAnswer(read);
}

auto OperatorApi::readConfig(const Call& call) -> asio::awaitable<HttpResponse> {
    auto query = StateQuery::document();
    auto read = co_await call.shell.readState(query);
    if (read.status != 200) co_return jsonAnswer(read);
    auto state = ReplicatedState();
    state.load(read.body);
    co_return jsonAnswer(bodyOf(
        {{"generation", fmt::to_string(state.configVersion())}, {"config", jsonText(state.config())}}));
}

auto OperatorApi::readPlan(const Call& call) -> asio::awaitable<HttpResponse> {
    auto query = StateQuery::document();
    auto read = co_await call.shell.readState(query);
    if (read.status != 200) co_return jsonAnswer(read);
    auto state = ReplicatedState();
    state.load(read.body);
    co_return jsonAnswer(bodyOf({{"generation", fmt::to_string(state.version)}, {"plan", state.planText()},
        {"empties", state.evacuationsText()}}));
}

auto OperatorApi::findOrder(const Call& call) -> asio::awaitable<HttpResponse> {
    auto query = StateQuery::document();
    auto read = co_await call.shell.readState(query);
    if (read.status != 200) co_return jsonAnswer(read);
    auto state = ReplicatedState();
    state.load(read.body);
    auto outcome = state.outcome(call.parameter);
    if (!outcome.status) {
        auto why = jsonQuote("no order of this key is in the log");
        co_return jsonAnswer(Outcome{404, bodyOf({{"known", "false"}, {"error", why}})});
    }
    co_return jsonAnswer(
        bodyOf({{"known", "true"}, {"status", fmt::to_string(outcome.status)}, {"body", outcome.body}}));
}

// ---- orders

// The caller's key, or else one that no other order has.
auto OperatorApi::orderKey(const HttpRequest& request) -> std::string {
    auto key = std::string(request["Idempotency-Key"]);
    if (!key.empty()) return key.substr(0, CLIPPED_TEXT);
    return fmt::format("{}-{:x}-{}", settings_.node, logic_.node->ownRecord().boot, ++lastKey_);
}

auto OperatorApi::order(const Call& call, std::string operation) -> asio::awaitable<HttpResponse> {
    auto key = orderKey(call.request);
    auto body = call.request.body();
    auto outcome = co_await call.shell.order(operation, key, body);
    auto answer = jsonAnswer(outcome);
    answer.set("Idempotency-Key", key);
    co_return answer;
}

auto OperatorApi::putConfig(const Call& call) -> asio::awaitable<HttpResponse> {
    return order(call, "config");
}
auto OperatorApi::mergeConfig(const Call& call) -> asio::awaitable<HttpResponse> {
    return order(call, "merge");
}
auto OperatorApi::postOrder(const Call& call) -> asio::awaitable<HttpResponse> {
    return order(call, call.parameter);
}

auto OperatorApi::rescue(const Call& call) -> asio::awaitable<HttpResponse> {
    auto document = rapidjson::Document();
    if (!parseJson(call.request.body(), document)) co_return errorAnswer(400, "malformed JSON");
    auto epoch = jsonInteger(document, "reign"), version = jsonInteger(document, "generation");
    if (!document.IsObject() || !epoch || !version)
        co_return errorAnswer(422, "wants the reign and generation that this node holds");
    auto lock = std::lock_guard(logic_.mutex);
    co_return jsonAnswer(logic_.node->rescue(epoch, version, bootNow()));
}

// ---- what the platform says of the servers

auto OperatorApi::listServers(const Call& call) -> asio::awaitable<HttpResponse> {
    auto listed = co_await call.shell.list(call.request.body());
    co_return jsonAnswer(listed);
}

auto OperatorApi::markLeaving(const Call& call) -> asio::awaitable<HttpResponse> {
    auto document = rapidjson::Document();
    auto revision = std::int64_t(0);
    if (!call.request.body().empty()) {
        if (!parseJson(call.request.body(), document) || !document.IsObject())
            co_return errorAnswer(400, "malformed JSON");
        revision = jsonInteger(document, "revision");
    }
    auto begin = NodeCalls::Begin(
        [&](std::int64_t number) { logic_.node->mark(number, call.parameter, revision, bootNow()); });
    auto marked = co_await calls_.run(begin);
    co_return jsonAnswer(marked);
}

}  // namespace duneturn
