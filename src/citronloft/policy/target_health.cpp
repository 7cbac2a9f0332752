#include "citronloft/policy/target_health.hpp"

#include <array>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace citronloft {

namespace {

namespace msm = boost::msm;
namespace front = boost::msm::front;

struct Answered { };
struct RampDone { };
struct Failed { };
struct ProbeOk { };
struct DrainStart { };
struct DrainEnd { };

struct HealthDefinition : front::state_machine_def<HealthDefinition> {
    struct Probing : front::state<> { };
    struct Ramping : front::state<> { };
    struct Healthy : front::state<> { };
    struct Ejected : front::state<> { };
    struct Draining : front::state<> { };

    using initial_state = Probing; // NOLINT(readability-identifier-naming): name required by the library

    template <typename From, typename Event, typename To> using Row = front::Row<From, Event, To>;

    // NOLINTNEXTLINE(readability-identifier-naming): name required by the library
    struct transition_table
        : boost::mpl::vector<Row<Probing, Answered, Ramping>, Row<Probing, ProbeOk, Ramping>,
              Row<Probing, Failed, Ejected>, Row<Probing, DrainStart, Draining>, Row<Ramping, RampDone, Healthy>,
              Row<Ramping, Failed, Ejected>, Row<Ramping, DrainStart, Draining>, Row<Healthy, Failed, Ejected>,
              Row<Healthy, DrainStart, Draining>, Row<Ejected, ProbeOk, Ramping>, Row<Ejected, DrainStart, Draining>,
              Row<Draining, DrainEnd, Probing>> { };

    template <typename Machine, typename Event> auto no_transition(const Event&, Machine&, int) -> void { }
};

using HealthMachine = msm::back::state_machine<HealthDefinition>;

class MsmTargetHealth final : public TargetHealth {
public:
    MsmTargetHealth() { this->machine.start(); }

    auto process(TargetEvent event) -> void override
    {
        using Handler = void (MsmTargetHealth::*)();
        constexpr auto handlers = std::to_array<Handler>({ &MsmTargetHealth::feed<Answered>,
            &MsmTargetHealth::feed<RampDone>, &MsmTargetHealth::feed<Failed>, &MsmTargetHealth::feed<ProbeOk>,
            &MsmTargetHealth::feed<DrainStart>, &MsmTargetHealth::feed<DrainEnd> });
        (this->*handlers.at(static_cast<std::size_t>(event)))();
    }

    /// State ids follow the order in which states first appear in the transition table, which matches the enumeration.
    [[nodiscard]] auto state() const -> TargetState override
    {
        return static_cast<TargetState>(this->machine.current_state()[0]);
    }

private:
    template <typename Event> auto feed() -> void { this->machine.process_event(Event {}); }

    HealthMachine machine;
};

} // namespace

auto makeTargetHealth() -> std::unique_ptr<TargetHealth> { return std::make_unique<MsmTargetHealth>(); }

auto targetStateName(TargetState state) -> std::string_view
{
    constexpr auto names = std::to_array<std::string_view>({ "probing", "ramping", "healthy", "ejected", "draining" });
    return names.at(static_cast<std::size_t>(state));
}

} // namespace citronloft
