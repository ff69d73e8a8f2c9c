#include "src/batch/batch_format.h"

#include <nlohmann/json.hpp>

namespace chalkshed {
namespace {

using nlohmann::json;

constexpr uint64_t kMicrosecondsPerSecond = 1'000'000;

std::string dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json batch_object(const JobReport& report) {
  const JobRow& job = report.job;
  json object = {
      {"id", job.id},
      {"object", "batch"},
      {"endpoint", job.endpoint},
      {"status", job_status_name(report.status)},
      {"created_at", job.created_us / kMicrosecondsPerSecond},
      {"in_progress_at", job.created_us / kMicrosecondsPerSecond},
      {"expires_at", job.deadline_us / kMicrosecondsPerSecond},
      {"input_file_id", "/v1/batches"},
      {"output_file_id", "/v1/batches/" + job.id + "/output"},
      {"error_file_id", nullptr},
      {"errors", nullptr},
      {"completion_window",
       std::to_string((job.deadline_us - job.created_us) / kMicrosecondsPerSecond) + "s"},
      {"request_counts",
       {{"total", job.items}, {"completed", report.completed}, {"failed", report.failed}}}};
  if (report.ended_us) {
    const bool completed = report.status == JobStatus::kCompleted;
    object[completed ? "completed_at" : "cancelled_at"] = *report.ended_us / kMicrosecondsPerSecond;
  }
  return object;
}

json admin_object(const JobReport& report) {
  json object = batch_object(report);
  object["tenant"] = report.job.tenant;
  object["models"] = report.job.models;
  object["chunks"] = {{"total", report.job.chunks},
                      {"done", report.chunks_done},
                      {"running", report.chunks_running}};
  return object;
}

template <typename Describe>
std::string format_list(const JobPage& page, Describe describe) {
  json data = json::array();
  for (const JobReport& report : page.jobs) {
    data.push_back(describe(report));
  }
  json list = {{"object", "list"}, {"data", std::move(data)}, {"has_more", page.more}};
  if (!page.jobs.empty()) {
    list["first_id"] = page.jobs.front().job.id;
    list["last_id"] = page.jobs.back().job.id;
  }
  return dump(list);
}

}  // namespace

std::string format_batch(const JobReport& report) { return dump(batch_object(report)); }

std::string format_batch_list(const JobPage& page) { return format_list(page, batch_object); }

std::string format_admin_job(const JobReport& report) { return dump(admin_object(report)); }

std::string format_admin_jobs(const JobPage& page) { return format_list(page, admin_object); }

}  // namespace chalkshed
