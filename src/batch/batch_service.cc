#include "src/batch/batch_service.h"

#include <algorithm>

#include "src/batch/batch_format.h"
#include "src/core/number_text.h"
#include "src/gateway/authentication.h"
#include "src/http/error_response.h"

namespace chalkshed {
namespace {

constexpr std::string_view kBatchesPath = "/v1/batches";
constexpr std::string_view kAdminJobsPath = "/admin/jobs";
constexpr std::string_view kIdempotencyHeader = "Idempotency-Key";
constexpr std::string_view kDeadlineHeader = "X-Chalkshed-Deadline-Ms";
constexpr size_t kMaxKeyBytes = 256;
constexpr uint32_t kDefaultListLimit = 20;

HttpResponse json_response(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = std::move(body);
  return response;
}

// @return the value of a query parameter, not percent-decoded: job ids and numbers need no
// escaping.
std::optional<std::string> query_parameter(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const size_t end = std::min(query.find('&'), query.size());
    const std::string_view pair = query.substr(0, end);
    const size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return std::string(pair.substr(equals + 1));
    }
    query.remove_prefix(std::min(end + 1, query.size()));
  }
  return std::nullopt;
}

Expected<uint64_t> number_parameter(const HttpRequest& request, std::string_view name,
                                    uint64_t fallback) {
  const auto text = query_parameter(request.query, name);
  if (!text) {
    return fallback;
  }
  const auto number = parse_number<uint64_t>(*text);
  if (!number) {
    std::string message = "the parameter ";
    message.append(name).append("=").append(*text).append(" is not a number");
    return tl::unexpected(
        not_run(ErrorKind::kInvalidRequest, std::move(message), "use an integer of at least 0"));
  }
  return *number;
}

}  // namespace

struct BatchService::Call {
  HttpRequest request;
  ResponseWriterPtr writer;
  bool closed = false;  // responded, or the caller disconnected
  bool admin = false;
  std::string tenant;  // empty for operators
  JobId job;           // from the path; may be empty
  std::string action;  // last path segment; may be empty

  void fail(const Error& error) { respond(error_response(error)); }
  void respond(const HttpResponse& response) {
    if (!closed) {
      closed = true;
      writer->respond(response);
    }
  }
};

BatchService::BatchService(const NodeIdentity& identity, NodeDependencies& dependencies,
                           ConfigurationSource& configuration, MembershipView& membership,
                           PolicyEvaluator& policy, BatchSlots& slots, BatchKnobs knobs)
    : identity_(identity),
      dependencies_(dependencies),
      configuration_(configuration),
      knobs_(knobs),
      metrics_(dependencies_.metrics),
      store_(dependencies_, membership, knobs_),
      reader_(store_),
      runner_(identity_, dependencies_, configuration, membership, policy, slots, store_, metrics_,
              knobs_),
      peers_(identity_, dependencies_, membership,
             {[this](const JobId& job) { runner_.on_job_cancelled(job); },
              [this](const OpenJobRow& job, RowVersion version) {
                runner_.on_job_accepted(job, version);
              }}),
      canceller_(dependencies_, peers_, store_, reader_, knobs_) {}

BatchService::~BatchService() = default;

void BatchService::start() { runner_.start(); }

void BatchService::drain(std::function<void()> done) {
  draining_ = true;
  runner_.drain(std::move(done));
}

void BatchService::handle(HttpRequest request, ResponseWriterPtr writer) {
  auto call = std::make_shared<Call>();
  call->request = std::move(request);
  call->writer = std::move(writer);
  // An operation continues when its caller disconnects.
  call->writer->set_on_closed([weak = std::weak_ptr<Call>(call)] {
    if (auto closed = weak.lock()) {
      closed->closed = true;
    }
  });
  std::string_view path = call->request.path;
  call->admin = path.starts_with(kAdminJobsPath);
  path.remove_prefix(std::min(path.size(), (call->admin ? kAdminJobsPath : kBatchesPath).size()));
  if (path.starts_with('/')) {
    path.remove_prefix(1);
  }
  const size_t slash = std::min(path.find('/'), path.size());
  call->job = path.substr(0, slash);
  call->action = slash < path.size() ? path.substr(slash + 1) : "";
  if (!call->admin) {
    const ConfigurationPtr configuration = configuration_.current();
    if (configuration == nullptr) {
      call->fail(not_run(ErrorKind::kUnavailable, "this node has not loaded its configuration yet",
                         "resend in a moment or to another node"));
      return;
    }
    auto tenant = authenticate(call->request, *configuration);
    if (!tenant) {
      call->fail(tenant.error());
      return;
    }
    call->tenant = std::move(*tenant);
  }
  route(call);
}

void BatchService::route(const CallPtr& call) {
  const std::string& method = call->request.method;
  if (call->job.empty() && method == "GET") {
    list(call);
  } else if (call->job.empty() && method == "POST" && !call->admin) {
    submit(call);
  } else if (!call->job.empty() && call->action.empty() && method == "GET") {
    show(call);
  } else if (call->action == "cancel" && method == "POST") {
    cancel(call);
  } else if (call->action == "output" && method == "GET" && !call->admin) {
    send_output(call);
  } else {
    call->fail(not_run(ErrorKind::kNotFound, "there is no " + method + " " + call->request.path,
                       "see docs/operators/batch.md for the paths of batch jobs"));
  }
}

