#include "peridotcleat/change_assembler.h"

#include <utility>

#include "peridotcleat/replica_log.h"

namespace peridotcleat::pvt {

std::optional<std::string> change_assembler::add(const wire::log_entry& entry)
{
    // A leader appends all entries of a change at once, so an entry of another term or kind after a part
    // shows that only the first parts of that change were committed.
    if (entry.term != term_ || (entry.kind != kind_part && entry.kind != kind_change)) {
        parts_.clear();
    }
    term_ = entry.term;
    if (entry.kind == kind_part) {
        parts_ += entry.data;
        return std::nullopt;
    }
    return entry.kind == kind_change ? std::optional(std::exchange(parts_, {}) + entry.data) : std::nullopt;
}

}  // namespace peridotcleat::pvt
