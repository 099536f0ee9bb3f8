#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <vector>

#include "peridotcleat/message.h"

namespace peridotcleat::pvt {

/// Returns true if `m` has a vote in the list that is replaced by the joint list which contains `m`.
[[nodiscard]] inline bool is_former_voter(const wire::member& m)
{
    return m.__isset.former_voter && m.former_voter;
}

[[nodiscard]] inline bool has_vote(const wire::member& m) { return m.voter || is_former_voter(m); }

/// Returns true if `members` is a joint list, which replaces several voters at once: a quorum needs a
/// majority of its voters and also a majority of its former voters.
[[nodiscard]] inline bool is_joint(const std::vector<wire::member>& members)
{
    return std::ranges::any_of(members, is_former_voter);
}

/// Returns the highest value that a quorum of `members` has reached. `value_of` gives the value of a member.
/// There must be a voter.
template <class T, class F>
[[nodiscard]] T quorum_value(const std::vector<wire::member>& members, F value_of)
{
    const auto majority_value = [&](auto in_list) {
        std::vector<T> values;
        values.reserve(members.size());
        for (const wire::member& m : members) {
            if (in_list(m)) {
                values.push_back(value_of(m));
            }
        }
        std::ranges::sort(values, std::greater<>());
        return values[values.size() / 2];
    };
    const T reached = majority_value([](const wire::member& m) { return m.voter; });
    return is_joint(members) ? std::min(reached, majority_value(is_former_voter)) : reached;
}

/// Returns true if the members for which `is_counted` returns true are a quorum of `members`.
template <class F>
[[nodiscard]] bool is_quorum(const std::vector<wire::member>& members, F is_counted)
{
    return std::ranges::any_of(members, &wire::member::voter) &&
           quorum_value<int>(members, [&](const wire::member& m) { return is_counted(m) ? 1 : 0; }) == 1;
}

/// Returns the list that follows the joint list `list`: former voters without a vote are standby members.
[[nodiscard]] inline wire::member_list final_list(wire::member_list list)
{
    for (wire::member& m : list.members) {
        m.former_voter = false;
        m.__isset.former_voter = false;
    }
    return list;
}

}  // namespace peridotcleat::pvt
