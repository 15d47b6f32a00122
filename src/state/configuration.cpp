#include "state/configuration.hpp"

#include <cstdint>
#include <memory>

#include "base/json.hpp"

namespace duneturn {

auto Configuration::empty() -> std::shared_ptr<const Configuration> {
    static const auto shared = [] {
        auto document = rapidjson::Document();
        parseJson(R"({"mappings":[]})", document);
        return std::make_shared<const Configuration>(document);
    }();
    return shared;
}

auto Configuration::documentVersion() const -> std::int64_t {
    auto document = origin();
    return document ? jsonInteger(*document, "number") : 0;
}

}  // namespace duneturn
