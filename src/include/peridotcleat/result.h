#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <variant>

namespace peridotcleat {

/// Numbered result codes. The numbers are stable; `docs/errors.md` has a row for each.
enum class error_code : std::uint16_t {
    ok = 0,

    // 100 to 199: settings and command line
    invalid_setting = 100,
    unknown_setting = 101,
    missing_setting = 102,
    address_in_use = 103,

    // 200 to 299: data folder
    folder_not_writable = 200,
    folder_of_other_node = 201,
    folder_of_other_cluster = 202,
    log_corrupt = 203,
    snapshot_corrupt = 204,
    sync_failed = 205,
    write_failed = 206,

    // 300 to 399: messages
    message_truncated = 300,
    message_too_large = 301,
    message_malformed = 302,
    message_unknown_kind = 303,
    message_unknown_protocol = 304,
    message_other_cluster = 305,

    // 400 to 499: patches and descriptions
    description_malformed = 400,
    description_unknown_field = 401,
    description_invalid_value = 402,
    address_overlap = 403,
    address_quarantined = 404,
    service_exists = 405,
    service_unknown = 406,
    version_conflict = 407,
    patch_id_reused = 408,
    patch_empty = 409,
    patch_too_large = 410,

    // 500 to 599: replication and membership
    not_leader = 500,
    no_quorum = 501,
    outcome_unknown = 502,
    stopped = 503,
    target_unknown = 504,
    join_delayed = 505,
    member_change_pending = 506,
    member_unknown = 507,
    table_full = 508,

    // 600 to 699: flows and requests
    no_slot = 600,
    queue_full = 601,
    deadline_exceeded = 602,
    draining = 603,
    ramping_up = 604,
    shed_by_upstream = 605,
    connection_limit = 606,
    flow_unknown = 607,
    wrong_incarnation = 608,
    duplicate_request = 609,
    wrong_service = 610,
    no_target = 611,
    upstream_unreachable = 612,
    upstream_failed = 613,
    cancelled = 614,
    retry_budget_exhausted = 615,
    answer_incomplete = 616,
    hop_limit = 617,
    handover_pending = 618,
    flow_limit = 619,
    search_limit = 620,
    no_table = 621,
    wrong_target = 622,
};

/// Returns the stable name of `code`, as used in logs, counters and docs.
const char* to_string(error_code code) noexcept;

/// A failure: a numbered code and a message that names the value at fault.
struct error {
    error_code code = error_code::ok;
    std::string message;

    bool operator==(const error&) const = default;
};

/// Either a value or an error.
template <class T>
using result = std::variant<T, error>;

/// The value of a `result` that carries no data.
using success = std::monostate;

/// Returns true if `r` holds a value.
template <class T>
[[nodiscard]] bool has_value(const result<T>& r) noexcept
{
    return r.index() == 0;
}

/// Returns the value of `r`. Throws `std::bad_variant_access` if `r` holds an error.
template <class T>
[[nodiscard]] T& value(result<T>& r)
{
    return std::get<0>(r);
}

/// Returns the value of `r`. Throws `std::bad_variant_access` if `r` holds an error.
template <class T>
[[nodiscard]] const T& value(const result<T>& r)
{
    return std::get<0>(r);
}

/// Returns the value of `r`. Throws `std::bad_variant_access` if `r` holds an error.
template <class T>
[[nodiscard]] T value(result<T>&& r)
{
    return std::get<0>(std::move(r));
}

/// Returns the error of `r`. Throws `std::bad_variant_access` if `r` holds a value.
template <class T>
[[nodiscard]] const error& failure(const result<T>& r)
{
    return std::get<1>(r);
}

}  // namespace peridotcleat
