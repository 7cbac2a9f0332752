/// @file
/// @brief A list whose copies share their items until one of them is changed.
#pragma once

#include <memory>
#include <utility>
#include <vector>

namespace citronloft {

/// @brief Copy-on-write vector, for lists too long to copy with every configuration.
template <typename Item> class SharedList {
public:
    SharedList() = default;

    // NOLINTNEXTLINE(google-explicit-constructor): takes the place of a plain vector
    SharedList(std::vector<Item> list)
        : items(std::make_shared<const std::vector<Item>>(std::move(list)))
    {
    }

    [[nodiscard]] auto begin() const { return this->items->begin(); }
    [[nodiscard]] auto end() const { return this->items->end(); }
    [[nodiscard]] auto size() const -> std::size_t { return this->items->size(); }
    [[nodiscard]] auto empty() const -> bool { return this->items->empty(); }
    auto operator[](std::size_t index) const -> const Item& { return (*this->items)[index]; }

    /// @brief Changes the items through `change`, which gets a vector of its own.
    template <typename Change> auto mutate(Change change) -> void
    {
        auto copy = *this->items;
        change(copy);
        this->items = std::make_shared<const std::vector<Item>>(std::move(copy));
    }

    /// @brief Adds an item; copies all of them.
    auto push_back(Item item) -> void // NOLINT(readability-identifier-naming): name of the standard containers
    {
        this->mutate([&](std::vector<Item>& list) { list.push_back(std::move(item)); });
    }

    /// @return whether both share the same items, without comparing them.
    [[nodiscard]] auto isSameAs(const SharedList& other) const -> bool { return this->items == other.items; }

    auto operator==(const SharedList& other) const -> bool
    {
        return this->isSameAs(other) || *this->items == *other.items;
    }

private:
    std::shared_ptr<const std::vector<Item>> items = std::make_shared<const std::vector<Item>>();
};

} // namespace citronloft
