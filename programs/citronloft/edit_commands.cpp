#include <iostream>

#include "citronloft/base/config_edit.hpp"
#include "citronloft/base/config_file.hpp"
#include "commands.hpp"

namespace citronloft {

namespace {

/// Writes the edited text to the file if it is a valid configuration; prints its errors otherwise.
auto saveIfValid(Tool& tool, const absl::StatusOr<std::string>& edited) -> ExitCode
{
    if (!edited.ok())
        return printError(std::string { edited.status().message() }, ExitCode::Failed);
    const auto parsed = readConfig(*edited);
    for (const auto& fault : parsed.faults)
        std::cerr << formatFault(tool.file, fault) << "\n";
    if (!parsed.faults.empty())
        return ExitCode::InvalidFile;
    if (!replaceFileAtomically(tool.file, *edited))
        return printError("cannot write " + tool.file, ExitCode::Failed);
    return ExitCode::Ok;
}

auto issueKey(Tool& tool, const std::string& text) -> ExitCode
{
    const auto key = randomKey();
    const auto digest = sha256(key);
    const auto code = saveIfValid(tool, addTeamKey(text, tool.team, digest));
    if (code != ExitCode::Ok)
        return code;
    tool.print({ { "team", tool.team }, { "key", key }, { "digest", toHex(digest) } },
        key + "\nThis key is not shown again. Apply " + tool.file + " to activate it.\n");
    return ExitCode::Ok;
}

auto withdrawKey(Tool& tool, const std::string& text) -> ExitCode
{
    if (tool.arguments.size() < 2)
        return printError("key withdraw: missing argument; expected a key or its digest", ExitCode::Usage);
    const auto& key = tool.arguments[1];
    const auto digest = digestFromHex(key).value_or(sha256(key));
    const auto code = saveIfValid(tool, removeTeamKey(text, digest));
    if (code == ExitCode::Ok)
        tool.print(
            { { "digest", toHex(digest) } }, "removed from the file; apply " + tool.file + " to withdraw the key\n");
    return code;
}

} // namespace

auto runKey(Tool& tool) -> ExitCode
{
    if (tool.arguments.empty() || tool.file.empty())
        return printError("usage: 'key new --team T --file F' or 'key withdraw KEY --file F'", ExitCode::Usage);
    const auto text = readTextFile(tool.file);
    if (!text)
        return ExitCode::Usage;
    if (tool.arguments.front() == "new")
        return issueKey(tool, *text);
    if (tool.arguments.front() == "withdraw")
        return withdrawKey(tool, *text);
    return printError(
        "unknown key command '" + tool.arguments.front() + "'; expected 'new' or 'withdraw'", ExitCode::Usage);
}

auto runDrain(Tool& tool) -> ExitCode
{
    if (tool.arguments.empty() || tool.file.empty())
        return printError("usage: 'drain TARGET|ZONE --file F' or 'drain HOST --host --file F'", ExitCode::Usage);
    const auto text = readTextFile(tool.file);
    if (!text)
        return ExitCode::Usage;
    const auto& name = tool.arguments.front();
    const auto edited = tool.drainsHost ? setHostDraining(*text, name, !tool.removesDrain)
                                        : setDraining(*text, name, !tool.removesDrain);
    const auto code = saveIfValid(tool, edited);
    if (code == ExitCode::Ok)
        tool.print({ { "name", name }, { "draining", !tool.removesDrain } },
            "changed in the file; apply " + tool.file + " to activate the change\n");
    return code;
}

} // namespace citronloft
