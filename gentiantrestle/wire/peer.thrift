/* Messages between the instances of one fleet. */
namespace py peer

enum MemberState {
  STARTING = 0,
  SERVING = 1,
  LEAVING = 2,
}

/* Requests an instance has in flight on one upstream. */
struct Load {
  1: required string upstream,
  2: required i32 online,
  3: required i32 batch,
}

/* State of one instance; the highest (incarnation, beat) is the newest. */
struct Member {
  1: required string instance,
  2: required i64 incarnation,
  3: required i64 beat,
  4: required string zone,
  5: required string region,
  6: required string host,
  7: required i32 peer_port,
  8: required i32 http_port,
  9: required MemberState state,
  10: required i64 config_revision,
  11: required i64 store_revision,
  12: required list<Load> loads,
}


/* A changed object of the platform's store; without payload: deleted. */
struct Change {
  1: required string name,
  2: required i64 version,
  3: optional binary payload,
}

struct ChangesRequest {
  1: required i64 after,
}

struct Changes {
  1: required i64 revision,
  2: required bool complete,
  3: required list<Change> changes,
}

struct AnswerRequest {
  1: required string claim,
}

struct Answer {
  1: required bool found,
  2: required bool finished,
  3: required i32 status,
  4: required string content_type,
  5: optional binary body,
  6: required map<string, string> headers,
}

/* Online requests in flight, sent to the owner of the batch slots. */
struct LoadReport {
  1: required string instance,
  2: required list<Load> loads,
}

struct ReportRequest {
}

/* Good and bad events of an objective within a window (in s). */
struct ReportRow {
  1: required string endpoint,
  2: required string objective,
  3: required i32 window,
  4: required i64 good,
  5: required i64 bad,
}

struct Report {
  1: required list<ReportRow> rows,
}

/* One gateway instance; the highest (incarnation, number) is the newest. */
struct InstanceRow {
  1: required string instance,
  2: required i64 incarnation,
  3: required i64 number,
  4: required string host,
  5: required string zone,
  6: required MemberState state,
  7: required i64 config_version,
  8: required bool store_reached,
  /* Store revisions of the upstreams and jobs that the instance knows. */
  9: required i64 upstreams_revision,
  10: required i64 jobs_revision,
  /* Fingerprint of the upstream entries that the instance knows. */
  11: required i64 upstreams_mark,
  /* Jobs that their callers have ended recently. */
  12: required list<string> ended,
  /* Runs (instance and incarnation) whose jobs the instance has taken over. */
  13: required list<string> taken,
  /* Time in ms since the sender of the message heard of this row. */
  14: required i32 age,
  /* Services none of whose upstreams the instance reaches, though they run, and
   * "(store)" if it doesn't reach the store; absent if there are none. */
  15: optional list<string> cut_off,
}

/* The end of an upstream's run, and the requests that it began to answer then,
 * each as a list of its traits: ids of prompt parts, and fingerprints; times are
 * wall-clock times in s. */
struct Crash {
  1: required string upstream,
  2: required i64 at,
  3: required list<list<string>> prompts,
}

/* A trait of a request that was answered completely. */
struct SoundPart {
  1: required string part,
  2: required i64 at,
}

/* What the sender knows of requests that crash upstreams. */
struct Findings {
  1: required list<Crash> crashes,
  2: required list<SoundPart> sound,
}

/* Heartbeat of a daemon. */
struct Heartbeat {
  1: required list<Member> members,
  2: optional Findings findings,
}

/* Heartbeat of an instance, or what its zone's relay passes on. */
struct Pulse {
  1: required InstanceRow sender,
  2: required list<InstanceRow> rows,
  /* The sender has heard of no relay and asks for all known rows. */
  3: required bool wants_rows,
  /* With the sender, the rows are all it knows to be alive in its zone. */
  4: required bool lists_zone,
  /* Absent if there are none. */
  5: optional Findings findings,
}

/* Asks a slot coordinator for a slot; sent again until it is answered. */
struct SlotAsk {
  /* The run that asks, and its number for this slot. */
  1: required string holder,
  2: required i64 lease,
  3: required string host,
  4: required string service_name,
  5: required bool batch,
  6: required i32 priority,
  7: required bool retry,
  /* Longest wait in ms. */
  8: required i32 wait,
  9: required list<string> excluded,
  /* Of a batch item: its slack in ms, and the tokens left to generate. */
  10: required i32 slack,
  11: required i32 tokens_left,
  /* Passed on by the coordinator of another zone. */
  12: required bool passed_on,
  /* Version of the upstream's software; absent if any will do. */
  13: optional string version,
  /* Client account that the work is for; absent without accounts. */
  14: optional string account,
  /* Bytes of the request's body. */
  15: optional i32 size,
}

