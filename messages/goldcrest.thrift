// Messages between daemons and commands in the replicated log.
// Regenerate with scripts/generate-messages after a change.
// Field numbers are never reused: daemons of two versions talk to each other
// during a rolling restart, and the log outlives both.

namespace cpp goldcrest.messages

// ---- configuration -------------------------------------------------------

enum ObjectKind {
  CUSTOMER = 1,
  KEY = 2,
  ENDPOINT = 3,
  ACCESS = 4,
  QUOTA = 5,
  OBJECTIVE = 6,
}

enum AccessMode {
  READ = 1,
  WRITE = 2,       // reads and writes
}

enum Durability {
  MAJORITY = 1,    // acknowledged when a majority reports the position
  PRIMARY = 2,     // acknowledged by the primary alone; may be lost
}

// One configuration object. Which fields apply depends on the kind.
struct Object {
  1: ObjectKind kind,
  2: string name,
  3: i64 revision,                       // of its last change
  4: bool deleted,
  5: map<string, string> labels,         // customer, key, endpoint
  6: optional string customer,           // key: its owner
  7: optional binary digest,             // key: SHA-256 of its text
  8: optional string callers,            // access, quota, objective: selector
  9: optional string endpoints,          // access: selector
  10: optional AccessMode mode,          // access
  11: optional i64 max_age_ms,           // access: oldest data a read accepts
  12: optional Durability durability,    // access
  13: optional bool open,                // access: no key needed
  14: optional i32 order,                // access, quota: lower goes first
  15: optional i64 rate_micros,          // quota: millionths of a request a second
  16: optional i64 burst_micros,         // quota: millionths of a request
  17: optional i64 objective_ppm,        // objective: good events per million
  18: optional i64 latency_ms,           // objective: slower is a bad event
}

struct Change {
  1: string change_id,
  2: i64 base_revision,
  3: list<Object> objects,
  4: string author,
}

struct ChangeResult {
  1: i32 code,                           // ResultCode
  2: i64 revision,                       // after the change, or the current one
  3: string message,
}

// ---- endpoints and groups ------------------------------------------------

struct EndpointInfo {
  1: string endpoint,
  2: string group,
  3: string zone,
  4: string host,                        // IP number
  5: i32 port,
  6: i32 slots,                          // statements at a time
  7: i32 connections,                    // connection limit
  8: i64 incarnation,
  9: bool leaving,
}

struct Announcement {
  1: EndpointInfo info,
  2: i64 sequence,
  3: i64 term,
  4: i64 position,
}

// Position at which a term began: everything acknowledged before lies at or
// below it.
struct TermStart {
  1: i64 term,
  2: i64 position,
}

struct GroupState {
  1: string group,
  2: i64 revision,
  3: i64 term,
  4: string primary,                     // endpoint; empty before the first
  5: list<TermStart> term_starts,
  6: string coordinator,                 // instance; empty when there is none
  7: i64 coordinator_epoch,
}

// ---- replicated log ------------------------------------------------------

struct InstanceInfo {
  1: string instance,
  2: string zone,
  3: string host,
  4: i32 port,
  5: i64 incarnation,
}

struct AssignCoordinator {
  1: string group,
  2: string coordinator,
  3: i64 epoch,
  4: string cause,
}

struct SetPrimary {
  1: string group,
  2: i64 epoch,                          // of the coordinator that asks
  3: i64 term,
  4: string primary,
  5: i64 previous_term_end,              // position of the new primary
  6: string cause,
}

struct JournalEntry {
  1: i64 wall_ms,                        // Unix time, given by the proposer
  2: string kind,
  3: string subject,
  4: string cause,
  5: map<string, string> inputs,
}

// Exactly one field is set, besides wall_ms.
struct Command {
  1: i64 wall_ms,
  2: optional Change change,
  3: optional InstanceInfo register_instance,
  4: optional string remove_instance,
  5: optional EndpointInfo register_endpoint,
  6: optional AssignCoordinator assign_coordinator,
  7: optional SetPrimary set_primary,
  8: optional JournalEntry note,
  9: optional binary session_secret,     // seals session tokens; set once
}

