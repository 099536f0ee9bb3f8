// Messages between the processes of peridotcleat, and the payload structs that callers use.
//
// Each datagram is a `header` followed by the struct that `header.kind` stands for. Fields are only ever
// added, and a kind number is never reused. Times are in milliseconds; endpoints are IPv4
// addresses with a port.

namespace cpp peridotcleat.wire

struct header {
  1: required i16 protocol
  2: required i16 kind
  3: required i64 cluster
}

struct endpoint {
  1: required i32 address
  2: required i16 port
}

struct flow_key {
  1: required i32 source_address
  2: required i16 source_port
  3: required i32 destination_address
  4: required i16 destination_port
  5: required i8 protocol
}

// ---- Objects of the replicated table -------------------------------------------------------------

// One service. In this and the following structs, `revision` is the revision of the log entry that last
// modified the object.
struct service_entry {
  1: required i64 id
  2: required string name
  3: required list<endpoint> addresses
  4: required i64 revision
  5: optional i32 idle_timeout_ms
  6: optional i32 queue_per_slot
  7: optional i32 ramp_ms
  8: optional i32 retry_percent
  9: optional i32 placement     // 0: two candidates by load, 1: owner only
  10: optional bool retired     // not in the description, but flows of a former route to it may be open
}

// One upstream with the agent beside it. `incarnation` is the revision of the log entry by which it joined.
struct target {
  1: required i64 incarnation
  2: required i64 service_id
  3: required endpoint agent
  4: required string zone
  5: required i32 slots
  6: required i32 connections
  7: required bool draining
  8: required i64 nonce
  9: required string name
  10: required i64 revision
  11: optional bool lost        // silent for longer than its lease; gets no new flows, but may still hold open ones
}

// One registered balancer. `incarnation` is the revision of the log entry by which it joined.
struct node {
  1: required i64 incarnation
  2: required string name
  3: required string zone
  4: required endpoint control
  5: required i64 nonce
  6: required i64 revision
}

// One service to which new flows to an address may go. Its share of these flows is its weight divided by the
// sum of the weights of all services of the address.
struct route_backend {
  1: required i64 service_id
  2: required i32 weight
}

// A service that received new flows to an address until recently, and that may hold open flows to the address
// until `until_ms`.
struct route_former {
  1: required i64 service_id
  2: required i64 until_ms
}

// The services to which new flows to one address go. `id` is the address times 2^16 plus the port.
struct route_entry {
  1: required i64 id
  2: required list<route_backend> backends
  3: required i64 revision
  4: optional list<route_former> formers
}

// One removed object. `kind`: 1 service, 2 target, 3 node, 4 route.
struct tombstone {
  1: required i8 kind
  2: required i64 id
  3: required i64 revision
}

// An address that no service other than the one that had it last may use before `until_ms`.
struct quarantine {
  1: required endpoint address
  2: required i64 service_id
  3: required i64 until_ms
}

// The answer that was given to an accepted patch.
struct patch_record {
  1: required string patch_id
  2: required i64 config_version
  3: required i64 revision
  4: required i64 digest        // of the patch's content, so that an id that is reused for other content is refused
  5: optional string summary
  6: optional i64 time_ms
}

// ---- Log entries ----------------------------------------------------------------------------------

// `kind`: 1 add service, 2 change service, 3 remove service (only `name` is used).
struct patch_operation {
  1: required i8 kind
  2: required string name
  3: optional service_entry value     // id and revision are ignored
}

struct patch {
  1: required string patch_id
  2: required i64 base
  3: required list<patch_operation> operations
}

struct target_join {
  1: required target value      // incarnation and revision are set on apply
  2: optional i64 replaces      // incarnation of the previous start of the same agent
}

struct node_join {
  1: required node value
  2: optional i64 replaces
}

// In a replacement, the `service_id` of a backend is the index of the service in `replacement.services`, from
// 0.
struct replacement_route {
  1: required endpoint address
  2: required list<route_backend> backends
}

// A whole description with a version that its author chose. The description with the highest version is in
// force.
struct replacement {
  1: required i64 version
  2: required list<string> services
  3: required list<replacement_route> routes
  4: required binary document   // as the author sent it, compressed
}

// One change of the table; exactly one field besides `time_ms` is set.
struct change {
  1: required i64 time_ms
  2: optional patch new_patch
  3: optional target_join join_target
  4: optional i64 drain_target
  5: optional i64 leave_target
  6: optional node_join join_node
  7: optional i64 leave_node
  8: optional replacement replace
  9: optional i64 lose_target
}