enum SlotVerdict {
  GRANTED = 0,
  QUEUED = 1,
  REFUSED = 2,
}

struct SlotAnswer {
  1: required string holder,
  2: required i64 lease,
  3: required SlotVerdict verdict,
  4: required string upstream,
  /* Expected wait in ms. */
  5: required i32 wait,
  6: required string coordinator,
  7: required string host,
  /* Requests a second that the upstream takes; absent without a limit. */
  8: optional double rate_limit,
}

/* Tells a coordinator of the requests a second that an upstream takes, 0 if it
 * names no limit any more. */
struct RateLimitNotice {
  1: required string upstream,
  2: required double rate_limit,
}

/* Tells a coordinator of an upstream whose answers say that it is leaving. */
struct LeavingNotice {
  1: required string upstream,
  2: required i64 incarnation,
}

enum SlotOutcome {
  UNKNOWN = 0,
  SERVED = 1,
  FAILED = 2,
}

/* Gives a slot back, or withdraws a request for one. */
struct SlotRelease {
  1: required string holder,
  2: required i64 lease,
  3: required SlotOutcome outcome,
  /* What the answer showed of the upstream's pace, if it had events: time in us
   * from the request to the first event, and of the mean gap between events. */
  4: optional i32 first_event,
  5: optional i32 event_gap,
}

/* Tells a holder to stop a batch item and give its slot back. */
struct SlotYield {
  1: required string holder,
  2: required i64 lease,
}

struct HeldSlot {
  1: required i64 lease,
  2: required string upstream,
  3: required bool batch,
  4: required i32 slack,
  5: required i32 tokens_left,
  6: optional string account,
  /* Bytes of the request's body. */
  7: optional i32 size,
}

/* All slots that a run holds on the upstreams of a coordinator. */
struct SlotReport {
  1: required string holder,
  2: required string host,
  3: required list<HeldSlot> slots,
}

/* Slots of one service in a zone; those of batch may be preempted. */
struct ServiceSums {
  1: required string service_name,
  2: required i32 free,
  3: required i32 batch,
  4: required i32 waiting,
  /* Free slots that batch items may take though they could still wait. */
  5: required i32 spare,
}

struct ZoneSums {
  1: required string zone,
  2: required list<ServiceSums> services,
}

/* Streams that an instance began at upstreams of one software version, by the
 * attempts that brought their first events. */
struct BegunStreams {
  1: required string service_name,
  2: required string version,
  3: required list<string> attempts,
}

/* Software versions of a service's upstreams. */
struct ServiceVersions {
  1: required string service_name,
  2: required list<string> versions,
}

/* Asks where streams began, by the attempts that brought their first events. */
struct OriginRequest {
  1: required list<string> attempts,
  /* Whether to have the store confirm the versions: the sender can't. */
  2: required bool confirm,
}

struct OriginAnswer {
  /* Those of the streams that are known. */
  1: required list<BegunStreams> known,
  /* All versions at which a stream that had begun by the request can have
   * begun, by service; absent if the store hasn't confirmed them since. */
  2: optional list<ServiceVersions> versions,
}

/* An object of the platform's store, as the sender knows it. */
struct KnownObject {
  1: required string name,
  2: required i64 revision,
  3: required binary content,
  /* Whether the content is compressed (zlib); absent if not. */
  4: optional bool compressed,
}

/* Asks for everything newer than the versions that the sender has. */
struct CopyRequest {
  1: required i64 config_version,
  2: required i64 upstreams_revision,
  3: required i64 jobs_revision,
  /* Whether the sender reads compressed copies; absent in older builds. */
  4: optional bool compressed,
}

struct Copy {
  1: required i64 upstreams_revision,
  2: required i64 jobs_revision,
  3: optional KnownObject config,
  /* All upstream entries; absent if they are no newer than asked. */
  4: optional list<KnownObject> upstreams,
  /* The jobs newer than asked. */
  5: required list<KnownObject> jobs,
  /* Time in ms for which entries that vanish still count as lapsed. */
  6: required i64 lapse_left,
  /* A compressed (zlib) Copy that holds the upstream entries and the jobs in
   * place of this one; absent if this one does. */
  7: optional binary packed,
}

/* Asks the instance that runs a job for results after a position. */
struct ResultsRequest {
  1: required string job,
  2: required i32 after,
}

struct ResultRow {
  1: required string item,
  2: required bool completed,
  3: required string output,
}

struct Results {
  1: required bool known,
  2: required bool complete,
  3: required list<ResultRow> rows,
  /* Number of chunks of the job's results in the store. */
  4: required i32 chunks,
}

