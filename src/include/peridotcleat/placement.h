#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <variant>

namespace peridotcleat {

/// What the owner of a bucket knows when it places a new flow. Loads are flows held per weight, times 1000.
struct placement_view {
    std::int64_t own_load = 0;
    /// False if the owner drains or has no connection left.
    bool own_accepts = true;
    bool has_second = false;
    /// Last known load of the second candidate; none until it was heard, which proves that it is serving.
    std::optional<std::int64_t> second_load;
};

/// Decides whether a new flow is offered to the second candidate before the owner takes it.
template <class T>
concept placement_policy = requires(const T& policy, const placement_view& view)
{
    {
        policy.should_offer(view)
        } -> std::same_as<bool>;
};

/// Offers a flow to the second candidate when its load is lower than the owner's. A candidate that was never
/// heard may not have its table yet, and an offer to it can only be withdrawn by its leaving.
struct two_candidates {
    [[nodiscard]] bool should_offer(const placement_view& view) const noexcept
    {
        return view.has_second &&
               (!view.own_accepts || (view.second_load && *view.second_load < view.own_load));
    }
};

/// Keeps each flow at the bucket's owner unless the owner accepts none.
struct owner_only {
    [[nodiscard]] bool should_offer(const placement_view& view) const noexcept
    {
        return view.has_second && !view.own_accepts;
    }
};

static_assert(placement_policy<two_candidates>);
static_assert(placement_policy<owner_only>);

/// The policies that the setting `placement` of a service can name.
using placement = std::variant<two_candidates, owner_only>;

/// Applies the chosen policy.
template <placement_policy... Policies>
[[nodiscard]] bool should_offer(const std::variant<Policies...>& chosen, const placement_view& view) noexcept
{
    return std::visit([&view](const auto& policy) { return policy.should_offer(view); }, chosen);
}

}  // namespace peridotcleat
