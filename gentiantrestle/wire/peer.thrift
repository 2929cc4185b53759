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

struct Heartbeat {
  1: required list<Member> members,
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

/* Sums over many instances; batch_* are those of the most urgent one. */
struct Summary {
  1: required list<Load> loads,
  2: required i32 waiting,
  3: required i32 batch_waiting,
  4: required i64 batch_spare,
}

/* Gossip message of a gateway instance, sent often and kept short. */
struct Pulse {
  1: required string instance,
  2: required i64 incarnation,
  3: required i64 number,
  4: required string host,
  5: required string zone,
  6: required MemberState state,
  7: required i64 config_version,
  8: required bool store_reached,
  9: required i32 waiting,
  10: required list<Load> loads,
  /* Hosts of other instances, sent to one that has just joined. */
  11: optional list<string> hosts,
  /* Jobs that their callers have ended recently. */
  12: required list<string> ended,
  /* Runs (instance and incarnation) whose jobs the sender has taken over. */
  13: required list<string> taken,
  /* Batch items that wait for a slot, and the slack of the first in ms;
     if negative, it can't meet its deadline any more. */
  14: required i32 batch_waiting,
  15: required i64 batch_spare,
  /* Store revisions of the upstreams and jobs that the sender knows. */
  16: required i64 upstreams_revision,
  17: required i64 jobs_revision,
  /* Fingerprint of the upstream entries that the sender knows. */
  20: required i64 upstreams_mark,
  /* Large fleets: the sender's zone, sent to aggregators of other zones. */
  18: optional Summary zone_summary,
  /* Large fleets: all other zones, sent by a zone's aggregator to it. */
  19: optional Summary far_summary,
}

/* An object of the platform's store, as the sender knows it. */
struct KnownObject {
  1: required string name,
  2: required i64 revision,
  3: required binary content,
}

/* Asks for everything newer than the versions that the sender has. */
struct CopyRequest {
  1: required i64 config_version,
  2: required i64 upstreams_revision,
  3: required i64 jobs_revision,
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
}
