#include "citronloft/base/yaml_reader.hpp"

#include <algorithm>
#include <numeric>

namespace citronloft {

namespace {

auto editDistance(std::string_view left, std::string_view right) -> std::size_t
{
    auto row = std::vector<std::size_t>(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t { 0 });
    for (auto i = std::size_t { 0 }; i < left.size(); ++i) {
        auto diagonal = row[0];
        row[0] = i + 1;
        for (auto j = std::size_t { 0 }; j < right.size(); ++j) {
            const auto substituted = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({ substituted, row[j] + 1, row[j + 1] + 1 });
        }
    }
    return row.back();
}

} // namespace

auto formatFault(std::string_view file, const Fault& fault) -> std::string
{
    auto text = std::string { file };
    if (fault.line > 0)
        text += ":" + std::to_string(fault.line);
    text += ": ";
    if (!fault.field.empty())
        text += fault.field + ": ";
    return text + fault.reason;
}

YamlReader::YamlReader(YAML::Node map, std::string path, std::vector<Fault>& faults)
    : map(std::move(map))
    , path(std::move(path))
    , faults(&faults)
{
    if (!this->map.IsMap())
        faults.push_back({ this->map.Mark().line + 1, this->path, "must be a map" });
}

auto YamlReader::strings(std::string_view field, std::vector<std::string>& values) -> void
{
    const auto node = this->child(field);
    if (!node.IsDefined() || node.IsNull())
        return;
    if (!node.IsSequence()) {
        this->fault(field, "must be a list");
        return;
    }
    for (const auto& item : node) {
        if (item.IsScalar())
            values.push_back(item.as<std::string>());
        else
            this->fault(field, "items must be scalars");
    }
}

auto YamlReader::child(std::string_view field) -> YAML::Node
{
    this->knownFields.emplace_back(field);
    if (!this->map.IsMap())
        return YAML::Node(YAML::NodeType::Undefined);
    const auto& constMap = this->map;
    return constMap[std::string { field }];
}

auto YamlReader::pathOf(std::string_view field) const -> std::string
{
    if (this->path.empty())
        return std::string { field };
    return this->path + "." + std::string { field };
}

auto YamlReader::fault(std::string_view field, std::string reason) -> void
{
    auto line = this->map.Mark().line + 1;
    if (this->map.IsMap()) {
        const auto& constMap = this->map;
        const auto node = constMap[std::string { field }];
        if (node.IsDefined())
            line = node.Mark().line + 1;
    }
    this->faults->push_back({ line, this->pathOf(field), std::move(reason) });
}

auto YamlReader::finish() -> void
{
    if (!this->map.IsMap())
        return;
    for (const auto& entry : this->map) {
        const auto name = entry.first.as<std::string>();
        if (std::ranges::find(this->knownFields, name) != this->knownFields.end())
            continue;
        const auto nearest = std::ranges::min_element(
            this->knownFields, {}, [&](const std::string& candidate) { return editDistance(name, candidate); });
        this->faults->push_back({ entry.first.Mark().line + 1, this->pathOf(name),
            "is not a known field; the nearest is '" + *nearest + "'" });
    }
}

} // namespace citronloft