struct LogEntry {
  1: i64 term,
  2: i64 index,
  3: binary command,                     // empty: a leader's first entry
  4: optional list<string> members,      // set: a membership change
}

struct VoteRequest {
  1: i64 term,
  2: string candidate,
  3: i64 last_index,
  4: i64 last_term,
  5: bool pre_vote,
  6: bool leaderless,                    // every member said that it does not lead
  7: i64 attempt,                        // drawn for each pre-vote
  8: bool transfer,                      // the leader has asked for this election
}

struct VoteResponse {
  1: i64 term,
  2: bool granted,
  3: bool pre_vote,
  4: bool leaderless,                    // the sender neither leads nor follows
  5: bool willing,                       // would vote if no member leads
  6: i64 attempt,                        // of the request
}

struct AppendRequest {
  1: i64 term,
  2: i64 prev_index,
  3: i64 prev_term,
  4: list<LogEntry> entries,
  5: i64 commit_index,
  6: i64 round,                          // echoed; dates the leader lease
}

struct AppendResponse {
  1: i64 term,
  2: bool success,
  3: i64 match_index,                    // on success
  4: i64 last_index,                     // on failure: where to go on
  5: i64 round,
  6: bool joining,                       // the sender does not vote yet
}

struct SnapshotChunk {
  1: i64 term,
  2: i64 last_index,
  3: i64 last_term,
  4: list<string> members,
  5: i64 offset,
  6: binary data,
  7: bool done,
  8: i64 round,
}

struct SnapshotResponse {
  1: i64 term,
  2: i64 last_index,
  3: i64 next_offset,
  4: bool installed,
  5: i64 round,
}

// Tells a caught-up member to stand for election at once (planned stop).
struct TimeoutNow {
  1: i64 term,
}

struct ConsensusMessage {
  1: optional VoteRequest vote_request,
  2: optional VoteResponse vote_response,
  3: optional AppendRequest append_request,
  4: optional AppendResponse append_response,
  5: optional SnapshotChunk snapshot_chunk,
  6: optional SnapshotResponse snapshot_response,
  7: optional TimeoutNow timeout_now,
}

// ---- quota ---------------------------------------------------------------

// What an entry says of one customer's share.
struct ShareReport {
  1: string customer,
  2: i64 share_sequence,                 // newest ShareUpdate applied
  3: i64 owner_term,                     // of that update
  4: i64 rate_micros,                    // held
  5: i64 capacity_micros,                // held
  6: i64 level_micros,                   // tokens left in the held capacity
  7: i64 demand_micros,                  // demand, per second
  8: i64 wanted_micros,                  // tokens that waiting requests need now
  9: bool partial,                       // first element: shares without news
                                         // are left out
  10: i64 contact_micros,                // first element: owner's clock, of
                                         // the newest contact; -1: none yet,
                                         // 0: shares are always refilled
  11: i64 since_contact_micros,          // first element: since any owner
                                         // gave a share, or the start
}

// What the owner says of it. Rate and capacity are absolute.
struct ShareUpdate {
  1: string customer,
  2: i64 share_sequence,
  3: i64 owner_term,
  4: i64 rate_micros,
  5: i64 capacity_micros,
  6: i64 added_micros,                   // tokens that come with the update
  7: i64 lease_ms,                       // counted from the report's sent time
  8: i64 excess_lease_ms,                // the same for tokens above the
                                         // capacity; 0: as lease_ms
  9: i64 contact_micros,                 // not 0: only tells the owner's clock
}

// ---- entry and control ---------------------------------------------------

struct CoordinatorReport {
  1: string group,
  2: i64 epoch,
  3: bool resign,
}

