#pragma once
// Encodes and decodes envelopes in the format of the daemons.
#include <cstdint>
#include <memory>
#include <string>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "Peer.h"

namespace duneturn {

/// The compact protocol over a memory buffer. One codec serves one thread.
class EnvelopeCodec {
  public:
    /// The bytes of a framed message.
    auto encode(const wire::Envelope& envelope) -> std::shared_ptr<std::string>;
    /// Returns false if `bytes` are not a valid envelope.
    auto decode(const std::string& bytes, wire::Envelope& envelope) -> bool;

  private:
    static constexpr std::int64_t MESSAGE_LIMIT = 8 << 20;  // in bytes, as in the daemon
    static constexpr int DEPTH_LIMIT = 64;
    static constexpr std::int32_t CONTAINER_LIMIT = 100000;

    std::shared_ptr<apache::thrift::TConfiguration> configuration_ =
        std::make_shared<apache::thrift::TConfiguration>(MESSAGE_LIMIT, MESSAGE_LIMIT, DEPTH_LIMIT);
    std::shared_ptr<apache::thrift::transport::TMemoryBuffer> buffer_ =
        std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    std::shared_ptr<apache::thrift::transport::TFramedTransport> framed_ =
        std::make_shared<apache::thrift::transport::TFramedTransport>(buffer_);
    wire::PeerClient client_{std::make_shared<apache::thrift::protocol::TCompactProtocol>(framed_)};
};

}  // namespace duneturn
