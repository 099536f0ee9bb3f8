#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "peridotcleat/answer_parts.h"

namespace peridotcleat {
namespace {

// Guards against answers that are cut, mixed up or joined in the wrong order, whatever the order of parts.
RC_GTEST_PROP(answer_parts, an_answer_is_whole_or_absent, (const std::string& body, std::int64_t sequence))
{
    const request_name name{flow_token{5}, sequence};
    const auto part_bytes = *rc::gen::inRange<std::uint32_t>(1, 9);
    const std::int32_t count = part_count(body.size(), part_bytes);
    const std::int64_t checksum = answer_checksum(name, body);
    answer_assembly assembly;
    bool whole = false;
    const auto order = *rc::gen::container<std::vector<std::int32_t>>(rc::gen::inRange(0, count));
    for (const std::int32_t index : order) {
        whole = whole || assembly.add(name, make_part(name, body, checksum, index, part_bytes));
        // A part of the answer to another request has another checksum.
        const request_name other{flow_token{5}, sequence ^ 1};
        auto foreign = make_part(other, body, answer_checksum(other, body), index, part_bytes);
        const bool passed = !whole && assembly.add(name, foreign);
        RC_ASSERT(!passed);
        if (whole) {
            break;
        }
    }
    if (!whole && !assembly.started()) {
        whole = assembly.add(name, make_part(name, body, checksum, 0, part_bytes));
    }
    while (!whole) {
        const auto missing = assembly.missing();
        RC_ASSERT(!missing.empty());
        for (const std::int32_t index : missing) {
            whole = assembly.add(name, make_part(name, body, checksum, index, part_bytes));
        }
    }
    // RapidCheck evaluates an asserted expression twice.
    const std::string taken = assembly.take();
    RC_ASSERT(taken == body);
}

}  // namespace
}  // namespace peridotcleat
