#pragma once
// The difference between two configurations: items to put and to remove by name. Commands may
// carry it in place of a whole configuration where that is shorter.
//
//   {"mappings": {"put": [route...], "remove": [name...]},
//    "pools":    {"put": {name: service...}, "remove": [name...]},
//    "models":   {"put": {name: model...}, "remove": [name...]},
//    "origin":   {"number": n, "text": [part...]},        parts as in text_change.hpp
//    "set":      {member: value...}, "unset": [member...]}     all other members
//
// A route ("mapping") that is put takes the place of the one of its name; new ones follow the rest.
#include <string>

#include <tl/expected.hpp>

#include "base/json.hpp"

namespace duneturn {

/// The change that makes `newer` of `older`; none if no such change says all of it, as when
/// routes have changed their order.
auto configChange(const rapidjson::Value& older, const rapidjson::Value& newer)
    -> tl::expected<std::string, std::string>;

/// Applies a change to `config`; an error, with `config` in an undefined state, if it is malformed.
/// The same change on the same configuration gives the same one anywhere.
auto applyConfigChange(rapidjson::Document& config, const rapidjson::Value& change)
    -> tl::expected<void, std::string>;

}  // namespace duneturn
