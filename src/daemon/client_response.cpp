#include "daemon/client_response.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace duneturn {

auto ClientResponses::of(std::int64_t request) -> std::shared_ptr<ClientResponse> {
    auto& response = responses_[request];
    if (!response) response = std::make_shared<ClientResponse>();
    return response;
}

auto ClientResponses::change(std::int64_t request, const std::function<void(ClientResponse&)>& change)
    -> void {
    auto response = of(request);
    auto wake = std::function<void()>();
    {
        auto lock = std::lock_guard(response->mutex);
        change(*response);
        wake = response->wake;
    }
    if (wake) wake();
}

auto ClientResponses::beginStream(std::int64_t request, int status, const Headers& headers) -> void {
    change(request, [&](ClientResponse& response) {
        response.status = status;
        response.headers = headers;
        response.streamed = true;
        response.headReady = true;
    });
}

auto ClientResponses::addPart(std::int64_t request, const std::string& part) -> void {
    change(request, [&](ClientResponse& response) {
        response.parts.push_back(part);
        response.heldBytes += part.size();
    });
}

auto ClientResponses::end(std::int64_t request, ClientResponse::End end) -> void {
    change(request, [&](ClientResponse& response) { response.end = end; });
}

auto ClientResponses::reply(std::int64_t request, int status, const Headers& headers, const std::string& body)
    -> void {
    change(request, [&](ClientResponse& response) {
        response.status = status;
        response.headers = headers;
        response.parts = {body};
        response.headReady = true;
        response.end = ClientResponse::End::Whole;
    });
}

}  // namespace duneturn
