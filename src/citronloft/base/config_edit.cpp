#include "citronloft/base/config_edit.hpp"

#include <optional>

#include <yaml-cpp/yaml.h>

namespace citronloft {

namespace {

/// Returns the first item of the list `section` whose `field` equals `value`.
auto findItem(const YAML::Node& section, const std::string& field, const std::string& value)
    -> std::optional<YAML::Node>
{
    if (!section.IsSequence())
        return std::nullopt;
    for (const auto& item : section) {
        if (item.IsMap() && item[field].IsScalar() && item[field].as<std::string>() == value)
            return item;
    }
    return std::nullopt;
}

auto findTarget(const YAML::Node& root, const std::string& address) -> std::optional<YAML::Node>
{
    if (!root["pools"].IsSequence())
        return std::nullopt;
    for (const auto& pool : root["pools"]) {
        if (const auto target = findItem(pool["targets"], "address", address))
            return target;
    }
    return std::nullopt;
}

auto endOfLine(const std::string& text, std::size_t position) -> std::size_t
{
    return std::min(text.find('\n', position), text.size());
}

/// Inserts `field` (the text "name: value") into a map after the scalar `after`, in the flow or block style of the map.
auto insertField(std::string text, const YAML::Node& map, const YAML::Node& after, const std::string& field)
    -> std::string
{
    const auto afterPosition = static_cast<std::size_t>(after.Mark().pos);
    if (map.Style() == YAML::EmitterStyle::Flow) {
        const auto end = text.find_first_of(",}", afterPosition);
        return text.insert(end, ", " + field);
    }
    // All keys of a block map start at the column of the map.
    const auto indent = std::string(static_cast<std::size_t>(map.Mark().column), ' ');
    return text.insert(endOfLine(text, afterPosition), "\n" + indent + field);
}

/// Removes an item from a list: its complete line in a block list, the item with one comma in a flow list.
auto removeListItem(const std::string& text, std::size_t begin, std::size_t length) -> std::string
{
    auto edited = text;
    const auto lineStart = text.rfind('\n', begin);
    const auto lineBegin = lineStart == std::string::npos ? 0 : lineStart + 1;
    const auto linePrefix = text.substr(lineBegin, begin - lineBegin);
    if (linePrefix.find_first_not_of(" -") == std::string::npos && linePrefix.find('-') != std::string::npos)
        return edited.erase(lineBegin, endOfLine(text, begin) + 1 - lineBegin);
    auto end = begin + length;
    if (text.compare(end, 2, ", ") == 0)
        end += 2;
    else if (begin >= 2 && text.compare(begin - 2, 2, ", ") == 0)
        begin -= 2;
    return edited.erase(begin, end - begin);
}

} // namespace

auto addTeamKey(const std::string& text, const std::string& team, const Digest& digest) -> absl::StatusOr<std::string>
{
    const auto root = YAML::Load(text);
    const auto item = findItem(root["teams"], "name", team);
    if (!item)
        return absl::NotFoundError("team '" + team + "' is not defined in the file");
    const auto hex = toHex(digest);
    const auto keys = (*item)["keys"];
    if (!keys.IsDefined() || keys.IsNull())
        return insertField(text, *item, (*item)["name"], "keys: [" + hex + "]");
    auto edited = text;
    const auto position = static_cast<std::size_t>(keys.Mark().pos);
    if (keys.Style() == YAML::EmitterStyle::Flow)
        return edited.insert(position + 1, hex + (keys.size() == 0 ? "" : ", "));
    const auto indent = std::string(static_cast<std::size_t>(keys.Mark().column), ' ');
    return edited.insert(position, "- " + hex + "\n" + indent);
}

auto removeTeamKey(const std::string& text, const Digest& digest) -> absl::StatusOr<std::string>
{
    const auto hex = toHex(digest);
    const auto position = text.find(hex);
    if (position == std::string::npos)
        return absl::NotFoundError("the file does not contain the digest of the key");
    return removeListItem(text, position, hex.size());
}

auto setHostDraining(const std::string& text, const std::string& address, bool draining) -> absl::StatusOr<std::string>
{
    const auto root = YAML::Load(text);
    const auto list = root["draining_hosts"];
    const auto quoted = "\"" + address + "\"";
    auto edited = text;
    if (draining && !list.IsDefined())
        return edited + (text.ends_with('\n') ? "" : "\n") + "draining_hosts: [" + quoted + "]\n";
    if (draining && list.Style() == YAML::EmitterStyle::Flow)
        return edited.insert(static_cast<std::size_t>(list.Mark().pos) + 1, quoted + (list.size() == 0 ? "" : ", "));
    if (draining) {
        const auto indent = std::string(static_cast<std::size_t>(list.Mark().column), ' ');
        return edited.insert(static_cast<std::size_t>(list.Mark().pos), "- " + quoted + "\n" + indent);
    }
    const auto position = list.IsDefined() ? text.find(address, static_cast<std::size_t>(list.Mark().pos)) : text.npos;
    if (position == std::string::npos)
        return absl::NotFoundError("host '" + address + "' is not listed in draining_hosts");
    const auto isQuoted = position > 0 && (text[position - 1] == '"' || text[position - 1] == '\'');
    return removeListItem(text, position - (isQuoted ? 1 : 0), address.size() + (isQuoted ? 2 : 0));
}

auto setDraining(const std::string& text, const std::string& name, bool draining) -> absl::StatusOr<std::string>
{
    const auto root = YAML::Load(text);
    auto item = findTarget(root, name);
    const auto isTarget = item.has_value();
    if (!item)
        item = findItem(root["zones"], "name", name);
    if (!item)
        return absl::NotFoundError("no target with address or zone with name '" + name + "' in the file");
    const auto value = std::string { draining ? "true" : "false" };
    const auto field = (*item)["draining"];
    if (!field.IsDefined())
        return insertField(text, *item, (*item)[isTarget ? "address" : "name"], "draining: " + value);
    auto edited = text;
    return edited.replace(static_cast<std::size_t>(field.Mark().pos), field.Scalar().size(), value);
}

} // namespace citronloft
