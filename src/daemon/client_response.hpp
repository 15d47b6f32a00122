#pragma once
// Responses on their way from the logic, which makes them, to the clients' sessions, which write them.
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "routing/edge.hpp"

namespace duneturn {

/// The response to one request. Filled with Logic::mutex held; emptied by the client's session without it.
struct ClientResponse {
    enum class End {
        Open,   ///< More may come.
        Whole,  ///< Everything is in.
        Cut     ///< Ended early; the client must see that.
    };

    std::mutex mutex;
    // Guarded by `mutex`.
    bool headReady = false;  ///< Status and headers are known, and stay.
    bool streamed = false;   ///< The body comes in parts, its length unknown.
    End end = End::Open;
    int status = 0;
    Headers headers;
    std::deque<std::string> parts;  ///< Of the body, not taken by the session yet.
    std::size_t heldBytes = 0;      ///< Of a stream's parts not taken yet.
    /// Called after each change, by the thread that made it, with Logic::mutex held.
    std::function<void()> wake;
};

/// The responses of the requests under way, by the request's number. Guarded by Logic::mutex.
class ClientResponses {
  public:
    /// The response of a request; made when it is first asked for.
    auto of(std::int64_t request) -> std::shared_ptr<ClientResponse>;
    auto erase(std::int64_t request) -> void { responses_.erase(request); }
    auto empty() const -> bool { return responses_.empty(); }

    // What the logic says of a response: see EdgePort.
    auto beginStream(std::int64_t request, int status, const Headers& headers) -> void;
    auto addPart(std::int64_t request, const std::string& part) -> void;
    auto end(std::int64_t request, ClientResponse::End end) -> void;
    auto reply(std::int64_t request, int status, const Headers& headers, const std::string& body) -> void;

  private:
    auto change(std::int64_t request, const std::function<void(ClientResponse&)>& change) -> void;

    std::map<std::int64_t, std::shared_ptr<ClientResponse>> responses_;
};

}  // namespace duneturn
