#pragma once
// A part of a JSON document that is never changed, with memory of its own, so that any number of holders
// may share it.
#include "base/json.hpp"

namespace duneturn {

class JsonFragment {
  public:
    /// How much memory is taken at a time. RapidJSON's own chunks of 64 KiB would be mostly unused where
    /// hundreds of short fragments are held; in short chunks a long one leaves many ends unused.
    enum class Length : std::size_t { Short = 512, Long = 32 * 1024 };

    /// A copy of `value`.
    explicit JsonFragment(const rapidjson::Value& value, Length length = Length::Short)
        : allocator_(std::size_t(length)) {
        value_.CopyFrom(value, allocator_);
    }
    JsonFragment(const JsonFragment&) = delete;
    auto operator=(const JsonFragment&) -> JsonFragment& = delete;

    [[nodiscard]] auto value() const -> const rapidjson::Value& { return value_; }

  private:
    rapidjson::Document::AllocatorType allocator_;
    rapidjson::Value value_;
};

}  // namespace duneturn