struct EntryReport {
  1: InstanceInfo instance,
  2: i64 sequence,
  3: i64 sent_micros,                    // sender's clock, echoed
  4: i64 applied_revision,
  5: i64 applied_groups_revision,
  6: list<ShareReport> shares,
  7: list<Announcement> announcements,
  8: list<CoordinatorReport> coordinators,
  9: bool draining,
  10: list<JournalEntry> journal,
  11: map<string, i64> counters,         // service-level counters, cumulative
  12: bool stopped,                      // last report: serves and holds nothing
  13: i64 wall_ms,                       // Unix time, for the journal
}

struct CoordinatorLease {
  1: string group,
  2: i64 epoch,
  3: i64 lease_ms,                       // counted from the report's sent time
}

struct ControlUpdate {
  1: i64 leader_term,
  2: string leader,
  3: i64 report_sequence,                // 0: not an answer to a report
  4: i64 report_sent_micros,
  5: i64 revision,
  6: list<Object> objects,               // changed since the reported revision
  7: i64 groups_revision,
  8: list<GroupState> groups,
  9: list<EndpointInfo> endpoints,
  10: list<InstanceInfo> instances,
  11: list<ShareUpdate> shares,
  12: list<CoordinatorLease> leases,
  13: i64 control_lease_ms,              // 0: not an answer to a report
  14: binary session_secret,
  15: i64 base_revision,                 // the objects are those changed since
  16: i64 base_groups_revision,          // the same for groups
  17: list<string> hand_over,            // groups to stop coordinating once idle
}

// ---- requests between entries --------------------------------------------

enum Operation {
  READ = 1,
  WRITE = 2,
  BEGIN_WORK = 3,
  COMMIT = 4,
  ROLLBACK = 5,
}

struct ForwardRequest {
  1: i64 id,
  2: string group,
  3: i64 epoch,
  4: Operation operation,
  5: string customer,                    // empty on an open route
  6: string key_name,                    // for withdrawal checks; never its text
  7: string rule,                        // access rule that admitted it
  8: string statement,
  9: string request_id,
  10: bool idempotent,
  11: string transaction,
  12: i64 timeout_ms,
  13: i64 max_age_ms,                    // 0: only data at the mark or later
  14: Durability durability,
  15: i64 mark_term,
  16: i64 mark_position,
  17: i64 weight,                        // for the fair queue
}

struct ForwardResponse {
  1: i64 id,
  2: i32 code,
  3: string value,
  4: i64 term,
  5: i64 position,
  6: string transaction,
  7: string served_by,
  8: i64 retry_after_ms,
  9: string message,
}

// A request that asks the control leader for a logged decision.
struct ProposeRequest {
  1: i64 id,
  2: Command command,
  3: bool wait_in_force,                 // answer when in force everywhere
  4: optional list<string> members,      // in place of a command: the control
                                         // members from now on
}

struct ProposeResponse {
  1: i64 id,
  2: i32 code,
  3: i64 revision,
  4: string message,
  5: list<string> missing,               // instances where it is not in force
}

// A query that only the control leader can answer; the answer is JSON text.
struct QueryRequest {
  1: i64 id,
  2: string path,
}

struct QueryResponse {
  1: i64 id,
  2: i32 code,
  3: string body,
}

struct Hello {
  1: string cluster,
  2: InstanceInfo instance,
  3: i32 version,
}

// One frame between daemons. One field is set.
// ---- statement entries and controllers -----------------------------------

// What an endpoint has said of itself, as one controller heard it.
struct EndpointRecord {
  1: string endpoint,
  2: string group,
  3: string address,                     // IP number and port
  4: string zone,
  5: bool draining,
  6: bool primary,                       // as the endpoint sees itself
  7: i64 started_ms,                     // Unix time of its start, 0: unknown
  8: i64 sequence,                       // increases within one start
  9: bool gone,
  10: i64 epoch,                         // raised when a record that is older
                                         // by start and sequence takes over
  11: i32 slots,                         // statements at a time; 0: unknown
  12: i64 cold_ms,                       // how much longer it is slow after its
                                         // start, when the record was sent
}

// Whether an operator has ordered that no work goes to the endpoints of an
// availability zone.
struct ZoneEvacuation {
  1: string zone,
  2: bool active,
}

