#include "citronloft/edge/pool_admission.hpp"

#include "citronloft/edge/waiter.hpp"

namespace citronloft {

PoolAdmission::PoolAdmission(
    boost::asio::io_context& context, const Clock& clock, std::unique_ptr<RequestQueue> queue, TargetPool targets)
    : context(context)
    , clock(clock)
    , slots(std::move(queue), std::move(targets))
{
}

auto PoolAdmission::acquire(const SlotRequest& request, CallerContext& caller, boost::asio::yield_context yield)
    -> SlotDecision
{
    auto waiter = std::make_shared<Waiter<SlotDecision>>(this->context);
    const auto id = this->slots.acquire(
        request, this->clock.now(), [waiter](const SlotDecision& decision) { waiter->set(decision); });
    caller.onDisconnect([this, id, waiter] {
        this->slots.cancel(id);
        waiter->set({ {}, ResultCode::CallerGone });
    });
    const auto decision = waiter->wait(request.deadline, yield);
    caller.onDisconnect(nullptr);
    this->slots.cancel(id);
    return decision.value_or(SlotDecision { {}, ResultCode::DeadlineTooShort });
}

} // namespace citronloft
