#include "state/configuration_schema.hpp"

#include "base/json.hpp"

namespace duneturn {

const char* const ROUTE_SCHEMA = R"({"type":"object","additionalProperties":false,
   "required":["name","path"],
   "properties":{
    "name":{"type":"string","pattern":"^[A-Za-z0-9_.-]+$"},
    "host":{"type":"string","minLength":1,"maxLength":255},
    "method":{"type":"string","enum":["GET","POST","PUT","*"]},
    "path":{"type":"string","pattern":"^/"},
    "pool":{"type":"string","minLength":1},
    "pools":{"type":"array","minItems":1,"maxItems":64,"items":{"type":"object","additionalProperties":false,
      "required":["pool","share"],"properties":{
      "pool":{"type":"string","minLength":1},"share":{"type":"integer","minimum":0,"maximum":1000000000}}}},
    "model":{"type":"string"},
    "stream":{"type":"boolean"},"Resumable":{"type":"boolean"},"repeatable":{"type":"boolean"},
    "public":{"type":"boolean"},
    "MaxTries":{"type":"integer","minimum":1,"maximum":64},
    "home":{"type":"string","minLength":1},
    "homes":{"type":"array","maxItems":64,"items":{"type":"string","minLength":1}},
    "spill":{"type":"array","items":{"type":"string"}},
    "spillAt":{"type":"number","minimum":0,"maximum":10},
    "urgency":{"type":"integer","minimum":0,"maximum":9},
    "deadlineUs":{"type":"integer","minimum":1000,"maximum":3600000000},
    "aimUs":{"type":"integer","minimum":0,"maximum":3600000000},
    "gapUs":{"type":"integer","minimum":0,"maximum":3600000000},
    "idleUs":{"type":"integer","minimum":1000,"maximum":3600000000},
    "queue":{"type":"integer","minimum":0,"maximum":100000},
    "queueUs":{"type":"integer","minimum":0,"maximum":600000000},
    "affinity":{"type":"integer","minimum":0,"maximum":1048576}
   }})";

const char* const TENANT_SCHEMA = R"({"type":"object","additionalProperties":false,
   "properties":{
    "keys":{"type":"array","items":{"type":"string"}},
    "rank":{"type":"integer","minimum":0,"maximum":9},
    "ratePerS":{"type":"number","minimum":0,"maximum":1000000000},
    "burst":{"type":"number","minimum":0,"maximum":1000000000},
    "homes":{"type":"array","maxItems":64,"items":{"type":"string","minLength":1}}
   }})";

const char* const CONFIGURATION_SCHEMA = R"({
 "type":"object","additionalProperties":false,"required":["mappings"],
 "properties":{
  "name":{"type":"string"},
  "models":{"type":"object","additionalProperties":{"type":"object","additionalProperties":false,"properties":{
    "migrationLimit":{"type":"integer","minimum":0,"maximum":16},
    "maxSequence":{"type":"integer","minimum":1,"maximum":1048576}}}},
  "budget":{"type":"object","additionalProperties":false,"properties":{
    "share":{"type":"number","minimum":0,"maximum":1},"cap":{"type":"integer","minimum":1,"maximum":10000},
    "slack":{"type":"number","minimum":0,"maximum":1000000}}},
  "ramp":{"type":"object","additionalProperties":false,"properties":{
    "overUs":{"type":"integer","minimum":0,"maximum":600000000},"first":{"type":"integer","minimum":1,"maximum":1000}}},
  "pools":{"type":"object","additionalProperties":{"type":"object","additionalProperties":false,"properties":{
    "maxConns":{"type":"integer","minimum":0,"maximum":1000000},
    "coldUs":{"type":"integer","minimum":0,"maximum":3600000000},
    "coldRate":{"type":"number","minimum":0,"maximum":1000000000},
    "slots":{"type":"integer","minimum":0,"maximum":1000000},
    "kvTokens":{"type":"integer","minimum":0,"maximum":1000000000000},
    "stride":{"type":"integer","minimum":0,"maximum":1000000},
    "engine":{"type":"boolean"}}}},
  "limits":{"type":"object","additionalProperties":false,"properties":{
    "headerBytes":{"type":"integer","minimum":0},"bodyBytes":{"type":"integer","minimum":0},
    "headerReadUs":{"type":"integer","minimum":0},"idleUs":{"type":"integer","minimum":0}}},
  "cold":{"type":"object","additionalProperties":false,"properties":{
    "overrun":{"type":"number","minimum":0,"maximum":1000},"slack":{"type":"number","minimum":0,"maximum":1000000}}},
  "quota":{"type":"object","additionalProperties":false,"properties":{
    "windowUs":{"type":"integer","minimum":1000,"maximum":3600000000},
    "overrun":{"type":"number","minimum":0,"maximum":1000},"slack":{"type":"number","minimum":0,"maximum":1000000}}},
  "tenants":{"type":"object"},
  "origin":{"type":"object","additionalProperties":false,"properties":{
    "number":{"type":"integer"},"text":{"type":"string"}}},
  "mappings":{"type":"array","maxItems":20000}}})";

auto compileSchema(const char* schema) -> rapidjson::SchemaDocument {
    auto document = rapidjson::Document();
    parseJson(schema, document);
    return rapidjson::SchemaDocument(document);
}

}  // namespace duneturn