// All evacuated availability zones, as of an index of the controllers' log.
struct EvacuatedZones {
  1: i64 index,
  2: list<string> zones,
}

// An entry that runs operations for other entries, or does so no longer.
struct RelayInstance {
  1: string instance,
  2: string zone,
  3: bool available,
}

// The endpoint that leads a group since `term` of the controllers' order.
struct PrimaryAssignment {
  1: string group,
  2: string endpoint,
  3: i64 order,                          // fencing token of the promotion
}

// Entries send no commit of the group while a promotion is under way, except to
// the promoted endpoint. Lapses by itself unless it is repeated.
struct WriteHold {
  1: string group,
  2: string endpoint,                    // that is promoted
  3: i64 number,                         // grows with each hold
  4: bool active,                        // false: it has been lifted
}

// How an entry has fared with the primary of a group.
struct PrimaryContact {
  1: string group,
  2: string endpoint,
  3: i64 success_age_ms,                 // -1: none yet
  4: i64 failing_ms,                     // 0: the last attempt succeeded
}

// Entry to controller. Shares go to the leader only.
struct ProxyReport {
  1: i64 process,                        // random, differs after a restart
  2: i64 sent_micros,                    // sender's clock, echoed
  3: i64 document_version,
  4: bool wants_document,
  5: list<ShareReport> shares,
  6: list<PrimaryContact> contacts,      // to the leader; not in each report
  7: bool stopped,                       // last report: holds nothing
  8: i64 quiet_micros,                   // since a token was taken, or the start
  9: bool first,                         // on a new link: send all endpoints
  10: optional RelayInstance relay,      // of the sender; on a new link and when
                                         // it changes
  11: i64 evacuations_index,             // of the EvacuatedZones applied
  12: map<string, i64> held_writes,      // by group: the hold in effect, once no
                                         // commit is under way
}

// A position that the primary of a group confirmed after the leader had
// received the entry's report that was sent at `report_sent_micros`.
struct ConfirmedPosition {
  1: string group,
  2: i64 term,
  3: i64 number,
  4: i64 report_sent_micros,             // entry's clock
}

// Controller to entry.
struct ProxyUpdate {
  1: i64 report_sent_micros,             // 0: not an answer to a report
  2: bool leader,
  3: list<ShareUpdate> shares,
  4: i64 document_version,               // applied by this controller
  5: optional binary document,           // compressed; see document_codec.h
  6: list<EndpointRecord> endpoints,
  7: list<PrimaryAssignment> primaries,
  8: list<string> controllers,           // known addresses, IP number and port;
                                         // empty: as told before on this link
  9: i32 entries,                        // connected to the sender
  10: bool report_now,                   // wants a report with contacts
  11: list<ConfirmedPosition> positions,
  12: optional EvacuatedZones evacuated,
  13: list<RelayInstance> relays,        // changed ones; all on a new link
  14: list<WriteHold> write_holds,       // of the leader
}

// What an entry that runs an operation for another one has to know of the
// caller's session.
struct RelayedPreparedStatement {
  1: bool writes,
  2: string shape,
}

struct RelayedSession {
  1: string database,
  2: string key,
  3: map<string, string> values,
  4: map<string, RelayedPreparedStatement> prepared,
  5: i64 last_commit_term,
  6: i64 last_commit_number,
  7: optional i64 unplaced_commit_age_micros,
  8: i64 configuration_version,          // the operation runs on this or later
}

struct RelayedStatement {
  1: i32 kind,
  2: string id,
  3: string text,
  4: string name,
  5: string value,
  6: bool writes,
}

// Entry to entry: a statement of an operation, or its end. An operation is
// identified by the sender's name, process and number, a statement by its number
// within the operation.
struct RelayRequest {
  1: i64 operation,                      // grows within a process; 0: a probe
  2: optional RelayedSession session,    // with the first statement
  3: optional RelayedStatement statement,
  4: bool abandoned,                     // the caller has left
  5: i64 process,                        // of the sender; see ProxyReport
  6: i32 number,                         // of the statement, from 1
}