// `kind`: 0 no-op, 1 change, 2 members of control, 3 part of a change that the next entry continues.
struct log_entry {
  1: required i64 index
  2: required i64 term
  3: required i8 kind
  4: required binary data
}

struct member {
  1: required i64 folder_id     // identity of the data folder; a new one is chosen after the disk was lost
  2: required string name
  3: required endpoint address
  4: required bool voter
  5: optional bool former_voter // in a joint list: has a vote in the list that this one replaces
}

// A list in which any member has `former_voter` set is a joint list: a quorum needs a majority of the voters and also one
// of the former voters.
struct member_list {
  1: required list<member> members
}

// The whole replicated state of control at `revision`.
struct table_snapshot {
  1: required i64 revision
  2: required i64 config_version
  3: required i64 horizon       // tombstones older than this revision have been removed
  4: required i64 next_service
  5: required list<service_entry> services
  6: required list<target> targets
  7: required list<node> nodes
  8: required list<tombstone> tombstones
  9: required list<patch_record> patches
  10: required list<quarantine> quarantined
  11: optional list<route_entry> routes
  12: optional i64 document_version
  13: optional binary document
}

// ---- Data path (kinds 1 to 19) ---------------------------------------------------------------------

// Fabric to balancer: one packet of a caller.
struct caller_packet {
  1: required flow_key key
  2: required binary payload
}

// Agent to fabric: one packet to a caller, sent from the service address.
struct return_packet {
  1: required flow_key key      // as the caller sent it; the fabric swaps the ends
  2: required binary payload
}

// Balancer to agent, or agent to agent: one packet of a caller.
struct forwarded_packet {
  1: required flow_key key
  2: required i64 service_id
  3: required i64 revision
  4: required i64 incarnation   // of the target that the packet is for
  5: required i8 hops
  6: required endpoint balancer // address to which a stale_notice is sent
  7: required binary payload
}

// Tells a node that the packets which it sends carry an old revision.
struct stale_notice {
  1: required i64 revision
}

// New owner of buckets to every target of the service: which flows in these buckets does it hold?
struct bucket_query {
  1: required i64 service_id
  2: required i64 revision
  3: required i64 owner         // incarnation
  4: required endpoint reply_to
  5: required binary buckets    // 32 bytes, one bit for each bucket
  6: required i64 query_id
}

// The answer to a bucket_query, in `pages` messages: the flows in these buckets that the target holds.
struct bucket_report {
  1: required i64 service_id
  2: required i64 revision
  3: required i64 holder        // incarnation
  4: required i64 query_id
  5: required i16 page
  6: required i16 pages
  7: required list<flow_key> flows
  8: required i64 load_permille // flows held per weight, times 1000
}

// Owner of a bucket to another target of the service: offers it a new flow.
struct place_offer {
  1: required flow_key key
  2: required i64 service_id
  3: required i64 revision
  4: required i64 owner
  5: required endpoint reply_to
  6: required i64 holder        // incarnation of the target that the offer is for
  7: required i64 load_permille // of the owner
  8: required binary payload    // the opening packet
  9: required endpoint balancer
  10: optional i64 offer_id     // copied into the reply, so that a delayed reply to an earlier offer is recognized
}

struct place_reply {
  1: required flow_key key
  2: required i64 service_id
  3: required i64 holder
  4: required bool accepted
  5: required i16 reason
  6: required i64 load_permille
  7: optional i64 offer_id
}

// Former holder of a flow to the owner of its bucket: the flow is closed.
struct flow_closed {
  1: required flow_key key
  2: required i64 service_id
  3: required i64 holder
}

// Agent to other agents of its service: the load of its target.
struct load_report {
  1: required i64 service_id
  2: required i64 holder
  3: required i64 load_permille
}

// Tells the owner that the target which its directory names as the holder of the flow does not hold it.
struct flow_unknown {
  1: required flow_key key
  2: required i64 service_id
  3: required i64 holder
}

// Balancer to agent: one packet of a flow whose ends are transport stacks.
// `purpose`: 1 the receiver is believed to hold the flow, 2 a new flow is placed, 3 deliver only if held.
struct segment_forward {
  1: required binary packet     // as the sender of the packet wrote it
  2: required i64 service_key       // hash of the service's name
  3: required i8 purpose
  // With a new flow: the target takes it only while it has fewer outstanding requests than this, in thousandths for each
  // of its slots. Without it there is no such limit.
  4: optional i32 max_outstanding
}

