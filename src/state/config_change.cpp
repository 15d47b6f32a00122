#include "state/config_change.hpp"

#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include <tl/expected.hpp>

#include "base/json.hpp"
#include "state/text_change.hpp"

namespace duneturn {

namespace {

using Allocator = rapidjson::Document::AllocatorType;

constexpr auto ROUTES = "mappings";
constexpr auto ORIGIN = "origin";
constexpr const char* NAMED_LISTS[] = {"pools", "models"};

auto nameOf(const rapidjson::Value& route) -> std::string_view {
    auto name = route.FindMember("name");
    if (name == route.MemberEnd() || !name->value.IsString()) return "";
    return {name->value.GetString(), name->value.GetStringLength()};
}
auto textOf(const rapidjson::Value& value) -> std::string_view {
    return {value.GetString(), value.GetStringLength()};
}
auto member(const rapidjson::Value& value, const char* name) -> const rapidjson::Value* {
    if (!value.IsObject()) return nullptr;
    auto found = value.FindMember(name);
    return found == value.MemberEnd() ? nullptr : &found->value;
}
auto isNamedList(std::string_view name) -> bool { return name == NAMED_LISTS[0] || name == NAMED_LISTS[1]; }
auto hasPartsOfItsOwn(std::string_view name) -> bool {
    return name == ROUTES || name == ORIGIN || isNamedList(name);
}

// ---- finding the difference

struct Difference {
    rapidjson::Document change;

    Difference() { change.SetObject(); }
    auto allocator() -> Allocator& { return change.GetAllocator(); }
    auto add(const char* name, rapidjson::Value& value) -> void {
        change.AddMember(rapidjson::Value(name, allocator()), value, allocator());
    }
    auto addParts(const char* name, rapidjson::Value& put, rapidjson::Value& removed) -> void {
        auto parts = rapidjson::Value(rapidjson::kObjectType);
        auto changed = put.IsArray() ? !put.Empty() : !put.ObjectEmpty();
        if (changed) parts.AddMember("put", put, allocator());
        if (!removed.Empty()) parts.AddMember("remove", removed, allocator());
        if (!parts.ObjectEmpty()) add(name, parts);
    }

