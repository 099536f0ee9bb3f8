#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "peridotcleat/answer_parts.h"

namespace peridotcleat {
namespace {

// Guards against answers that are truncated, mixed with parts of another answer or joined in the wrong order
// when parts arrive in random order.
RC_GTEST_PROP(answer_parts, an_answer_is_complete_or_absent, (const std::string& body, std::int64_t sequence))
{
    const request_id id{flow_token{5}, sequence};
    const auto part_bytes = *rc::gen::inRange<std::uint32_t>(1, 9);
    const std::int32_t count = part_count(body.size(), part_bytes);
    const std::int64_t checksum = answer_checksum(id, body);
    answer_assembly assembly;
    bool complete = false;
    const auto order = *rc::gen::container<std::vector<std::int32_t>>(rc::gen::inRange(0, count));
    for (const std::int32_t index : order) {
        complete = complete || assembly.add(id, make_part(id, body, checksum, index, part_bytes));
        // A part of the answer to another request must not be accepted; its checksum differs.
        const request_id other_id{flow_token{5}, sequence ^ 1};
        auto other_answer_part =
            make_part(other_id, body, answer_checksum(other_id, body), index, part_bytes);
        const bool accepted = !complete && assembly.add(id, other_answer_part);
        RC_ASSERT(!accepted);
        if (complete) {
            break;
        }
    }
    if (!complete && !assembly.started()) {
        complete = assembly.add(id, make_part(id, body, checksum, 0, part_bytes));
    }
    while (!complete) {
        const auto missing = assembly.missing();
        RC_ASSERT(!missing.empty());
        for (const std::int32_t index : missing) {
            complete = assembly.add(id, make_part(id, body, checksum, index, part_bytes));
        }
    }
    // RapidCheck evaluates an asserted expression twice, so the answer is taken outside of the assertion.
    const std::string answer = assembly.take();
    RC_ASSERT(answer == body);
}

}  // namespace
}  // namespace peridotcleat