// Balancer to every agent of a service: which target holds the flow? Carries no segment, because there may be
// many agents.
struct segment_question {
  1: required flow_key key
  2: required i32 acknowledged  // acknowledgement number of the segment for which the holder is searched
}

struct segment_query {
  1: required i64 service_key
  2: required list<segment_question> flows
}

// Agent to balancer: the answer to a query. `outcome` as in segment_report: 2, 4, 5 or 6.
struct segment_answer {
  1: required flow_key key
  2: required i8 outcome
}

struct segment_answers {
  1: required i32 load_permille
  2: required list<segment_answer> flows
}

// Agent to balancer: what became of a segment.
// `outcome`: 1 the target offers to take the flow, 2 held here, 3 declined, 4 not held here, 5 only the target knows,
// 6 as 5, but most likely not held here.
struct segment_report {
  1: required flow_key key
  2: required i64 service_key
  3: required i8 outcome
  4: required i32 load_permille // of the target, 1000 for each slot in use
  5: optional i32 sequence      // first sequence number of the target, with outcome 1
  6: optional i16 reason        // error_code, with outcome 3
  7: optional binary packet     // the segment, with outcomes 3 and 4 unless it was a search
  8: optional i32 expected_wait_ms // with outcome 3 because of `max_outstanding`: wait of a request that comes now
}

// Agent to the balancers that have sent segments recently: the load of its target.
struct segment_load {
  1: required i64 service_key
  2: required i32 load_permille
  3: required bool accepting
}

// ---- Control (kinds 40 to 79) -----------------------------------------------------------------------

struct vote_request {
  1: required bool pre_vote
  2: required i64 term
  3: required i64 candidate     // folder id
  4: required i64 last_index
  5: required i64 last_term
}

struct vote_reply {
  1: required bool pre_vote
  2: required i64 term
  3: required i64 voter         // folder id
  4: required bool granted
  5: required i64 candidate     // folder id that is answered; after a disk loss, a process has its old address but a new id
  6: optional i32 lease_ms      // longest time that a lease which the voter acknowledged before its restart may still be valid
}

struct silent_member {
  1: required i64 folder_id
  2: required i32 silent_ms     // since the start of the last heartbeat round that the member has acknowledged
}

struct append_request {
  1: required i64 term
  2: required i64 leader        // folder id
  3: required i64 previous_index
  4: required i64 previous_term
  5: required i64 commit
  6: required i64 round         // heartbeat round, for the leader's lease and quorum reads
  7: required list<log_entry> entries
  8: required i32 quorum_age_ms // since the start of the last heartbeat round of the leader that a quorum acknowledged
  9: optional list<silent_member> silent_members
}

struct append_reply {
  1: required i64 term
  2: required i64 follower      // folder id
  3: required bool success
  4: required i64 match         // last index known to agree with the leader; without `success`, a hint: resend what follows it
  5: required i64 round
}

struct snapshot_chunk {
  1: required i64 term
  2: required i64 leader
  3: required i64 last_index
  4: required i64 last_term
  5: required i64 offset
  6: required i64 total
  7: required binary data
  8: required i64 round
  9: required member_list members
}

struct snapshot_reply {
  1: required i64 term
  2: required i64 follower
  3: required i64 last_index
  4: required i64 next_offset
  5: required i64 round
}

// Sent by a control process with a new data folder that asks to become a member.
struct join_request {
  1: required member candidate
  2: required i64 replaces      // the candidate's folder id if that folder is or was a member, 0 for a new folder
}

// Sent to the leader by a control process that is about to stop, so that a standby member takes its vote.
struct leave_notice {
  1: required i64 folder_id
}

// Position in a difference: objects are ordered by (revision, kind, id).
struct cursor {
  1: required i64 revision
  2: required i8 kind           // 0: after all objects of `revision`
  3: required i64 id
}

struct pull_request {
  1: required i64 node          // incarnation, 0 before the join
  2: required i64 nonce         // chosen at each start of the process
  3: required i64 revision      // applied
  4: required cursor position   // received so far, including staged pages
  5: required bool full         // the staged pages belong to a full table
  6: required i64 digest        // of the applied table
  7: optional i64 parents       // digest of the addresses of the known parents
  8: optional i32 confirm       // number of a confirmation request; a leader answers once a quorum has confirmed its table
}

