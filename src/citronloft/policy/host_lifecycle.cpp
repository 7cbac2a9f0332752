#include "citronloft/policy/host_lifecycle.hpp"

#include <array>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace citronloft {

namespace {

namespace msm = boost::msm;
namespace front = boost::msm::front;

struct ConfigApplied { };
struct StopRequested { };
struct Drained { };

struct LifecycleDefinition : front::state_machine_def<LifecycleDefinition> {
    struct Joining : front::state<> { };
    struct Serving : front::state<> { };
    struct Leaving : front::state<> { };
    struct Stopped : front::state<> { };

    using initial_state = Joining; // NOLINT(readability-identifier-naming): name required by the library

    template <typename From, typename Event, typename To> using Row = front::Row<From, Event, To>;

    // NOLINTNEXTLINE(readability-identifier-naming): name required by the library
    struct transition_table
        : boost::mpl::vector<Row<Joining, ConfigApplied, Serving>, Row<Joining, StopRequested, Leaving>,
              Row<Serving, StopRequested, Leaving>, Row<Leaving, Drained, Stopped>> { };

    template <typename Machine, typename Event> auto no_transition(const Event&, Machine&, int) -> void { }
};

class MsmHostLifecycle final : public HostLifecycle {
public:
    MsmHostLifecycle() { this->machine.start(); }

    auto process(HostEvent event) -> void override
    {
        using Handler = void (MsmHostLifecycle::*)();
        constexpr auto handlers = std::to_array<Handler>({ &MsmHostLifecycle::feed<ConfigApplied>,
            &MsmHostLifecycle::feed<StopRequested>, &MsmHostLifecycle::feed<Drained> });
        (this->*handlers.at(static_cast<std::size_t>(event)))();
    }

    /// State ids follow the order in which states first appear in the transition table, which matches the enumeration.
    [[nodiscard]] auto state() const -> HostState override
    {
        return static_cast<HostState>(this->machine.current_state()[0]);
    }

private:
    template <typename Event> auto feed() -> void { this->machine.process_event(Event {}); }

    msm::back::state_machine<LifecycleDefinition> machine;
};

} // namespace

auto makeHostLifecycle() -> std::unique_ptr<HostLifecycle> { return std::make_unique<MsmHostLifecycle>(); }

auto hostStateName(HostState state) -> std::string_view
{
    constexpr auto names = std::to_array<std::string_view>({ "joining", "serving", "leaving", "stopped" });
    return names.at(static_cast<std::size_t>(state));
}

} // namespace citronloft
