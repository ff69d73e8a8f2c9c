#include "src/configuration/configuration_request.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <charconv>
#include <nlohmann/json.hpp>

namespace chalkshed {
namespace {

using nlohmann::json;

constexpr size_t kMaxCommentLength = 500;

Error malformed(const std::string& problem) {
  return not_run(ErrorKind::kInvalidRequest, "the request body cannot be read: " + problem,
                 "send a TOML document, or the JSON form that docs/operators/configuration.md "
                 "describes with Content-Type application/json");
}

Expected<ApplyRequest> parse_json_request(const std::string& body) {
  ApplyRequest parsed;
  try {
    const json root = json::parse(body);
    for (const json& document : root.at("documents")) {
      parsed.bundle.documents.push_back({document.at("name"), document.at("text")});
    }
    if (root.contains("policy_files")) {
      root.at("policy_files").get_to(parsed.bundle.policy_files);
    }
    if (root.contains("base_version")) {
      parsed.base_version = root.at("base_version").get<ConfigurationVersion>();
    }
    parsed.author = root.value("author", "");
    parsed.comment = root.value("comment", "");
  } catch (const json::exception& failure) {
    return tl::unexpected(malformed(failure.what()));
  }
  return parsed;
}

Expected<ApplyRequest> parse_toml_request(const HttpRequest& request) {
  ApplyRequest parsed;
  const auto base_version = version_parameter(request.query, "base_version");
  if (!base_version) {
    return tl::unexpected(base_version.error());
  }
  parsed.base_version = *base_version;
  parsed.author = query_parameter(request.query, "author");
  parsed.comment = query_parameter(request.query, "comment");
  parsed.bundle.documents.push_back({"configuration", request.body});
  return parsed;
}

}  // namespace

std::string query_parameter(const std::string& query, const std::string& name) {
  evkeyvalq parameters{};
  if (evhttp_parse_query_str(query.c_str(), &parameters) != 0) {
    return "";
  }
  const char* value = evhttp_find_header(&parameters, name.c_str());
  std::string text = value != nullptr ? value : "";
  evhttp_clear_headers(&parameters);
  return text;
}

Expected<std::optional<uint64_t>> version_parameter(const std::string& query,
                                                    const std::string& name) {
  const std::string text = query_parameter(query, name);
  if (text.empty()) {
    return std::nullopt;
  }
  uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed_end, code] = std::from_chars(text.data(), end, number);
  if (code != std::errc() || parsed_end != end) {
    return tl::unexpected(not_run(ErrorKind::kInvalidRequest,
                                  "parameter " + name + " is \"" + text + "\", not an integer",
                                  "write " + name + "=N"));
  }
  return number;
}

Expected<ApplyRequest> parse_apply_request(const HttpRequest& request) {
  const auto type = find_header(request.headers, "Content-Type").value_or("");
  auto parsed = type.starts_with("application/json") ? parse_json_request(request.body)
                                                     : parse_toml_request(request);
  if (parsed) {
    parsed->author.resize(std::min(parsed->author.size(), kMaxCommentLength));
    parsed->comment.resize(std::min(parsed->comment.size(), kMaxCommentLength));
  }
  return parsed;
}

std::string encode_apply_request(const ApplyRequest& request) {
  json documents = json::array();
  for (const ConfigurationDocument& document : request.bundle.documents) {
    documents.push_back({{"name", document.name}, {"text", document.text}});
  }
  json root = {{"documents", std::move(documents)},
               {"policy_files", request.bundle.policy_files},
               {"author", request.author},
               {"comment", request.comment}};
  if (request.base_version) {
    root["base_version"] = *request.base_version;
  }
  return root.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace chalkshed
