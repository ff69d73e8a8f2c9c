#include "src/once/claim_record.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "src/core/digest.h"

namespace chalkshed {
namespace {

using Json = nlohmann::json;

constexpr const char* kStateNames[] = {"claimed", "finished", "not_run"};

Json encode_answer(const HttpResponse& answer) {
  Json headers = Json::array();
  for (const HttpHeader& header : answer.headers) {
    headers.push_back({Json::binary({header.name.begin(), header.name.end()}),
                       Json::binary({header.value.begin(), header.value.end()})});
  }
  return {{"status", answer.status},
          {"headers", std::move(headers)},
          {"body", Json::binary({answer.body.begin(), answer.body.end()})}};
}

std::string decode_bytes(const Json& value) {
  const Json::binary_t& bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

HttpResponse decode_answer(const Json& value) {
  HttpResponse answer;
  answer.status = value.at("status").get<int>();
  for (const Json& header : value.at("headers")) {
    answer.headers.push_back({decode_bytes(header.at(0)), decode_bytes(header.at(1))});
  }
  answer.body = decode_bytes(value.at("body"));
  return answer;
}

ClaimState decode_state(const std::string& name) {
  const auto* found = std::find(std::begin(kStateNames), std::end(kStateNames), name);
  return static_cast<ClaimState>(found - std::begin(kStateNames));
}

}  // namespace

// CBOR, because answers of plain HTTP back ends may contain arbitrary bytes.
std::string encode_claim_record(const ClaimRecord& record) {
  Json value = {{"state", kStateNames[static_cast<int>(record.state)]},
                {"request_digest", record.request_digest},
                {"attempt", record.attempt},
                {"node", record.node},
                {"claimed_at", record.claimed_at_seconds}};
  if (record.answer) {
    value["answer"] = encode_answer(*record.answer);
  }
  std::string encoded;
  Json::to_cbor(value, encoded);
  return encoded;
}

Expected<ClaimRecord> decode_claim_record(const std::string& value) {
  try {
    const Json json = Json::from_cbor(value);
    ClaimRecord record;
    record.state = decode_state(json.at("state").get<std::string>());
    record.request_digest = json.at("request_digest").get<std::string>();
    record.attempt = json.at("attempt").get<std::string>();
    record.node = json.at("node").get<std::string>();
    record.claimed_at_seconds = json.at("claimed_at").get<int64_t>();
    if (json.contains("answer")) {
      record.answer = decode_answer(json.at("answer"));
    }
    return record;
  } catch (const Json::exception& exception) {
    return tl::unexpected(
        maybe_run(ErrorKind::kInternal,
                  std::string("a row of table 'claims' is unreadable: ") + exception.what(),
                  "check what else writes to this table"));
  }
}

std::string claim_bucket_prefix(uint32_t bucket) {
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%02x/", bucket);
  return text.data();
}

RowKey claim_row_key(const std::string& tenant, const std::string& idempotency_key) {
  // The length prefix distinguishes ("a/b", "c") from ("a", "b/c").
  const std::string name = std::to_string(tenant.size()) + "/" + tenant + "/" + idempotency_key;
  const auto bucket = static_cast<uint32_t>(content_hash(name) % kClaimBuckets);
  return {kClaimsTable, claim_bucket_prefix(bucket) + name};
}

std::optional<Error> check_idempotency_key(const std::string& idempotency_key) {
  const bool printable =
      std::all_of(idempotency_key.begin(), idempotency_key.end(),
                  [](char character) { return character >= ' ' && character <= '~'; });
  if (!idempotency_key.empty() && idempotency_key.size() <= kMaxIdempotencyKeyBytes && printable) {
    return std::nullopt;
  }
  return not_run(ErrorKind::kInvalidRequest, "the Idempotency-Key is invalid",
                 "send 1 to " + std::to_string(kMaxIdempotencyKeyBytes) +
                     " printable ASCII characters, new for each request and the same for its "
                     "resends");
}

std::string request_digest(const HttpRequest& request) {
  return content_digest(request.method + " " + request.path + "?" + request.query + "\n" +
                        request.body);
}

}  // namespace chalkshed