struct RelayAnswer {
  1: i64 operation,
  2: i32 outcome,
  3: list<string> rows,
  4: string signature,
  5: string code,
  6: string message,
  7: i32 state,
  8: optional i64 position_term,
  9: i64 position_number,
  10: bool ended,                        // the operation; none follows
  11: i64 last_commit_term,
  12: i64 last_commit_number,
  13: bool unplaced_commit,              // committed without a known position
  14: i64 configuration_version,         // that the operation has run on
  15: bool declined,                     // nothing was done; run it elsewhere
  16: bool more_rows,                    // the answer goes on; only the rows and
                                         // what identifies the request are set
  17: i64 process,                       // as in the request
  18: i32 number,                        // as in the request
}

// Controller to controller.
struct ControllerNotice {
  1: bool has_disk,
  2: bool joining,                       // its log was not admitted yet
  3: list<string> controllers,
  4: list<EndpointRecord> endpoints,
  5: bool draining,                      // a planned stop has begun
  6: list<EndpointRecord> held_back,     // heartbeats that do not continue the
                                         // known records of their endpoints
  7: bool leads,                         // the sender is the leader
}

// An entry process that may hold shares of customers' rates.
struct RegisterHolder {
  1: string instance,
  2: i64 process,                        // random, differs after a restart
  3: bool released,
}

struct HolderState {
  1: i64 process,
  2: i64 incarnation,                    // grows with each process
}

// Whether the reserves of customers' limits have been given out.
struct ReserveUse {
  1: i64 term,                           // of the leader that says so
  2: bool used,
}

struct PutDocument {
  1: i64 version,
  2: binary text,
}

// Upper bounds of what the leases of entries hold of customers' limits, by
// customer, in hundredths of the limit. A bound of 100 is not kept.
struct ShareBounds {
  1: map<string, i32> percents,
}

// A command in the controllers' log; one field is set.
struct FleetCommand {
  1: optional PutDocument put,
  2: optional RegisterHolder holder,
  3: optional EndpointRecord endpoint,   // as it was when it last changed
  4: optional ReserveUse reserve,
  5: optional ZoneEvacuation evacuation,
  6: optional ShareBounds bounds,        // those that change
}

struct FleetSnapshot {
  1: PutDocument document,
  2: map<string, HolderState> holders,   // by instance
  3: map<string, EndpointRecord> endpoints,  // by name
  4: bool reserve_used,
  5: set<string> evacuated_zones,
  6: i64 evacuations_index,              // of their last change in the log
  7: map<string, i32> share_bounds,      // see ShareBounds
}

struct PeerMessage {
  1: optional Hello hello,
  2: optional i64 ping,
  3: optional i64 pong,
  4: optional ConsensusMessage consensus,
  5: optional EntryReport report,
  6: optional ControlUpdate update,
  7: optional ForwardRequest forward,
  8: optional ForwardResponse forward_response,
  9: optional ProposeRequest propose,
  10: optional ProposeResponse propose_response,
  11: optional QueryRequest query,
  12: optional QueryResponse query_response,
  13: optional bool drain,               // the receiver starts a planned stop
  14: optional ProxyReport proxy_report,
  15: optional ProxyUpdate proxy_update,
  16: optional ControllerNotice controller_notice,
  17: optional RelayRequest relay_request,
  18: optional RelayAnswer relay_answer,
}

// ---- snapshot of the control state machine -------------------------------

struct AppliedChange {
  1: string change_id,
  2: binary fingerprint,
  3: ChangeResult result,
}

struct ControlSnapshot {
  1: i64 revision,
  2: list<Object> objects,
  3: list<AppliedChange> changes,
  4: i64 groups_revision,
  5: list<GroupState> groups,
  6: list<EndpointInfo> endpoints,
  7: list<InstanceInfo> instances,
  8: list<JournalEntry> journal,
  9: binary session_secret,
}
