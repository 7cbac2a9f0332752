/// @file
/// @brief Bound on the memory that the bodies of a host's messages take together.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

#include "citronloft/policy/connection_budget.hpp"

namespace citronloft {

/// @brief Memory for message bodies, shared by all connections that hold a reservation of it.
using BodyMemory = ConnectionBudget;

/// @brief Whose body it is: responses may use memory that requests may not.
enum class BodyKind : std::uint8_t { Request, Response };

/// @brief The memory that one message's body takes; it is returned when the reservation is destroyed.
class BodyReservation {
public:
    /// Bytes of each body that are not counted, so that ordinary messages pass while large ones take all memory.
    static constexpr auto uncountedBytes = std::size_t { 16 } * 1024;

    /// @param memory null: nothing is bounded.
    explicit BodyReservation(std::shared_ptr<BodyMemory> memory, BodyKind kind = BodyKind::Response)
        : memory(std::move(memory))
        , kind(kind)
    {
    }
    ~BodyReservation() { this->resize(0, 0); }
    BodyReservation(const BodyReservation&) = delete;
    auto operator=(const BodyReservation&) -> BodyReservation& = delete;

    /// @brief Sets the size of the body's buffer.
    /// @param filledBytes the part that has been written, so that it is resident.
    /// @return whether there is room for it; if not, the reservation does not change.
    auto resize(std::size_t bufferBytes, std::size_t filledBytes) -> bool;
    auto resize(std::size_t filledBytes) -> bool { return this->resize(filledBytes, filledBytes); }

    /// @return the memory that is counted.
    [[nodiscard]] auto bytes() const -> std::size_t { return this->reserved; }

private:
    std::shared_ptr<BodyMemory> memory;
    BodyKind kind;
    std::size_t reserved = 0;
    /// Part of the reserved memory that has not been written.
    std::size_t absent = 0;
};

} // namespace citronloft
