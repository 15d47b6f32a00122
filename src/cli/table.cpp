#include "cli/table.hpp"

#include <algorithm>
#include <cstring>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/json.hpp"

namespace duneturn {

namespace {

constexpr auto COLUMN_GAP = std::size_t(2);

auto lineText(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths) -> std::string {
    auto line = std::string();
    for (auto i = std::size_t(0); i < cells.size(); i++)
        line += fmt::format("{:<{}}", cells[i], widths[i] + COLUMN_GAP);
    return line + "\n";
}

}  // namespace

auto cellText(const rapidjson::Value& value) -> std::string {
    if (value.IsString()) return value.GetString();
    return value.IsNull() ? "-" : jsonText(value);
}

auto tableText(const rapidjson::Value& rows, const std::vector<const char*>& columns) -> std::string {
    auto lines = std::vector<std::vector<std::string>>();
    lines.emplace_back(columns.begin(), columns.end());
    for (auto& row : rows.GetArray()) {
        auto cells = std::vector<std::string>();
        for (auto column : columns) cells.push_back(row.HasMember(column) ? cellText(row[column]) : "-");
        lines.push_back(std::move(cells));
    }
    auto widths = std::vector<std::size_t>(columns.size(), 0);
    for (auto& cells : lines)
        for (auto i = std::size_t(0); i < cells.size(); i++) widths[i] = std::max(widths[i], cells[i].size());
    auto text = std::string();
    for (auto& cells : lines) text += lineText(cells, widths);
    return text;
}

}  // namespace duneturn
