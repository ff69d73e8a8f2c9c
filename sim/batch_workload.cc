#include "sim/batch_workload.h"

#include "emulator/answer_model.h"

namespace chalkshed {

namespace {

constexpr Duration kResendDelay = std::chrono::milliseconds(700);
constexpr Duration kCallTimeout = std::chrono::seconds(10);
constexpr int kOk = 200;

std::string expected_text(const BatchItemRequest& item) {
  std::string text;
  for (const std::string& token :
       expected_answer_tokens(kModelName, item.prompt, item.max_tokens)) {
    text += token;
  }
  return text;
}

}  // namespace

BatchWorkload::BatchWorkload(SimulatedCluster& cluster, uint64_t seed,
                             const BatchWorkloadKnobs& knobs)
    : cluster_(cluster),
      random_(seed),
      knobs_(knobs),
      timer_(cluster.caller().dispatcher().create_timer([this] {
        const uint64_t range = knobs_.max_items - knobs_.min_items + 1;
        submit_new(knobs_.min_items + static_cast<uint32_t>(random_.below(range)));
        arm();
      })) {}

void BatchWorkload::start() { arm(); }

void BatchWorkload::arm() {
  const auto bound = static_cast<uint64_t>(2 * knobs_.mean_interval.count());
  timer_->enable(Duration(static_cast<int64_t>(random_.below(bound))));
}

bool BatchWorkload::settled() const {
  return std::all_of(jobs_.begin(), jobs_.end(), [](const JobPtr& job) { return job->ended; });
}

bool BatchWorkload::all_accepted() const {
  return std::none_of(jobs_.begin(), jobs_.end(),
                      [](const JobPtr& job) { return job->id.empty(); });
}

void BatchWorkload::after(Duration delay, std::function<void()> callback) {
  cluster_.clock().schedule(delay, std::move(callback));
}

void BatchWorkload::send(CallKind kind, const JobPtr& job, HttpRequest http,
                         SimulatedCaller::Done done) {
  ++operations_;
  CallerRequest call;
  call.began.kind = kind;
  call.began.request = job->key;
  call.began.node = cluster_.nodes()[random_.below(cluster_.nodes().size())];
  call.http = std::move(http);
  call.timeout = kCallTimeout;
  cluster_.caller().send(std::move(call), std::move(done));
}

void BatchWorkload::submit_new(uint32_t item_count) {
  auto job = std::make_shared<Job>();
  job->key = "job-key-" + std::to_string(jobs_.size());
  job->cancels = random_.unit() < knobs_.cancel_share;
  std::vector<BatchItemRequest> items;
  JobOffered offered{job->key, {}};
  for (uint32_t index = 0; index < item_count; ++index) {
    BatchItemRequest item;
    item.custom_id = "item-" + std::to_string(index);
    item.prompt = std::string(kBatchPromptPrefix) + job->key + " " + item.custom_id;
    item.max_tokens = static_cast<uint32_t>(1 + random_.below(knobs_.max_answer_tokens));
    offered.items.push_back({item.custom_id, item.prompt, expected_text(item)});
    items.push_back(std::move(item));
  }
  job->submission = submit_job_request(job->key, items);
  cluster_.recorder().record(std::move(offered));
  jobs_.push_back(job);
  submit(job);
}

void BatchWorkload::submit(const JobPtr& job) {
  send(CallKind::kSubmitJob, job, job->submission,
       [this, job](const CallerAnswer& answer) { on_submitted(job, answer); });
}

void BatchWorkload::on_submitted(const JobPtr& job, const CallerAnswer& answer) {
  const std::string id = answer.status == kOk ? json_text(answer.body, "id") : "";
  if (id.empty() || answer.ended.outcome != CallOutcome::kComplete) {
    after(kResendDelay, [this, job] { submit(job); });
    return;
  }
  cluster_.recorder().record(JobAccepted{job->key, id});
  if (random_.unit() < knobs_.resend_after_acceptance_share) {
    after(kResendDelay, [this, job] { submit(job); });
  }
  if (!job->id.empty()) {
    return;  // response to a resend; the job is already polled since the first acceptance
  }
  job->id = id;
  if (job->cancels) {
    const auto bound = static_cast<uint64_t>(knobs_.max_delay_before_cancel.count());
    after(Duration(static_cast<int64_t>(random_.below(bound))), [this, job] { cancel(job); });
  }
  after(knobs_.poll_interval, [this, job] { poll(job); });
}

void BatchWorkload::record_status(const JobPtr& job, const std::string& body) {
  const std::string status = json_text(body, "status");
  if (status.empty()) {
    return;
  }
  cluster_.recorder().record(JobReported{job->id, status});
  job->ended = job->ended || status == "completed" || status == "cancelled";
}

void BatchWorkload::poll(const JobPtr& job) {
  send(CallKind::kQuery, job, get_request("/v1/batches/" + job->id),
       [this, job](const CallerAnswer& answer) { on_status(job, answer); });
}

void BatchWorkload::on_status(const JobPtr& job, const CallerAnswer& answer) {
  if (answer.status == kOk && answer.ended.outcome == CallOutcome::kComplete) {
    record_status(job, answer.body);
  }
  constexpr double kReadShare = 0.2;
  if (job->ended || random_.unit() < kReadShare) {
    read_output(job, false);
  }
  if (!job->ended) {
    after(knobs_.poll_interval, [this, job] { poll(job); });
  }
}

void BatchWorkload::cancel(const JobPtr& job) {
  cluster_.recorder().record(JobCancelRequested{job->id});
  send(CallKind::kCancelJob, job, post_request("/v1/batches/" + job->id + "/cancel", "", ""),
       [this, job](const CallerAnswer& answer) {
         const bool complete = answer.ended.outcome == CallOutcome::kComplete;
         if (complete && answer.status == kOk) {
           record_status(job, answer.body);
         } else if (!job->ended) {
           after(kResendDelay, [this, job] { cancel(job); });
         }
       });
}

void BatchWorkload::cancel_all() {
  for (const JobPtr& job : jobs_) {
    if (!job->id.empty()) {
      cancel(job);
    }
  }
}

void BatchWorkload::read_output(const JobPtr& job, bool final) {
  send(CallKind::kQuery, job, get_request("/v1/batches/" + job->id + "/output"),
       [this, job, final](const CallerAnswer& answer) {
         const bool complete = answer.ended.outcome == CallOutcome::kComplete;
         if (complete && answer.status == kOk) {
           cluster_.recorder().record(
               JobOutput{job->id, read_output_lines(answer.body), answer.ended.call});
         }
         if (final && complete && answer.status == kOk) {
           --pending_final_reads_;
         } else if (final) {
           after(kResendDelay, [this, job] { read_output(job, true); });
         }
       });
}

void BatchWorkload::read_all_outputs() {
  for (const JobPtr& job : jobs_) {
    if (!job->id.empty()) {
      ++pending_final_reads_;
      read_output(job, true);
    }
  }
}

}  // namespace chalkshed
