#pragma once

#include <cstdint>
#include <vector>

#include "peridotcleat/table_state.h"

namespace peridotcleat {

/// What a page did to a copy.
enum class page_outcome : std::uint8_t {
    /// Older than the copy, or not the page that was asked for; nothing changed.
    ignored,
    /// Kept until the pages are complete.
    staged,
    /// All staged pages were applied; the revision has grown.
    applied,
    /// The copy was current already.
    current,
    /// The digest differs; the copy starts over with a full table and keeps serving the old one.
    mismatch
};

/// A node's copy of the table, fed by pages of deltas. The revision only grows. Not thread-safe.
class table_copy {
public:
    /// Fills revision, position, full and digest of a pull request.
    void fill(wire::pull_request& request) const;
    /// Takes one page. Services touched by an applied delta are appended to `touched`.
    page_outcome take(const wire::table_page& page, std::vector<service_id>& touched);

    /// The table in force on this node.
    [[nodiscard]] const table_state& table() const noexcept { return table_; }

private:
    table_state table_;
};

}  // namespace peridotcleat
