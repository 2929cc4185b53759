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

/* What one instance says of itself; a higher (incarnation, beat) wins. */
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

/* A copied object of the platform's store; absent payload means deleted. */
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

/* Online requests in flight, told to the owner of the batch slots. */
struct LoadReport {
  1: required string instance,
  2: required list<Load> loads,
}

struct ReportRequest {
}

/* Good and bad events of an objective within a window, in s. */
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

/* Loads of many instances, added up; of batch the tightest instance's. */
struct Summary {
  1: required list<Load> loads,
  2: required i32 waiting,
  3: required i32 batch_waiting,
  4: required i64 batch_spare,
}

/* What an instance of the gateway tells the others, often and briefly. */
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
  /* Hosts of other instances, told to one that has just come. */
  11: optional list<string> hosts,
  /* Jobs that their callers have ended lately. */
  12: required list<string> ended,
  /* Runs of instances whose jobs the sender has taken over. */
  13: required list<string> taken,
  /* Batch items that wait for a slot, and the time to spare of the first in
     ms; below zero it can't be in time any more. */
  14: required i32 batch_waiting,
  15: required i64 batch_spare,
  /* Revisions of the store that the sender's knowledge is from. */
  16: required i64 upstreams_revision,
  17: required i64 jobs_revision,
  /* Fingerprint of the upstreams' entries that the sender knows. */
  20: required i64 upstreams_mark,
  /* In large fleets: the sender's zone, told to the speakers of others. */
  18: optional Summary zone_summary,
  /* In large fleets: all other zones, told by its speaker to a zone. */
  19: optional Summary far_summary,
}

/* An object of the platform's store, as an instance knows it. */
struct KnownObject {
  1: required string name,
  2: required i64 revision,
  3: required binary content,
}

/* Asks for all that is newer than what the sender knows. */
struct CopyRequest {
  1: required i64 config_version,
  2: required i64 upstreams_revision,
  3: required i64 jobs_revision,
}

struct Copy {
  1: required i64 upstreams_revision,
  2: required i64 jobs_revision,
  3: optional KnownObject config,
  /* All upstreams' entries; absent where they aren't newer. */
  4: optional list<KnownObject> upstreams,
  /* The jobs that are newer than asked. */
  5: required list<KnownObject> jobs,
  /* How long entries that vanish still count as lapsed, in ms. */
  6: required i64 lapse_left,
}

/* Asks the instance that runs a job for its results from a position on. */
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
  /* Parts of the job's results that the store holds. */
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
