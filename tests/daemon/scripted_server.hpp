#pragma once
// A model server on loopback for one connection. It answers a request whose head it has read, and leaves the
// rest unread until it is told to read on.
#include <array>
#include <cstddef>
#include <string>

#include "daemon/answer_bytes.hpp"
#include "daemon/lost_machine.hpp"
#include "net/http.hpp"

namespace duneturn {

class ScriptedServer {
  public:
    explicit ScriptedServer(asio::io_context& context) : acceptor_(context), socket_(context) {
        acceptor_.open(tcp::v4());
        acceptor_.set_option(asio::socket_base::receive_buffer_size(RECEIVE_BUFFER_BYTES));
        acceptor_.bind({asio::ip::address_v4::loopback(), 0});
        acceptor_.listen();
        acceptor_.async_accept(socket_, [this](beast::error_code failed) {
            if (failed) return;
            isConnected_ = true;
            readHead();
        });
    }

    [[nodiscard]] auto address() const -> std::string {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    [[nodiscard]] auto endpoint() const -> tcp::endpoint { return acceptor_.local_endpoint(); }
    [[nodiscard]] auto isConnected() const -> bool { return isConnected_; }
    /// The head of the request has been read.
    [[nodiscard]] auto hasHead() const -> bool { return hasHead_; }
    /// Bytes of the request that have been read.
    [[nodiscard]] auto requestBytes() const -> std::size_t { return read_; }
    [[nodiscard]] auto requestEnd() const -> const std::string& { return lastRead_; }

    auto send(const std::string& bytes) -> void { asio::write(socket_, asio::buffer(bytes)); }
    /// Reads the rest of the request, and the connection's end.
    auto readOn() -> void {
        socket_.async_read_some(asio::buffer(bytes_), [this](beast::error_code failed, std::size_t count) {
            if (failed) return;
            read_ += count;
            lastRead_.assign(bytes_.data(), count);
            readOn();
        });
    }
    /// Ends the answer in order and reads nothing more, until it is told to.
    auto endAnswerUnread() -> void { socket_.shutdown(tcp::socket::shutdown_send); }
    /// Ends the answer in order; the rest of the request is still read.
    auto endAnswer() -> void {
        endAnswerUnread();
        readOn();
    }
    /// Ends in order, and is gone. With a part of the request unread the system resets the connection.
    auto close() -> void { socket_.close(); }
    /// Reads what has come, and is gone: the system ends the connection in order, and resets it for what
    /// comes after.
    auto closeWithNothingUnread() -> void {
        auto failed = beast::error_code();
        socket_.non_blocking(true);
        while (!failed) read_ += socket_.read_some(asio::buffer(bytes_), failed);
        socket_.close();
    }
    auto reset() -> void {
        socket_.set_option(asio::socket_base::linger(true, 0));
        socket_.close();
    }
    /// Ends the answer in order and resets the connection at once, with a part of the request unread.
    auto endAnswerAndReset() -> void {
        endAnswerUnread();
        reset();
    }
    /// From now on the server's system has less room for unread bytes than its window has promised, and drops
    /// what exceeds it.
    auto shrinkBuffer() -> void {
        constexpr auto SHRUNK_BUFFER_BYTES = 2 * 1024;
        socket_.set_option(asio::socket_base::receive_buffer_size(SHRUNK_BUFFER_BYTES));
    }
    /// From now on nothing reaches the server, and nothing is acknowledged: its machine is lost.
    auto loseMachine() -> void { duneturn::loseMachine(socket_.native_handle()); }

  private:
    // So small that a long request waits in part at its sender.
    static constexpr auto RECEIVE_BUFFER_BYTES = 16 * 1024;

    auto readHead() -> void {
        // One byte at a time: nothing of the body.
        socket_.async_read_some(asio::buffer(bytes_, 1), [this](beast::error_code failed, std::size_t) {
            if (failed) return;
            read_++;
            head_ += bytes_[0];
            hasHead_ = head_.ends_with("\r\n\r\n");
            if (!hasHead_) readHead();
        });
    }

    tcp::acceptor acceptor_;
    tcp::socket socket_;
    std::array<char, 64 * 1024> bytes_ = {};
    std::string head_, lastRead_;
    std::size_t read_ = 0;
    bool isConnected_ = false, hasHead_ = false;
};

}  // namespace duneturn
