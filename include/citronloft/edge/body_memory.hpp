/// @file
/// @brief Bound on the memory that the bodies of a host's messages take together.
#pragma once

#include <cstddef>
#include <memory>

namespace citronloft {

/// @brief Memory for message bodies, shared by all connections that hold a reservation of it.
class BodyMemory {
public:
    /// @param limitBytes maximum sum of the reservations.
    explicit BodyMemory(std::size_t limitBytes)
        : limitBytes(limitBytes)
    {
    }

    [[nodiscard]] auto usedBytes() const -> std::size_t { return this->used; }
    [[nodiscard]] auto limit() const -> std::size_t { return this->limitBytes; }

private:
    friend class BodyReservation;

    std::size_t limitBytes;
    std::size_t used = 0;
};

/// @brief The memory that one message's body takes; it is returned when the reservation is destroyed.
class BodyReservation {
public:
    /// Bytes of each body that are not counted, so that ordinary messages pass while large ones take all memory.
    static constexpr auto uncountedBytes = std::size_t { 16 } * 1024;

    /// @param memory null: nothing is bounded.
    explicit BodyReservation(std::shared_ptr<BodyMemory> memory)
        : memory(std::move(memory))
    {
    }
    ~BodyReservation() { this->resize(0); }
    BodyReservation(const BodyReservation&) = delete;
    auto operator=(const BodyReservation&) -> BodyReservation& = delete;

    /// @brief Sets the size of the body.
    /// @return whether there is room for it; if not, the reservation does not change.
    auto resize(std::size_t bodyBytes) -> bool;

private:
    std::shared_ptr<BodyMemory> memory;
    std::size_t reserved = 0;
};

} // namespace citronloft
