#pragma once
// Stand-ins of the soak: model servers, sound but where a long request asks for something else, and the
// platform's list of them.
#include <cstddef>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "net/http.hpp"
#include "platform/soak/deployment.hpp"
#include "platform/soak/long_requests.hpp"
#include "platform/soak/records.hpp"

namespace duneturn::soak {

/// What a request's path asks a server for.
struct Work {
    bool isStream = false;
    int events = 0;          ///< Of a stream.
    Microseconds pause = 0;  ///< Before each event, or before a plain answer.
};

/// The path of a request for a stream of `events`, or for a plain answer.
[[nodiscard]] auto streamPath(int events, Microseconds pause) -> std::string;
[[nodiscard]] auto plainPath(Microseconds pause) -> std::string;
/// The whole body of the answer to a request of that name.
[[nodiscard]] auto answerBody(const std::string& name, const Work& work) -> std::string;
[[nodiscard]] auto readWork(const std::string& path) -> Work;

/// Listens at the addresses of the servers and of the list. Throws if one is taken.
class ModelServers {
  public:
    ModelServers(asio::io_context& context, const Deployment& deployment, Records& records);

  private:
    struct Server {
        std::string instance, zone, address;
    };
    auto listen(const std::string& address) -> tcp::acceptor;
    auto acceptCalls(tcp::acceptor acceptor, std::string instance) -> asio::awaitable<void>;
    auto serve(tcp::socket socket, std::string instance) -> asio::awaitable<void>;
    auto serveLong(tcp::socket& socket, beast::flat_buffer& buffer,
        const http::request_parser<http::string_body>& head, const LongWork& work,
        const std::string& instance) -> asio::awaitable<bool>;
    auto answer(tcp::socket& socket, const HttpRequest& request, const std::string& instance)
        -> asio::awaitable<bool>;
    auto writeAnswer(tcp::socket& socket, const HttpRequest& request, const std::string& instance)
        -> asio::awaitable<bool>;
    [[nodiscard]] auto list() const -> std::string;

    asio::io_context& context_;
    Records& records_;
    std::vector<Server> servers_;
};

}  // namespace duneturn::soak