/* Asks an instance to connect to upstreams of a service that the sender doesn't
 * reach. */
struct ReachRequest {
  1: required string service_name,
}

struct ReachAnswer {
  1: required bool reached,
}

struct HeaderField {
  1: required binary name,
  2: required binary content,
}

/* The route that a request is served by; times are in ms. */
struct PassedRoute {
  1: required string name,
  2: required string kind,
  3: required i32 timeout,
  4: required i32 latency_target,
  5: required i32 priority,
  /* Executions in all, those before included. */
  6: required i32 max_attempts,
  7: required bool resumable,
  /* Whether requests of the route go to several services. */
  8: required bool split,
}

/* A caller's request that another instance is to serve, as the body of an HTTP
 * request on the port for passing on. */
struct PassedRequest {
  1: required string id,
  2: required string method,
  3: required string target,
  4: required string host,
  5: required list<HeaderField> headers,
  6: required binary body,
  /* Time in ms until the request's deadline. */
  7: required i32 left,
  8: required bool retry,
  9: required i64 last_event,
  10: required list<string> prompt_parts,
  11: required string resumes,
  12: required PassedRoute route,
  13: required string service_name,
  /* Version of the upstream's software; empty if any will do. */
  14: required string version,
  /* Attempts so far that may have been executed. */
  15: required i32 runs,
  /* Upstreams that were tried. */
  16: required list<string> tried,
  /* The instance that passes the request on. */
  17: required string instance,
  /* Client account of the caller, empty on an anonymous route; absent if the
   * configuration has no accounts. */
  18: optional string account,
}

/* Asks an instance how new its configuration is confirmed to be. */
struct ConfirmationAsk {
  1: required i64 number,
  2: required string host,
}

/* The configuration in force at an instance, and the time in ms for which
 * nothing newer is known to have been stored; absent if it never was confirmed. */
struct ConfirmationAnswer {
  1: required i64 number,
  2: required i64 config_version,
  3: optional i32 age,
}

/* Asks the instance that counts an account's requests whether one more is
 * within the account's allowance. */
struct AllowanceAsk {
  /* The run that asks, and its number for this request. */
  1: required string holder,
  2: required i64 number,
  3: required string host,
  4: required string account,
  /* Whether it is asked because the instances that go before it are silent. */
  5: required bool stands_in,
}

struct AllowanceAnswer {
  1: required string holder,
  2: required i64 number,
  3: required bool granted,
  /* Time in ms until the allowance has room again. */
  4: required i32 wait,
}

/* Gives the charge for a request back that has not run. */
struct AllowanceReturn {
  1: required string holder,
  2: required i64 number,
  3: required string account,
}

/* Requests that another instance has granted in place of the one it tells. */
struct AllowanceSpent {
  1: required string account,
  /* Less than 0 if charges were given back. */
  2: required i32 granted,
  /* Requests that the account may still make, where the sender no longer counts
   * and hands the account over. */
  3: optional i32 left,
  /* Where the sender is told that this was deducted. */
  4: optional string host,
}

/* Tells that an instance has deducted what was granted in its place. */
struct AllowanceConfirmed {
  1: required string account,
  2: required string instance,
}

/* Exactly one of the optional fields is set. */
struct Envelope {
  1: required i64 call,
  2: optional Heartbeat heartbeat,
  3: optional ChangesRequest changes_request,
  4: optional Changes changes,
  5: optional AnswerRequest answer_request,
  6: optional Answer answer,
  7: optional LoadReport load_report,
  8: optional ReportRequest report_request,
  9: optional Report report,
  10: optional Pulse pulse,
  11: optional ResultsRequest results_request,
  12: optional Results results,
  13: optional CopyRequest copy_request,
  14: optional Copy copy,
  15: optional SlotAsk slot_ask,
  16: optional SlotAnswer slot_answer,
  17: optional SlotRelease slot_release,
  18: optional SlotYield slot_yield,
  19: optional SlotReport slot_report,
  20: optional ZoneSums zone_sums,
  21: optional RateLimitNotice rate_limit_notice,
  22: optional BegunStreams begun_streams,
  23: optional LeavingNotice leaving_notice,
  24: optional ReachRequest reach_request,
  25: optional ReachAnswer reach_answer,
  26: optional ConfirmationAsk confirmation_ask,
  27: optional ConfirmationAnswer confirmation_answer,
  28: optional AllowanceAsk allowance_ask,
  29: optional AllowanceAnswer allowance_answer,
  30: optional AllowanceReturn allowance_return,
  31: optional AllowanceSpent allowance_spent,
  32: optional AllowanceConfirmed allowance_confirmed,
  33: optional OriginRequest origin_request,
  34: optional OriginAnswer origin_answer,
}
