#include "sim/workload_requests.h"

#include <nlohmann/json.hpp>

#include "sim/simulated_cluster.h"

namespace chalkshed {

namespace {

using Json = nlohmann::json;

HttpRequest request_of(const std::string& method, const std::string& path) {
  HttpRequest request;
  request.method = method;
  request.path = path;
  request.headers.push_back({"Authorization", std::string("Bearer ") + kCallerApiKey});
  return request;
}

JobOutputLine read_output_line(const Json& json) {
  JobOutputLine line;
  line.custom_id = json.value("custom_id", "");
  line.completion = json.value("id", "");
  if (json.contains("error") && !json["error"].is_null()) {
    line.error_kind = json["error"].is_object() ? json["error"].value("code", "error") : "error";
    return line;
  }
  const Json& body = json["response"]["body"];
  if (body.contains("choices")) {
    line.text = body["choices"][0].value("text", "");
  } else {
    line.error_kind = "status " + json["response"].value("status_code", Json()).dump();
  }
  return line;
}

}  // namespace

HttpRequest completion_request(const std::string& model, const std::string& prompt,
                               uint32_t max_tokens, bool stream) {
  HttpRequest request = request_of("POST", "/v1/completions");
  request.headers.push_back({"Content-Type", "application/json"});
  request.body =
      Json{{"model", model}, {"prompt", prompt}, {"max_tokens", max_tokens}, {"stream", stream}}
          .dump();
  return request;
}

HttpRequest service_request(const std::string& text) {
  HttpRequest request = request_of("POST", std::string("/services/") + kPlainService + "/ask");
  request.headers.push_back({"Content-Type", "text/plain"});
  request.body = text;
  return request;
}

HttpRequest submit_job_request(const std::string& key, const std::vector<BatchItemRequest>& items) {
  HttpRequest request = request_of("POST", "/v1/batches");
  request.headers.push_back({"Content-Type", "application/jsonl"});
  request.headers.push_back({"Idempotency-Key", key});
  for (const BatchItemRequest& item : items) {
    const Json body = {
        {"model", kModelName}, {"prompt", item.prompt}, {"max_tokens", item.max_tokens}};
    request.body += Json{
        {"custom_id", item.custom_id},
        {"method", "POST"},
        {"url", "/v1/completions"},
        {"body", body}}.dump();
    request.body += '\n';
  }
  return request;
}

HttpRequest get_request(const std::string& path, const std::string& query) {
  HttpRequest request = request_of("GET", path);
  request.query = query;
  return request;
}

HttpRequest post_request(const std::string& path, const std::string& query, std::string body) {
  HttpRequest request = request_of("POST", path);
  request.query = query;
  request.body = std::move(body);
  return request;
}

HttpRequest as_operator(HttpRequest request) {
  std::erase_if(request.headers,
                [](const HttpHeader& header) { return header.name == "Authorization"; });
  request.headers.push_back({"Authorization", std::string("Bearer ") + kOperatorKey});
  return request;
}

std::string json_text(const std::string& body, const std::string& member) {
  const Json json = Json::parse(body, nullptr, false);
  return json.is_object() && json.contains(member) && json[member].is_string()
             ? json[member].get<std::string>()
             : "";
}

uint64_t json_number(const std::string& body, const std::string& member) {
  const Json json = Json::parse(body, nullptr, false);
  return json.is_object() && json.contains(member) && json[member].is_number_unsigned()
             ? json[member].get<uint64_t>()
             : 0;
}

std::vector<JobOutputLine> read_output_lines(const std::string& body) {
  std::vector<JobOutputLine> lines;
  std::istringstream stream(body);
  for (std::string text; std::getline(stream, text);) {
    const Json json = Json::parse(text, nullptr, false);
    lines.push_back(json.is_object() && json.contains("response")
                        ? read_output_line(json)
                        : JobOutputLine{"", text, "", ""});
  }
  return lines;
}

}  // namespace chalkshed
