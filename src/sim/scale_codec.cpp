#include "sim/scale_codec.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace duneturn {

namespace protocol = apache::thrift::protocol;
namespace transport = apache::thrift::transport;

auto EnvelopeCodec::encode(const wire::Envelope& envelope) -> std::shared_ptr<std::string> {
    buffer_->resetBuffer();
    client_.tell(envelope);
    return std::make_shared<std::string>(buffer_->getBufferAsString());
}

auto EnvelopeCodec::decode(const std::string& bytes, wire::Envelope& envelope) -> bool {
    auto data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
    auto buffer = std::make_shared<transport::TMemoryBuffer>(
        data, std::uint32_t(bytes.size()), transport::TMemoryBuffer::OBSERVE, configuration_);
    auto framed = std::make_shared<transport::TFramedTransport>(buffer, configuration_);
    auto compact = protocol::TCompactProtocol(framed, std::int32_t(MESSAGE_LIMIT), CONTAINER_LIMIT);
    try {
        auto name = std::string();
        auto type = protocol::TMessageType();
        auto sequence = std::int32_t(0);
        compact.readMessageBegin(name, type, sequence);
        auto arguments = wire::Peer_tell_args();
        arguments.read(&compact);
        envelope = arguments.e;
        return true;
    } catch (const std::exception&) {
        return false;
    }
}

}  // namespace duneturn
