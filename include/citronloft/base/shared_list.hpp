/// @file
/// @brief A copy-on-write list.
#pragma once

#include <memory>
#include <utility>
#include <vector>

namespace citronloft {

/// @brief Copy-on-write vector, for lists that are too long to copy with each configuration.
template <typename Item> class SharedList {
public:
    SharedList() = default;

    // NOLINTNEXTLINE(google-explicit-constructor): drop-in replacement for std::vector
    SharedList(std::vector<Item> list)
        : items(std::make_shared<const std::vector<Item>>(std::move(list)))
    {
    }

    [[nodiscard]] auto begin() const { return this->items->begin(); }
    [[nodiscard]] auto end() const { return this->items->end(); }
    [[nodiscard]] auto size() const -> std::size_t { return this->items->size(); }
    [[nodiscard]] auto empty() const -> bool { return this->items->empty(); }
    auto operator[](std::size_t index) const -> const Item& { return (*this->items)[index]; }

    /// @brief Copies the items, passes the copy to `change` and replaces the items by the result.
    template <typename Change> auto mutate(Change change) -> void
    {
        auto copy = *this->items;
        change(copy);
        this->items = std::make_shared<const std::vector<Item>>(std::move(copy));
    }

    /// @brief Appends an item; copies the complete list.
    auto push_back(Item item) -> void // NOLINT(readability-identifier-naming): matches the standard containers
    {
        this->mutate([&](std::vector<Item>& list) { list.push_back(std::move(item)); });
    }

    /// @return whether both lists share the same storage; does not compare items.
    [[nodiscard]] auto sharesStorageWith(const SharedList& other) const -> bool { return this->items == other.items; }

    auto operator==(const SharedList& other) const -> bool
    {
        return this->sharesStorageWith(other) || *this->items == *other.items;
    }

private:
    std::shared_ptr<const std::vector<Item>> items = std::make_shared<const std::vector<Item>>();
};

} // namespace citronloft
