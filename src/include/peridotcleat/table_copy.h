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
///
/// Pages must continue where the last one ended and come from a table at least as new as the one that sent
/// the pages staged so far: an older table may lack changes below the staged position. A page from an older
/// table that is newer than the copy discards the staged pages, so that a node whose only parent lags still
/// gets on.
class table_copy {
public:
    /// Fills revision, position, full and digest of a pull request.
    void fill_request(wire::pull_request& request) const;
    /// Takes one page. Services touched by an applied delta are appended to `touched`, each once.
    page_outcome process_page(const wire::table_page& page, std::vector<service_id>& changed_services);

    /// The table in force on this node.
    [[nodiscard]] const table_state& table() const noexcept { return table_; }

private:
    void restart_pull(bool full);
    void stage(const wire::table_page& page);
    page_outcome complete(const wire::table_page& page, std::vector<service_id>& changed_services);
    bool apply_full(const wire::table_page& page, std::vector<service_id>& changed_services);
    void apply_delta(const wire::table_page& page, std::vector<service_id>& changed_services);

    table_state table_;
    table_state::object_changes staged_;
    /// Revision of the newest table that sent a staged page.
    revision staged_revision_;
    /// Where the next page must start.
    wire::cursor position_;
    /// True if the staged pages belong to a full table.
    bool full_ = false;
};

}  // namespace peridotcleat
