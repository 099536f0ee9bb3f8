#include "peridotcleat/result.h"

namespace peridotcleat {

const char* to_string(error_code code) noexcept
{
    switch (code) {
    case error_code::ok: return "ok";
    case error_code::invalid_setting: return "invalid_setting";
    case error_code::unknown_setting: return "unknown_setting";
    case error_code::missing_setting: return "missing_setting";
    case error_code::address_in_use: return "address_in_use";
    case error_code::folder_not_writable: return "folder_not_writable";
    case error_code::folder_of_other_node: return "folder_of_other_node";
    case error_code::folder_of_other_cluster: return "folder_of_other_cluster";
    case error_code::log_corrupt: return "log_corrupt";
    case error_code::snapshot_corrupt: return "snapshot_corrupt";
    case error_code::sync_failed: return "sync_failed";
    case error_code::write_failed: return "write_failed";
    case error_code::message_truncated: return "message_truncated";
    case error_code::message_too_large: return "message_too_large";
    case error_code::message_malformed: return "message_malformed";
    case error_code::message_unknown_kind: return "message_unknown_kind";
    case error_code::message_unknown_protocol: return "message_unknown_protocol";
    case error_code::message_other_cluster: return "message_other_cluster";
    case error_code::description_malformed: return "description_malformed";
    case error_code::description_unknown_field: return "description_unknown_field";
    case error_code::description_invalid_value: return "description_invalid_value";
    case error_code::address_overlap: return "address_overlap";
    case error_code::address_quarantined: return "address_quarantined";
    case error_code::service_exists: return "service_exists";
    case error_code::service_unknown: return "service_unknown";
    case error_code::version_conflict: return "version_conflict";
    case error_code::patch_id_reused: return "patch_id_reused";
    case error_code::patch_empty: return "patch_empty";
    case error_code::patch_too_large: return "patch_too_large";
    case error_code::not_leader: return "not_leader";
    case error_code::no_quorum: return "no_quorum";
    case error_code::outcome_unknown: return "outcome_unknown";
    case error_code::stopped: return "stopped";
    case error_code::target_unknown: return "target_unknown";
    case error_code::join_delayed: return "join_delayed";
    case error_code::member_change_pending: return "member_change_pending";
    case error_code::member_unknown: return "member_unknown";
    case error_code::table_full: return "table_full";
    case error_code::no_slot: return "no_slot";
    case error_code::queue_full: return "queue_full";
    case error_code::deadline_exceeded: return "deadline_exceeded";
    case error_code::draining: return "draining";
    case error_code::ramping_up: return "ramping_up";
    case error_code::shed_by_upstream: return "shed_by_upstream";
    case error_code::connection_limit: return "connection_limit";
    case error_code::flow_unknown: return "flow_unknown";
    case error_code::wrong_incarnation: return "wrong_incarnation";
    case error_code::duplicate_request: return "duplicate_request";
    case error_code::wrong_service: return "wrong_service";
    case error_code::no_target: return "no_target";
    case error_code::upstream_unreachable: return "upstream_unreachable";
    case error_code::upstream_failed: return "upstream_failed";
    case error_code::cancelled: return "cancelled";
    case error_code::retry_budget_exhausted: return "retry_budget_exhausted";
    case error_code::answer_incomplete: return "answer_incomplete";
    case error_code::hop_limit: return "hop_limit";
    case error_code::handover_pending: return "handover_pending";
    case error_code::flow_limit: return "flow_limit";
    case error_code::search_limit: return "search_limit";
    case error_code::no_table: return "no_table";
    case error_code::wrong_target: return "wrong_target";
    }
    return "unknown";
}

}  // namespace peridotcleat
