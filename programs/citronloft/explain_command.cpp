#include <iomanip>
#include <sstream>

#include "commands.hpp"

namespace citronloft {

namespace {

constexpr auto explainTimeout = std::chrono::milliseconds { 2000 };

/// @return the body that asks for an explanation; nothing, after an error message, if a header is malformed. The
/// message does not quote the header, which may contain a key.
auto makeQuestion(const Tool& tool) -> std::optional<std::string>
{
    auto headers = nlohmann::json::array();
    for (const auto& text : tool.headers) {
        const auto colon = text.find(':');
        if (colon == std::string::npos || colon == 0) {
            printError("--header is malformed; expected \"Name: value\"", ExitCode::Usage);
            return std::nullopt;
        }
        const auto first = text.find_first_not_of(" \t", colon + 1);
        const auto last = text.find_last_not_of(" \t");
        const auto value = first == std::string::npos ? std::string {} : text.substr(first, last + 1 - first);
        headers.push_back({ { "name", text.substr(0, colon) }, { "value", value } });
    }
    const auto question
        = nlohmann::json { { "method", tool.arguments[0] }, { "url", tool.arguments[1] }, { "headers", headers } };
    return question.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto ask(Tool& tool, const Address& address, std::string question) -> Exchange
{
    auto client = makeHttpClient(tool.context, tool.clock);
    auto request = HttpRequest { "POST", "/explain", {}, std::move(question) };
    request.fields.set("Content-Type", "application/json");
    auto exchange = Exchange {};
    tool.run([&](boost::asio::yield_context yield) {
        exchange = client->exchange(address, request, { .deadline = tool.clock.now() + explainTimeout }, yield);
    });
    return exchange;
}

auto textOf(const nlohmann::json& value, const std::string& ifNull) -> std::string
{
    return value.is_string() ? value.get<std::string>() : value.is_null() ? ifNull : value.dump();
}

auto describeRate(const nlohmann::json& rate) -> std::string
{
    if (!rate.is_object())
        return "not limited";
    auto text = std::ostringstream {};
    text << std::fixed << std::setprecision(1) << rate.value("tokens", 0.0) << " tokens on this host, "
         << rate.value("host_per_second", 0.0) << " of " << rate.value("fleet_per_second", 0.0) << " per second; "
         << (rate.value("has_token", false) ? "a token is available" : "no token is available now");
    return text.str();
}

auto describeRegions(const nlohmann::json& regions) -> std::string
{
    auto text = std::string {};
    for (const auto& region : regions)
        text += (text.empty() ? "" : ", ") + region.get<std::string>();
    return text.empty() ? "all" : text;
}

auto describeTarget(const nlohmann::json& target, const nlohmann::json& chosen) -> std::string
{
    auto text = std::ostringstream {};
    const auto skipped = textOf(target["skipped"], target["key"] == chosen ? "chosen" : "candidate");
    text << "  " << std::left << std::setw(22) << skipped << " " << target["key"].get<std::string>() << " "
         << target["address"].get<std::string>() << " zone " << target["zone"].get<std::string>() << " region "
         << textOf(target["region"], "") << std::fixed << std::setprecision(3) << " weight "
         << target["weight"].get<double>() << " load " << target["load"].get<double>() << " "
         << target["state"].get<std::string>() << "\n";
    return text.str();
}

auto describePool(const nlohmann::json& pool) -> std::string
{
    auto text = "pool     " + pool["pool"].get<std::string>() + " (weight " + pool["weight"].dump() + ", "
        + pool["queued"].dump() + " queued): " + textOf(pool["outcome"], "");
    if (pool["refusal"].is_string())
        text += ", " + pool["refusal"].get<std::string>();
    text += pool["random"] == true ? "; at random among the candidates\n" : "\n";
    for (const auto& target : pool["targets"])
        text += describeTarget(target, pool["chosen"]);
    return text;
}

auto describe(const nlohmann::json& explanation) -> std::string
{
    const auto refusal = textOf(explanation["refusal"], "");
    auto text = "outcome  " + textOf(explanation["outcome"], "") + (refusal.empty() ? "" : ": " + refusal) + "\n";
    text += "route    " + textOf(explanation["route"], "none") + "\n";
    text += "team     " + textOf(explanation["team"], "none") + "\n";
    if (explanation["pools"].empty())
        return text;
    text += "rate     " + describeRate(explanation["rate"]) + "\n";
    text += "regions  " + describeRegions(explanation["regions"]) + "\n";
    if (explanation["reaches_targets"] == false)
        text += "path     this host does not reach targets\n";
    for (const auto& pool : explanation["pools"])
        text += describePool(pool);
    return text;
}

auto printAnswer(const Tool& tool, const HttpResponse& response) -> ExitCode
{
    const auto answer = nlohmann::json::parse(response.body, nullptr, false);
    if (response.status == 400 && answer.is_object() && answer.contains("error"))
        return printError(textOf(answer["error"], ""), ExitCode::Usage);
    if (response.status != 200 || !answer.is_object() || !answer.contains("outcome"))
        return printError(tool.statusFrom + " does not answer explain; its version may be older", ExitCode::Failed);
    try {
        tool.print(answer, tool.json ? std::string {} : describe(answer));
    } catch (const nlohmann::json::exception&) {
        return printError(tool.statusFrom + " answered in another form; its version may differ", ExitCode::Failed);
    }
    return answer["outcome"] == "refused" ? ExitCode::Refused : ExitCode::Ok;
}

} // namespace

auto runExplain(Tool& tool) -> ExitCode
{
    if (tool.arguments.size() != 2)
        return printError("explain: expected a method and a URL", ExitCode::Usage);
    const auto address = parseAddress(tool.statusFrom);
    if (!address.ok())
        return printError(
            "--status-from is missing or malformed; expected the status address (IP:PORT) of a host", ExitCode::Usage);
    auto question = makeQuestion(tool);
    if (!question)
        return ExitCode::Usage;
    const auto exchange = ask(tool, *address, *std::move(question));
    if (exchange.error != ExchangeError::None)
        return printError("no answer from " + tool.statusFrom, ExitCode::Failed);
    return printAnswer(tool, exchange.response);
}

} // namespace citronloft
