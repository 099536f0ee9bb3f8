#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <variant>

namespace peridotcleat {

/// What the owner of a bucket knows when it places a new flow. A load is the number of held flows divided by
/// the target's weight, times 1000.
struct placement_view {
    std::int64_t own_load = 0;
    /// False if the owner drains or has reached its connection limit.
    bool own_accepts = true;
    /// There is a second candidate.
    bool has_second = false;
    /// Last reported load of the second candidate. Unset until the candidate has sent a message, which proves
    /// that it has its table. Unset again while the candidate does not reply to offers.
    std::optional<std::int64_t> second_load;
};

/// Decides whether the owner of a bucket offers a new flow to the second candidate before accepting it.
template <class T>
concept placement_policy = requires(const T& policy, const placement_view& view)
{
    {
        policy.should_offer(view)
        } -> std::same_as<bool>;
};

/// Offers a flow to the second candidate if the candidate's load is lower than the owner's, or if the owner
/// accepts no flow. A candidate without a reported load may not have its table yet and gets an offer only in
/// the second case, because an offer cannot be withdrawn before the candidate has left the table.
struct two_candidates {
    [[nodiscard]] bool should_offer(const placement_view& view) const noexcept
    {
        return view.has_second &&
               (!view.own_accepts || (view.second_load && *view.second_load < view.own_load));
    }
};

/// Offers a flow to the second candidate only if the owner accepts no flow.
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