    auto routes(const rapidjson::Value& older, const rapidjson::Value& newer) -> void {
        auto known = std::unordered_map<std::string_view, const rapidjson::Value*>();
        for (auto& route : older.GetArray()) known.emplace(nameOf(route), &route);
        auto put = rapidjson::Value(rapidjson::kArrayType);
        for (auto& route : newer.GetArray()) {
            auto old = known.find(nameOf(route));
            auto same = old != known.end() && *old->second == route;
            if (!same) put.PushBack(rapidjson::Value(route, allocator()), allocator());
            if (old != known.end()) known.erase(old);
        }
        auto removed = rapidjson::Value(rapidjson::kArrayType);
        for (auto& route : older.GetArray())  // in the order of the configuration, not of the hashes
            if (known.count(nameOf(route))) {
                auto name = nameOf(route);
                removed.PushBack(
                    rapidjson::Value(name.data(), unsigned(name.size()), allocator()), allocator());
            }
        addParts(ROUTES, put, removed);
    }
    auto namedList(const char* name, const rapidjson::Value* older, const rapidjson::Value* newer) -> void {
        auto put = rapidjson::Value(rapidjson::kObjectType);
        auto removed = rapidjson::Value(rapidjson::kArrayType);
        if (newer)
            for (auto& item : newer->GetObject()) {
                auto old = older ? member(*older, item.name.GetString()) : nullptr;
                if (!old || *old != item.value)
                    put.AddMember(rapidjson::Value(item.name, allocator()),
                        rapidjson::Value(item.value, allocator()), allocator());
            }
        if (older)
            for (auto& item : older->GetObject())
                if (!newer || !newer->HasMember(item.name))
                    removed.PushBack(rapidjson::Value(item.name, allocator()), allocator());
        addParts(name, put, removed);
    }
    auto origin(const rapidjson::Value* older, const rapidjson::Value* newer) -> void {
        if (!newer || (older && *older == *newer)) return;
        auto number = jsonInteger(*newer, "number");
        auto oldText = older ? member(*older, "text") : nullptr;
        auto newText = member(*newer, "text");
        auto parts = textChange(oldText ? textOf(*oldText) : "", newText ? textOf(*newText) : "");
        auto value = rapidjson::Value(rapidjson::kObjectType);
        value.AddMember("number", number, allocator());
        value.AddMember("text", textChangeValue(parts, allocator()), allocator());
        add(ORIGIN, value);
    }
    auto others(const rapidjson::Value& older, const rapidjson::Value& newer) -> void {
        auto set = rapidjson::Value(rapidjson::kObjectType);
        auto unset = rapidjson::Value(rapidjson::kArrayType);
        for (auto& item : newer.GetObject()) {
            if (hasPartsOfItsOwn(textOf(item.name))) continue;
            auto old = member(older, item.name.GetString());
            if (!old || *old != item.value)
                set.AddMember(rapidjson::Value(item.name, allocator()),
                    rapidjson::Value(item.value, allocator()), allocator());
        }
        for (auto& item : older.GetObject())
            if (!newer.HasMember(item.name) && !hasPartsOfItsOwn(textOf(item.name)))
                unset.PushBack(rapidjson::Value(item.name, allocator()), allocator());
        if (!set.ObjectEmpty()) add("set", set);
        if (!unset.Empty()) add("unset", unset);
    }
};

// ---- applying it

auto fault(const char* why) -> tl::unexpected<std::string> { return tl::make_unexpected(std::string(why)); }

auto names(const rapidjson::Value* list, std::unordered_set<std::string_view>& to) -> bool {
    if (!list) return true;
    if (!list->IsArray()) return false;
    for (auto& name : list->GetArray()) {
        if (!name.IsString()) return false;
        to.insert(textOf(name));
    }
    return true;
}

auto applyRoutes(rapidjson::Value& routes, const rapidjson::Value& parts, Allocator& allocator) -> bool {
    auto removed = std::unordered_set<std::string_view>();
    if (!routes.IsArray() || !names(member(parts, "remove"), removed)) return false;
    auto put = member(parts, "put");
    auto incoming = std::unordered_map<std::string_view, const rapidjson::Value*>();
    if (put && !put->IsArray()) return false;
    if (put)
        for (auto& route : put->GetArray()) {
            if (!route.IsObject() || nameOf(route).empty()) return false;
            if (!incoming.emplace(nameOf(route), &route).second) return false;
        }
    auto kept = rapidjson::Value(rapidjson::kArrayType);
    kept.Reserve(routes.Size() + unsigned(incoming.size()), allocator);
    auto replaced = std::unordered_set<std::string_view>();
    for (auto& route : routes.GetArray()) {
        if (removed.count(nameOf(route))) continue;
        auto newer = incoming.find(nameOf(route));
        if (newer == incoming.end()) {
            kept.PushBack(route, allocator);
            continue;
        }
        replaced.insert(newer->first);
        kept.PushBack(rapidjson::Value(*newer->second, allocator), allocator);
    }
    if (put)
        for (auto& route : put->GetArray())
            if (!replaced.count(nameOf(route))) kept.PushBack(rapidjson::Value(route, allocator), allocator);
    routes = kept;
    return true;
}

auto setMember(rapidjson::Value& object, const rapidjson::Value& name, const rapidjson::Value& value,
    Allocator& allocator) -> void {
    auto copy = rapidjson::Value(value, allocator);
    auto found = object.FindMember(name);
    if (found != object.MemberEnd()) found->value = copy;
    else object.AddMember(rapidjson::Value(name, allocator), copy, allocator);
}

auto applyNamedList(
    rapidjson::Value& config, const char* list, const rapidjson::Value& parts, Allocator& allocator) -> bool {
    auto removed = std::unordered_set<std::string_view>();
    auto put = member(parts, "put");
    if (!names(member(parts, "remove"), removed) || (put && !put->IsObject())) return false;
    if (!config.HasMember(list))
        config.AddMember(
            rapidjson::Value(list, allocator), rapidjson::Value(rapidjson::kObjectType), allocator);
    auto& items = config[list];
    if (!items.IsObject()) return false;
    for (auto name : removed) {
        auto key = std::string(name);
        items.RemoveMember(key.c_str());
    }
    if (put)
        for (auto& item : put->GetObject()) setMember(items, item.name, item.value, allocator);
    return true;
}

auto applyOrigin(rapidjson::Value& config, const rapidjson::Value& change, Allocator& allocator)
    -> tl::expected<void, std::string> {
    auto number = member(change, "number");
    auto text = member(change, "text");
    if (!number || !number->IsInt64() || !text) return fault("the origin is malformed");
    auto parts = textChangeParse(*text);
    if (!parts) return tl::make_unexpected(parts.error());
    auto origin = member(config, ORIGIN);
    auto older = origin ? member(*origin, "text") : nullptr;
    auto newer = applyTextChange(older && older->IsString() ? textOf(*older) : "", *parts);
    if (!newer) return tl::make_unexpected(newer.error());
    auto value = rapidjson::Value(rapidjson::kObjectType);
    value.AddMember("number", rapidjson::Value(number->GetInt64()), allocator);
    value.AddMember("text", rapidjson::Value(*newer, allocator), allocator);
    setMember(config, rapidjson::Value(ORIGIN, allocator), value, allocator);
    return {};
}

/// The members that are replaced as a whole.
auto applyOthers(rapidjson::Value& config, const rapidjson::Value& change, Allocator& allocator)
    -> tl::expected<void, std::string> {
    auto unset = std::unordered_set<std::string_view>();
    if (!names(member(change, "unset"), unset)) return fault("unset is malformed");
    for (auto name : unset) {
        if (hasPartsOfItsOwn(name)) return fault("unset names a part that is no plain member");
        auto key = std::string(name);
        config.RemoveMember(key.c_str());
    }
    auto set = member(change, "set");
    if (!set) return {};
    if (!set->IsObject()) return fault("set is malformed");
    for (auto& item : set->GetObject()) {
        if (hasPartsOfItsOwn(textOf(item.name))) return fault("set names a part that is no plain member");
        setMember(config, item.name, item.value, allocator);
    }
    return {};
}

}  // namespace

auto applyConfigChange(rapidjson::Document& config, const rapidjson::Value& change)
    -> tl::expected<void, std::string> {
    auto& allocator = config.GetAllocator();
    if (!config.IsObject() || !config.HasMember(ROUTES) || !change.IsObject())
        return fault("not a change of a configuration");
    for (auto& part : change.GetObject()) {
        auto name = textOf(part.name);
        auto known = hasPartsOfItsOwn(name) || name == "set" || name == "unset";
        if (!known) return fault("the change has a part that is not known");
    }
    if (auto parts = member(change, ROUTES); parts && !applyRoutes(config[ROUTES], *parts, allocator))
        return fault("the change of the mappings is malformed");
    for (auto list : NAMED_LISTS)
        if (auto parts = member(change, list); parts && !applyNamedList(config, list, *parts, allocator))
            return fault("the change of a list is malformed");
    if (auto origin = member(change, ORIGIN))
        if (auto applied = applyOrigin(config, *origin, allocator); !applied) return applied;
    return applyOthers(config, change, allocator);
}

auto configChange(const rapidjson::Value& older, const rapidjson::Value& newer)
    -> tl::expected<std::string, std::string> {
    auto sound = [](const rapidjson::Value& config) {
        auto routes = member(config, ROUTES);
        return routes && routes->IsArray();
    };
    if (!sound(older) || !sound(newer)) return fault("not a configuration");
    if (older.HasMember(ORIGIN) && !newer.HasMember(ORIGIN)) return fault("the origin is dropped");
    auto difference = Difference();
    difference.routes(older[ROUTES], newer[ROUTES]);
    for (auto list : NAMED_LISTS) difference.namedList(list, member(older, list), member(newer, list));
    difference.origin(member(older, ORIGIN), member(newer, ORIGIN));
    difference.others(older, newer);
    auto result = rapidjson::Document();
    result.CopyFrom(older, result.GetAllocator());
    auto applied = applyConfigChange(result, difference.change);
    if (!applied) return tl::make_unexpected(applied.error());
    if (result != newer) return fault("the change does not say all of the difference");
    return jsonText(difference.change);
}

}  // namespace duneturn
