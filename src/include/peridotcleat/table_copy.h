#pragma once

#include <cstdint>
#include <vector>

#include "peridotcleat/table_state.h"

namespace peridotcleat {

/// Effect of a page on a copy.
enum class page_outcome : std::uint8_t {
    /// The page is older than the copy, or is not the requested page; the table did not change. A page that
    /// starts at the expected position, but comes from a table older than the staged pages, also discards
    /// these.
    ignored,
    /// The page is kept until all pages have arrived.
    staged,
    /// All staged pages were applied; the copy now has the revision of the page.
    applied,
    /// The copy already had the revision of the page.
    current,
    /// The table that the staged pages give does not have the digest that the last page states. The copy
    /// discards the staged pages, requests a full table and keeps the old table in force meanwhile.
    mismatch
};

/// The copy of the table in a node, which is a balancer or an agent, updated by pages of full tables and of
/// deltas. The parent of the copy is the control process or node that answers its pull requests. The revision
/// never decreases. Not thread-safe.
///
/// A page must start where the previous one ended and come from a table at least as new as the tables that
/// sent the pages staged so far: an older table may lack changes below the staged position. A page at the
/// expected position from a table that is older than the staged pages but not older than the copy discards
/// the staged pages, so that a node whose only remaining parent lags still makes progress. The first page of
/// a full table that was not requested discards staged pages of a delta if its table is newer than the copy:
/// a parent sends it if the copy is older than the horizon of the parent.
class table_copy {
public:
    /// Sets the fields `revision`, `position`, `full` and `digest` of a pull request.
    void fill_request(wire::pull_request& request) const;
    /// Checks and stages one page, and applies all staged pages if it is the last one. Then appends the
    /// services whose targets or settings may differ to `changed_services`, each once.
    page_outcome process_page(const wire::table_page& page, std::vector<service_id>& changed_services);

    /// Returns the table in force on this node.
    [[nodiscard]] const table_state& table() const noexcept { return table_; }

private:
    void restart_pull(bool full);
    void stage(const wire::table_page& page);
    page_outcome complete(const wire::table_page& page, std::vector<service_id>& changed_services);
    bool apply_full(const wire::table_page& page, std::vector<service_id>& changed_services);
    void apply_delta(const wire::table_page& page, std::vector<service_id>& changed_services);

    table_state table_;
    table_state::object_changes staged_;
    /// Revision of the table that sent the last staged page, the highest of all staged pages.
    revision staged_revision_;
    /// Position at which the next page must start.
    wire::cursor position_;
    /// True if the staged pages belong to a full table.
    bool full_ = false;
};

}  // namespace peridotcleat
