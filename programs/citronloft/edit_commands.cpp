#include <iostream>

#include "citronloft/base/config_edit.hpp"
#include "citronloft/base/config_file.hpp"
#include "commands.hpp"

namespace citronloft {

namespace {

/// Writes the edited file only if it is a valid configuration.
auto saveEdited(Tool& tool, const absl::StatusOr<std::string>& edited) -> ExitCode
{
    if (!edited.ok())
        return complain(std::string { edited.status().message() }, ExitCode::Failed);
    const auto reading = readConfig(*edited);
    for (const auto& fault : reading.faults)
        std::cerr << formatFault(tool.file, fault) << "\n";
    if (!reading.faults.empty())
        return ExitCode::InvalidFile;
    if (!replaceTextFile(tool.file, *edited))
        return complain("can't write " + tool.file, ExitCode::Failed);
    return ExitCode::Ok;
}

auto newKey(Tool& tool, const std::string& text) -> ExitCode
{
    const auto key = randomKey();
    const auto digest = sha256(key);
    const auto code = saveEdited(tool, addTeamKey(text, tool.team, digest));
    if (code != ExitCode::Ok)
        return code;
    tool.print({ { "team", tool.team }, { "key", key }, { "digest", toHex(digest) } },
        key + "\nThis key is shown once. Apply " + tool.file + " to put it in force.\n");
    return ExitCode::Ok;
}

auto withdrawKey(Tool& tool, const std::string& text) -> ExitCode
{
    if (tool.arguments.size() < 2)
        return complain("key withdraw needs the key or its digest", ExitCode::Usage);
    const auto& key = tool.arguments[1];
    const auto digest = digestFromHex(key).value_or(sha256(key));
    const auto code = saveEdited(tool, removeTeamKey(text, digest));
    if (code == ExitCode::Ok)
        tool.print({ { "digest", toHex(digest) } }, "removed; apply " + tool.file + " to withdraw the key\n");
    return code;
}

} // namespace

auto runKey(Tool& tool) -> ExitCode
{
    if (tool.arguments.empty() || tool.file.empty())
        return complain("use 'key new --team T --file F' or 'key withdraw KEY --file F'", ExitCode::Usage);
    const auto text = readTextFile(tool.file);
    if (!text)
        return ExitCode::Usage;
    if (tool.arguments.front() == "new")
        return newKey(tool, *text);
    if (tool.arguments.front() == "withdraw")
        return withdrawKey(tool, *text);
    return complain("unknown key command '" + tool.arguments.front() + "'", ExitCode::Usage);
}

auto runDrain(Tool& tool) -> ExitCode
{
    if (tool.arguments.empty() || tool.file.empty())
        return complain("use 'drain TARGET|ZONE --file F' or 'drain HOST --host --file F'", ExitCode::Usage);
    const auto text = readTextFile(tool.file);
    if (!text)
        return ExitCode::Usage;
    const auto& name = tool.arguments.front();
    const auto edited = tool.isHost ? setHostDraining(*text, name, !tool.undo) : setDraining(*text, name, !tool.undo);
    const auto code = saveEdited(tool, edited);
    if (code == ExitCode::Ok)
        tool.print(
            { { "name", name }, { "draining", !tool.undo } }, "set; apply " + tool.file + " to put it in force\n");
    return code;
}

} // namespace citronloft
