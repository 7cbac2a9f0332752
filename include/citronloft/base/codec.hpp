/// @file
/// @brief Binary encoding of typed messages (cereal), with malformed input reported as a status.
#pragma once

#include <sstream>
#include <string>

#include <absl/status/statusor.h>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

namespace citronloft {

/// @return the encoded message.
template <typename Message> auto encode(const Message& message) -> std::string
{
    auto stream = std::ostringstream {};
    {
        auto archive = cereal::PortableBinaryOutputArchive(stream);
        archive(message);
    }
    return std::move(stream).str();
}

/// @return the message, or InvalidArgument if the bytes are not exactly one complete message.
template <typename Message> auto decode(const std::string& bytes) -> absl::StatusOr<Message>
{
    try {
        auto stream = std::istringstream { bytes };
        auto archive = cereal::PortableBinaryInputArchive(stream);
        auto message = Message {};
        archive(message);
        if (stream.peek() != std::istringstream::traits_type::eof())
            return absl::InvalidArgumentError("malformed message: unexpected bytes after its end");
        return message;
    } catch (const std::exception& error) {
        return absl::InvalidArgumentError(std::string { "malformed message: " } + error.what());
    }
}

} // namespace citronloft
