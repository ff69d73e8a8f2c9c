// Events recorded while a cluster runs: what callers sent and received, what engines and back ends
// ran, and which faults were active. The checker needs nothing else, so the same checks apply to
// the simulator and to real processes.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "src/core/error.h"
#include "src/core/time.h"

namespace chalkshed {

enum class CallKind {
  kCompletion,  // non-streaming completion from a model
  kStream,      // streaming completion from a model
  kService,     // pass-through to a plain back end
  kSubmitJob,
  kCancelJob,
  kConfigure,
  kQuery,  // reads of status, output or configuration
};

// A caller sent a request to a node. Each resend is a separate call with the same `request`.
struct CallBegan {
  std::string call;     // unique
  std::string request;  // prompt or body; unique to the request, shared by its resends
  std::string node;
  CallKind kind = CallKind::kCompletion;
  bool not_repeatable = false;
  std::string expected_text;  // the complete answer; empty if the checker needs none
};

// The node's process received the call.
struct CallArrived {
  std::string call;
};

enum class CallOutcome {
  kComplete,      // the answer ended normally
  kFailed,        // the node returned an error
  kBroken,        // the connection closed before the answer ended
  kNotConnected,  // no connection was made, so nothing was sent
  kGaveUp,        // the caller timed out
  kCutOffByExit,  // the node's process exited in a planned stop while the call was in progress
};

struct CallEnded {
  std::string call;
  CallOutcome outcome = CallOutcome::kComplete;
  std::string text;           // the part of the answer that was received
  std::string error_kind;     // kFailed: name of the error kind
  bool said_not_run = false;  // kFailed: the error contained `ran: "no"`
};

// A node sent a request to an engine or back end.
struct RunSent {
  std::string node;
  std::string request;
};

// An engine or back end received a request. `attempt` is unique.
struct RunArrived {
  std::string backend;
  std::string attempt;
  std::string request;
  bool batch = false;
  uint64_t step = 0;   // engine step in progress, or the last finished one
  std::string sender;  // node that sent it, if known
};

// The engine admitted the request to its running set.
struct RunAdmitted {
  std::string backend;
  std::string attempt;
  uint64_t step = 0;
};

enum class RunOutcome {
  kFinished,
  kCancelled,
  kRefused,       // never run
  kLost,          // the engine crashed
  kCutOffByExit,  // the engine exited in a planned stop
};

struct RunEnded {
  std::string backend;
  std::string attempt;
  RunOutcome outcome = RunOutcome::kFinished;
  uint64_t step = 0;
};

struct JobItem {
  std::string custom_id;
  std::string request;  // the prompt
  std::string expected_text;
};

// A caller is about to submit a job; `key` is the idempotency key of all its resends.
struct JobOffered {
  std::string key;
  std::vector<JobItem> items;
};

// A node acknowledged the submission.
struct JobAccepted {
  std::string key;
  std::string job;
};

// A caller requested cancellation of the job.
struct JobCancelRequested {
  std::string job;
};

// A node reported this status of the job.
struct JobReported {
  std::string job;
  std::string status;
};

struct JobOutputLine {
  std::string custom_id;
  std::string text;
  std::string error_kind;  // empty: the item succeeded
  std::string completion;  // id of the completion that counts
};

// A caller read the job's output.
struct JobOutput {
  std::string job;
  std::vector<JobOutputLine> lines;
  std::string call;  // the call that read it
};

// A process started or restarted.
struct ProcessStarted {
  std::string process;
  uint64_t incarnation = 0;
};

// The process has exited or was killed.
struct ProcessEnded {
  std::string process;
};

// A fault that may delay or break operations of the named processes.
struct FaultBegan {
  uint64_t fault = 0;  // unique
  std::string kind;
  std::vector<std::string> processes;  // empty: a platform fault, which affects all processes
};

struct FaultEnded {
  uint64_t fault = 0;
};

// An engine or back end became leaving, by an operator's order, in the machine list or by its own
// announcement, or stopped leaving.
struct LeavingChanged {
  std::string backend;
  bool leaving = true;
  std::string ordered_at;  // node that received an operator's order; empty otherwise
};

// A node or back end was told to stop; `ended` once its process has exited.
struct PlannedStop {
  std::string process;
  bool ended = false;
};

// An operator received the acknowledgement that the change was accepted as this version.
struct ConfigurationAccepted {
  uint64_t version = 0;
  std::string change;  // unique name contained in every later configuration
};

// A node applied this version.
struct ConfigurationInForce {
  std::string node;
  uint64_t version = 0;
  std::vector<std::string> changes;  // changes that the version contains
};

// All faults have ended, and the cluster has had time to finish all pending work.
struct Quiescent {};

using EventData =
    std::variant<CallBegan, CallArrived, CallEnded, RunSent, RunArrived, RunAdmitted, RunEnded,
                 JobOffered, JobAccepted, JobCancelRequested, JobReported, JobOutput,
                 ProcessStarted, ProcessEnded, FaultBegan, FaultEnded, LeavingChanged, PlannedStop,
                 ConfigurationAccepted, ConfigurationInForce, Quiescent>;

struct Event {
  MonotonicTime time;
  EventData data;
};

// Events in ascending order of time.
using History = std::vector<Event>;

}  // namespace chalkshed
