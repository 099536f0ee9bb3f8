#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "peridotcleat/types.h"

namespace peridotcleat {

/// Any message between two processes of the system.
using message =
    std::variant<wire::caller_packet, wire::return_packet, wire::forwarded_packet, wire::stale_notice,
                 wire::bucket_query, wire::bucket_report, wire::place_offer, wire::place_reply,
                 wire::flow_closed, wire::load_report, wire::flow_unknown, wire::segment_forward,
                 wire::segment_report, wire::segment_load, wire::segment_query, wire::segment_answers,
                 wire::vote_request, wire::vote_reply, wire::append_request, wire::append_reply,
                 wire::snapshot_chunk, wire::snapshot_reply, wire::join_request, wire::leave_notice,
                 wire::pull_request, wire::pull_reply, wire::change_notice, wire::announce,
                 wire::announce_reply, wire::relay_report, wire::relay_report_reply>;

/// Any payload that a caller and an agent exchange inside the packets of a flow.
using caller_message =
    std::variant<wire::flow_open, wire::flow_open_ack, wire::flow_refused, wire::request, wire::response_part,
                 wire::request_result, wire::part_request, wire::request_cancel, wire::flow_close,
                 wire::flow_close_ack, wire::flow_reset, wire::push, wire::push_ack, wire::flow_keepalive,
                 wire::flow_draining>;

/// Identity of a deployment. A process refuses messages of another deployment.
using cluster_id = pvt::strong_id<struct cluster_id_tag>;

/// Largest datagram that is encoded or accepted, in bytes.
inline constexpr std::size_t max_datagram = 65000;

/// Largest body of a control message, in bytes; small enough for a datagram that no network fragments.
inline constexpr std::size_t max_control_body = 1200;

/// Encodes a message as one datagram.
std::string encode(cluster_id cluster, const message& m);
/// Encodes a message as one datagram into `out`, whose previous content is replaced and whose capacity is
/// reused.
void encode_into(cluster_id cluster, const message& m, std::string& out);

/// Decodes one datagram.
///
/// Fails with `message_truncated`, `message_too_large`, `message_malformed`, `message_unknown_kind`,
/// `message_unknown_protocol` or `message_other_cluster`.
result<message> decode(cluster_id cluster, std::string_view bytes);

/// Encodes a message between a caller and an agent as the payload of a packet.
std::string encode(const caller_message& m);

/// Decodes a message between a caller and an agent from the payload of a packet. Fails with the same codes as
/// `decode` except `message_other_cluster`, because the cluster is not checked.
result<caller_message> decode_caller(std::string_view bytes);

/// Encodes one struct without a header, for log entries and snapshots.
template <class T>
std::string encode_struct(const T& value);

/// Decodes one struct without a header. Fails with `message_malformed`.
template <class T>
result<T> decode_struct(std::string_view bytes);

extern template std::string encode_struct(const wire::change&);
extern template std::string encode_struct(const wire::member_list&);
extern template std::string encode_struct(const wire::table_snapshot&);
extern template std::string encode_struct(const wire::log_entry&);
extern template std::string encode_struct(const wire::table_page&);
extern template std::string encode_struct(const wire::service_entry&);
extern template std::string encode_struct(const wire::target&);
extern template std::string encode_struct(const wire::node&);
extern template std::string encode_struct(const wire::route_entry&);
extern template std::string encode_struct(const wire::tombstone&);
extern template std::string encode_struct(const wire::patch&);
extern template result<wire::change> decode_struct(std::string_view);
extern template result<wire::member_list> decode_struct(std::string_view);
extern template result<wire::table_snapshot> decode_struct(std::string_view);
extern template result<wire::log_entry> decode_struct(std::string_view);
extern template result<wire::table_page> decode_struct(std::string_view);
extern template result<wire::patch> decode_struct(std::string_view);

}  // namespace peridotcleat
