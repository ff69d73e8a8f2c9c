#include "src/batch/batch_rows.h"

#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace chalkshed {
namespace {

using nlohmann::json;

constexpr int kChunkDigits = 6;

std::string chunk_digits(uint32_t chunk) {
  std::string digits = std::to_string(chunk);
  if (digits.size() < kChunkDigits) {
    digits.insert(0, kChunkDigits - digits.size(), '0');
  }
  return digits;
}

// Tenant names and keys are arbitrary strings; the length prefix distinguishes "a/b" + "c" from "a"
// + "b/c".
std::string length_prefixed(const std::string& name) {
  return std::to_string(name.size()) + ":" + name + "/";
}

std::string dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

template <typename Decode>
auto decode_row(const std::string& value, const char* what, Decode decode)
    -> Expected<decltype(decode(json()))> {
  try {
    return decode(json::parse(value));
  } catch (const json::exception& exception) {
    return tl::unexpected(
        not_run(ErrorKind::kInternal,
                std::string("the table contains a malformed ") + what + " row: " + exception.what(),
                "report this as a defect of chalkshed and keep the row"));
  }
}

json job_json(const JobRow& row) {
  return {{"id", row.id},
          {"tenant", row.tenant},
          {"endpoint", row.endpoint},
          {"created_us", row.created_us},
          {"deadline_us", row.deadline_us},
          {"items", row.items},
          {"chunk_items", row.chunk_items},
          {"chunks", row.chunks},
          {"models", row.models}};
}

JobRow job_from(const json& fields) {
  JobRow row;
  row.id = fields.at("id");
  row.tenant = fields.at("tenant");
  row.endpoint = fields.at("endpoint");
  row.created_us = fields.at("created_us");
  row.deadline_us = fields.at("deadline_us");
  row.items = fields.at("items");
  row.chunk_items = fields.at("chunk_items");
  row.chunks = fields.at("chunks");
  row.models = fields.at("models").get<std::vector<std::string>>();
  return row;
}

}  // namespace

RowKey job_key(const JobId& job) { return {kJobTable, job}; }
RowKey open_job_key(const JobId& job) { return {kOpenJobTable, job}; }

RowKey tenant_job_key(const std::string& tenant, const JobId& job) {
  return {kTenantJobTable, tenant_prefix(tenant) + job};
}

RowKey idempotency_key(const std::string& tenant, const std::string& key) {
  return {"batch_idempotency", length_prefixed(tenant) + key};
}

RowKey cancel_key(const JobId& job) { return {"batch_cancel", job}; }
RowKey job_end_key(const JobId& job) { return {"batch_job_end", job}; }

RowKey chunk_key(const JobId& job, uint32_t chunk) {
  return {kChunkTable, chunk_prefix(job) + chunk_digits(chunk)};
}

RowKey session_key(const std::string& session) { return {"batch_session", session}; }

std::string chunk_prefix(const JobId& job) { return job + "/"; }

std::optional<uint32_t> chunk_number(std::string_view key) {
  const size_t slash = key.rfind('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = key.substr(slash + 1);
  uint32_t number = 0;
  const auto [end, code] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
  if (code != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return number;
}

std::string tenant_prefix(const std::string& tenant) { return length_prefixed(tenant); }

std::string input_object_name(const JobId& job, uint32_t chunk) {
  return "batch/" + job + "/input/" + chunk_digits(chunk);
}

std::string result_object_name(const JobId& job, uint32_t chunk, uint64_t epoch,
                               const std::string& session) {
  return "batch/" + job + "/result/" + chunk_digits(chunk) + "-" + std::to_string(epoch) + "-" +
         session;
}

std::string encode(const JobRow& row) { return dump(job_json(row)); }

std::string encode(const OpenJobRow& row) {
  return dump({{"job", job_json(row.job)}, {"cancelled", row.cancelled}});
}

std::string encode(const IdempotencyRow& row) {
  return dump({{"job", row.job}, {"body_digest", row.body_digest}});
}

std::string encode(const ChunkRow& row) {
  return dump({{"state", static_cast<int>(row.state)},
               {"epoch", row.epoch},
               {"owner", row.owner},
               {"result", row.result},
               {"completed", row.completed},
               {"failed", row.failed}});
}

std::string encode(const JobEndRow& row) {
  return dump({{"outcome", static_cast<int>(row.outcome)},
               {"ended_us", row.ended_us},
               {"completed", row.completed},
               {"failed", row.failed}});
}

std::string encode(const SessionRow& row) {
  return dump({{"node", row.node}, {"nonce", row.nonce}, {"lease_us", row.lease_us}});
}

Expected<JobRow> decode_job(const std::string& value) { return decode_row(value, "job", job_from); }

Expected<OpenJobRow> decode_open_job(const std::string& value) {
  return decode_row(value, "open job", [](const json& fields) {
    return OpenJobRow{job_from(fields.at("job")), fields.at("cancelled")};
  });
}

Expected<IdempotencyRow> decode_idempotency(const std::string& value) {
  return decode_row(value, "idempotency", [](const json& fields) {
    return IdempotencyRow{fields.at("job"), fields.at("body_digest")};
  });
}

Expected<ChunkRow> decode_chunk(const std::string& value) {
  return decode_row(value, "chunk", [](const json& fields) {
    ChunkRow row;
    row.state = static_cast<ChunkState>(fields.at("state").get<int>());
    row.epoch = fields.at("epoch");
    row.owner = fields.at("owner");
    row.result = fields.at("result");
    row.completed = fields.at("completed");
    row.failed = fields.at("failed");
    return row;
  });
}

Expected<JobEndRow> decode_job_end(const std::string& value) {
  return decode_row(value, "job end", [](const json& fields) {
    JobEndRow row;
    row.outcome = static_cast<JobOutcome>(fields.at("outcome").get<int>());
    row.ended_us = fields.at("ended_us");
    row.completed = fields.at("completed");
    row.failed = fields.at("failed");
    return row;
  });
}

Expected<SessionRow> decode_session(const std::string& value) {
  return decode_row(value, "session", [](const json& fields) {
    return SessionRow{fields.at("node"), fields.at("nonce"), fields.at("lease_us")};
  });
}

}  // namespace chalkshed
