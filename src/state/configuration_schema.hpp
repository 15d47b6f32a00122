#pragma once
// JSON schemas of a configuration: which members it may have and their ranges. Rules that span several
// members are in configuration_validation.cpp.
#include "base/json.hpp"

namespace duneturn {

/// Of one route. That it names either `pool` or `pools` is a rule of the validation.
extern const char* const ROUTE_SCHEMA;

/// Of one tenant. What its keys may be is a rule of tenant_validation.cpp.
extern const char* const TENANT_SCHEMA;

/// Of a configuration without its routes and tenants, which are checked one by one.
extern const char* const CONFIGURATION_SCHEMA;

/// A schema that is read once and used for many values.
[[nodiscard]] auto compileSchema(const char* schema) -> rapidjson::SchemaDocument;

}  // namespace duneturn
