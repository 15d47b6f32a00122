#include "base/json_digest.hpp"

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <memory>
#include <xxhash.h>

#include "base/json.hpp"

namespace duneturn {

namespace {

/// What comes next in the digested bytes. Every value begins with one of these.
enum class Token : std::uint8_t {
    Null,
    False,
    True,
    Integer,
    Unsigned,
    Double,
    String,
    BeginObject,
    EndObject,
    BeginArray,
    EndArray
};

/// Takes the events of a value (RapidJSON's Handler concept), in little-endian bytes.
class DigestHandler {
  public:
    DigestHandler() { XXH3_64bits_reset(state_.get()); }

    [[nodiscard]] auto digest() const -> std::uint64_t { return XXH3_64bits_digest(state_.get()); }

    // NOLINTBEGIN(readability-identifier-naming): RapidJSON's names
    auto Null() -> bool { return token(Token::Null); }
    auto Bool(bool value) -> bool { return token(value ? Token::True : Token::False); }
    auto Int(int value) -> bool { return Int64(value); }
    auto Uint(unsigned value) -> bool { return Int64(value); }
    auto Int64(std::int64_t value) -> bool { return number(Token::Integer, std::uint64_t(value)); }
    auto Uint64(std::uint64_t value) -> bool { return number(Token::Unsigned, value); }
    auto Double(double value) -> bool {
        auto bits = std::uint64_t(0);
        static_assert(sizeof(bits) == sizeof(value));
        std::memcpy(&bits, &value, sizeof(bits));
        return number(Token::Double, bits);
    }
    auto RawNumber(const char* text, rapidjson::SizeType length, bool copy) -> bool {
        return String(text, length, copy);
    }
    auto String(const char* text, rapidjson::SizeType length, bool) -> bool {
        number(Token::String, length);
        XXH3_64bits_update(state_.get(), text, length);
        return true;
    }
    auto StartObject() -> bool { return token(Token::BeginObject); }
    auto Key(const char* text, rapidjson::SizeType length, bool copy) -> bool {
        return String(text, length, copy);
    }
    auto EndObject(rapidjson::SizeType) -> bool { return token(Token::EndObject); }
    auto StartArray() -> bool { return token(Token::BeginArray); }
    auto EndArray(rapidjson::SizeType) -> bool { return token(Token::EndArray); }
    // NOLINTEND(readability-identifier-naming)

  private:
    auto token(Token next) -> bool {
        auto byte = std::uint8_t(next);
        XXH3_64bits_update(state_.get(), &byte, sizeof(byte));
        return true;
    }
    auto number(Token next, std::uint64_t value) -> bool {
        token(next);
        std::uint8_t bytes[sizeof(value)];
        for (auto i = std::size_t(0); i < sizeof(value); i++) bytes[i] = std::uint8_t(value >> (8 * i));
        XXH3_64bits_update(state_.get(), bytes, sizeof(bytes));
        return true;
    }

    struct FreeState {
        auto operator()(XXH3_state_t* state) const -> void { XXH3_freeState(state); }
    };
    std::unique_ptr<XXH3_state_t, FreeState> state_{XXH3_createState()};
};

}  // namespace

auto jsonDigest(const rapidjson::Value& value) -> std::uint64_t {
    auto handler = DigestHandler();
    value.Accept(handler);
    return handler.digest();
}

}  // namespace duneturn