void BatchService::submit(const CallPtr& call) {
  if (draining_) {
    Error error =
        not_run(ErrorKind::kDraining, "this node is draining", "send the job to another node");
    error.retry_after = std::chrono::seconds(1);
    call->fail(error);
    return;
  }
  JobSubmission submission;
  submission.tenant = call->tenant;
  submission.deadline = knobs_.default_deadline;
  if (const auto deadline = find_header(call->request.headers, kDeadlineHeader)) {
    const auto milliseconds = parse_number<uint64_t>(*deadline);
    if (!milliseconds || *milliseconds == 0) {
      call->fail(not_run(ErrorKind::kInvalidRequest,
                         "the header X-Chalkshed-Deadline-Ms is not a number above 0",
                         "set the deadline in milliseconds from now"));
      return;
    }
    submission.deadline = std::chrono::milliseconds(*milliseconds);
  }
  const auto key = find_header(call->request.headers, kIdempotencyHeader);
  if (key && (key->empty() || key->size() > kMaxKeyBytes)) {
    call->fail(not_run(ErrorKind::kInvalidRequest, "the Idempotency-Key has an invalid length",
                       "use a key of 1 to 256 bytes"));
    return;
  }
  submission.key =
      key ? std::string(*key) : "generated-" + std::to_string(dependencies_.random.next());
  submission.body = std::move(call->request.body);
  accept(call, std::move(submission));
}

void BatchService::accept(const CallPtr& call, JobSubmission submission) {
  const size_t bytes = submission.body.size();
  if (accepting_bytes_ > 0 && accepting_bytes_ + bytes > knobs_.max_accepting_bytes) {
    Error error = not_run(ErrorKind::kOverloaded, "this node is accepting other large jobs",
                          "resend the job, here or to another node");
    error.retry_after = std::chrono::seconds(2);
    call->fail(error);
    return;
  }
  accepting_bytes_ += bytes;
  const uint64_t operation_id = next_operation_id_++;
  auto acceptor = std::make_unique<JobAcceptor>(
      dependencies_, store_, knobs_, std::move(submission),
      [this, call, operation_id, bytes](const Expected<AcceptedJob>& job) {
        if (!job || job->recorded) {
          accepting_bytes_ -= bytes;
          dependencies_.dispatcher.post(
              lifetime_.guard([this, operation_id] { acceptors_.erase(operation_id); }));
        }
        on_submitted(call, job);
      });
  JobAcceptor* started = acceptor.get();
  acceptors_[operation_id] = std::move(acceptor);
  started->start();
}

void BatchService::on_submitted(const CallPtr& call, const Expected<AcceptedJob>& job) {
  if (!job) {
    call->fail(job.error());
    return;
  }
  if (job->resent) {
    metrics_.jobs_resent.add(1);
    respond_report(call, job->id, 200);
    return;
  }
  dependencies_.logger.write(LogLevel::kInfo, "batch_job_accepted",
                             {{"job", job->id},
                              {"tenant", job->row.job.tenant},
                              {"items", std::to_string(job->row.job.items)},
                              {"chunks", std::to_string(job->row.job.chunks)}});
  metrics_.jobs_accepted.add(1);
  JobReport report;
  report.job = job->row.job;
  call->respond(json_response(200, format_batch(report)));
  runner_.on_job_accepted(job->row, job->version);
  peers_.notify_accepted(job->row, job->version);
}

void BatchService::list(const CallPtr& call) {
  const auto limit = number_parameter(call->request, "limit", kDefaultListLimit);
  if (!limit) {
    call->fail(limit.error());
    return;
  }
  const auto bounded = static_cast<uint32_t>(std::clamp<uint64_t>(*limit, 1, knobs_.list_limit));
  const JobId after = query_parameter(call->request.query, "after").value_or("");
  reader_.list(call->tenant, after, bounded, lifetime_.guard([call](const Expected<JobPage>& page) {
    if (!page) {
      call->fail(page.error());
      return;
    }
    call->respond(
        json_response(200, call->admin ? format_admin_jobs(*page) : format_batch_list(*page)));
  }));
}

void BatchService::show(const CallPtr& call) { respond_report(call, call->job, 200); }

void BatchService::respond_report(const CallPtr& call, const JobId& job, int status) {
  reader_.report(
      call->tenant, job, lifetime_.guard([call, status](const Expected<JobReport>& report) {
        if (!report) {
          call->fail(report.error());
          return;
        }
        call->respond(
            json_response(status, call->admin ? format_admin_job(*report) : format_batch(*report)));
      }));
}

void BatchService::cancel(const CallPtr& call) {
  canceller_.cancel(call->tenant, call->job,
                    lifetime_.guard([this, call](const Expected<std::monostate>& result) {
                      if (!result) {
                        call->fail(result.error());
                        return;
                      }
                      runner_.on_job_cancelled(call->job);
                      respond_report(call, call->job, 200);
                    }));
}

void BatchService::send_output(const CallPtr& call) {
  const auto after = number_parameter(call->request, "after", 0);
  const auto limit = number_parameter(call->request, "limit", UINT64_MAX);
  if (!after || !limit) {
    call->fail(after ? limit.error() : after.error());
    return;
  }
  reader_.report(
      call->tenant, call->job,
      lifetime_.guard([this, call, after = *after, limit = *limit](Expected<JobReport> report) {
        if (!report) {
          call->fail(report.error());
          return;
        }
        if (call->closed) {
          return;
        }
        const uint64_t operation_id = next_operation_id_++;
        auto output = std::make_unique<OutputStream>(
            dependencies_, store_, knobs_, OutputRequest{std::move(*report), after, limit},
            std::move(call->writer), [this, operation_id] {
              dependencies_.dispatcher.post(
                  lifetime_.guard([this, operation_id] { outputs_.erase(operation_id); }));
            });
        OutputStream* started = output.get();
        outputs_[operation_id] = std::move(output);
        started->start();
      }));
}

}  // namespace chalkshed
