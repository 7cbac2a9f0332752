#include "citronloft/edge/response_field_log.hpp"

#include "citronloft/base/log.hpp"

namespace citronloft {

auto ResponseFieldLog::record(std::string_view target, const HeaderFields& fields) -> void
{
    if (this->names.size() >= this->maxNames)
        return;
    for (const auto& field : fields) {
        if (this->names.contains(field.name))
            continue;
        if (this->names.size() >= this->maxNames)
            return;
        this->names.insert(field.name);
        LogEvent(LogLevel::Info, "response-field-seen").with("name", field.name).with("target", target);
    }
}

} // namespace citronloft