struct table_page {
  1: required i64 revision      // of the sender's table
  2: required i64 config_version
  3: required bool full         // start from an empty table
  4: required cursor start
  5: required cursor position   // after this page
  6: required bool complete
  7: required i64 digest        // of the sender's table, valid when complete
  8: required list<service_entry> services
  9: required list<target> targets
  10: required list<node> nodes
  11: required list<tombstone> tombstones
  12: optional list<route_entry> routes
  13: optional i64 document_version
}

struct pull_reply {
  1: required i64 nonce
  2: required i32 age_ms        // since the sender last had news from a leader with a quorum
  3: required table_page page
  4: optional bool crowded      // the sender has too many children; try another parent
  5: optional list<endpoint> parents  // all control processes, if the node knows other ones
  6: optional i32 confirm       // number of the request that asked to confirm
  7: optional bool confirmed    // with this page, the node has all entries that were committed when the request arrived
  8: optional endpoint leader   // the process that can confirm, if the sender cannot
}

struct change_notice {
  1: required i64 revision
}

// An agent or balancer asks to be registered in the table. Relays forward the request to the leader.
struct announce {
  1: required i64 nonce
  2: required i8 role           // 1 target, 2 balancer
  3: required string name
  4: required string zone
  5: required endpoint address
  6: required endpoint reply_to
  7: optional string service_name
  8: optional i32 slots
  9: optional i32 connections
  10: required i8 state         // 0 active, 1 draining, 2 empty and leaving
  11: required i8 hops
}

struct announce_reply {
  1: required i64 nonce
  2: required i64 incarnation   // 0 if refused or not yet known
  3: required i32 code          // error_code, 0 if joined
  4: required i64 revision
  5: required i32 retry_after_ms
}

struct child_report {
  1: required i64 node          // incarnation
  2: required i64 revision
  3: required i32 silent_ms
}

// Relay to its parent: the children whose state has changed since the last acknowledged report.
struct relay_report {
  1: required i64 relay         // incarnation
  2: required i64 nonce
  3: required i64 sequence
  4: required bool full
  5: required list<child_report> children
  6: required i64 lowest_revision
  7: required i32 live_children
}

struct relay_report_reply {
  1: required i64 nonce
  2: required i64 sequence
  3: required bool send_full
}

// ---- Caller payload (kinds 20 to 39) ----------------------------------------------------------------

struct flow_open {
  1: required i64 nonce
}

struct flow_open_ack {
  1: required i64 nonce
  2: required i64 incarnation
  3: required i64 token
}

struct flow_refused {
  1: required i64 nonce
  2: required i16 reason
}

struct request {
  1: required i64 incarnation
  2: required i64 token
  3: required i64 sequence
  4: required i64 settled_below
  5: required bool idempotent
  6: required i32 remaining_ms
  7: required string method
  8: required binary body
}

struct response_part {
  1: required i64 token
  2: required i64 sequence
  3: required i32 index
  4: required i32 count
  5: required i64 total_length
  6: required i64 checksum
  7: required binary bytes
}

// `status`: 1 not run, 2 failed, 3 outcome unknown.
struct request_result {
  1: required i64 token
  2: required i64 sequence
  3: required i8 status
  4: required i16 reason
}

struct part_request {
  1: required i64 token
  2: required i64 sequence
  3: required list<i32> missing
}

struct request_cancel {
  1: required i64 incarnation
  2: required i64 token
  3: required i64 sequence
}

struct flow_close {
  1: required i64 incarnation
  2: required i64 token
}

struct flow_close_ack {
  1: required i64 token
}

// Tells the caller that the flow does not exist. `incarnation` is that of the target that answers.
struct flow_reset {
  1: required i64 incarnation
  2: required i64 token
}

// Upstream to caller over an open flow. Resent until acknowledged; delivered once and in order.
struct push {
  1: required i64 token
  2: required i64 sequence
  3: required binary bytes
}

struct push_ack {
  1: required i64 token
  2: required i64 sequence
}

// Keeps the flow from being closed because it is idle. Answered with the same struct.
struct flow_keepalive {
  1: required i64 token
}

// Asks the caller to open its next requests on a new flow, because the target is draining.
struct flow_draining {
  1: required i64 token
}
