#include "citronloft/edge/process_memory.hpp"

#include <array>
#include <cstdlib>

#include <fcntl.h>
#include <malloc.h>
#include <unistd.h>

namespace citronloft {

namespace {

constexpr auto mappedBlockBytes = 128 * 1024;
/// Free memory at the end of the heap that is kept.
constexpr auto keptFreeBytes = 1024 * 1024;

} // namespace

auto residentBytes() -> std::optional<std::size_t>
{
    static const auto pageBytes = static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
    const auto file = open("/proc/self/statm", O_RDONLY | O_CLOEXEC);
    if (file < 0)
        return std::nullopt;
    auto text = std::array<char, 128> {};
    const auto size = read(file, text.data(), text.size() - 1);
    close(file);
    if (size <= 0)
        return std::nullopt;
    // The first number is the size of the address space, the second the resident part of it, in pages.
    char* end = nullptr;
    std::strtoull(text.data(), &end, 10);
    const auto pages = std::strtoull(end, nullptr, 10);
    return pages > 0 ? std::optional { pages * pageBytes } : std::nullopt;
}

auto returnLargeBlocksWhenFreed() -> void
{
    mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    mallopt(M_TRIM_THRESHOLD, keptFreeBytes);
}

auto returnFreeMemory() -> void { malloc_trim(0); }

} // namespace citronloft
