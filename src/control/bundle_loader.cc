#include "src/control/bundle_loader.h"

#include <toml++/toml.h>
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace chalkshed {
namespace {

namespace fs = std::filesystem;

Error unreadable_file(const std::string& path, const std::string& problem) {
  return not_run(ErrorKind::kInvalidRequest, path + ": " + problem,
                 "check the path and its permissions");
}

Expected<std::string> read_file(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file || fs::is_directory(path)) {
    return tl::unexpected(unreadable_file(path.string(), "cannot be read"));
  }
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

Expected<std::vector<fs::path>> documents_of(const std::vector<std::string>& paths) {
  std::vector<fs::path> documents;
  for (const std::string& path : paths) {
    std::error_code failure;
    if (!fs::is_directory(path, failure)) {
      documents.emplace_back(path);
      continue;
    }
    std::vector<fs::path> found;
    for (const auto& entry : fs::directory_iterator(path, failure)) {
      if (entry.path().extension() == ".toml") {
        found.push_back(entry.path());
      }
    }
    if (found.empty()) {
      return tl::unexpected(unreadable_file(path, "the folder contains no .toml files"));
    }
    std::sort(found.begin(), found.end());
    documents.insert(documents.end(), found.begin(), found.end());
  }
  return documents;
}

// Names of the policy files that a document refers to. Ignores malformed content; the configuration
// check reports it with line and field.
std::vector<std::string> referenced_files(const std::string& text) {
  std::vector<std::string> names;
  try {
    const toml::table root = toml::parse(text);
    if (const toml::table* policies = root["policies"].as_table()) {
      for (const auto& [name, policy] : *policies) {
        const toml::table* table = policy.as_table();
        const auto file = table != nullptr ? (*table)["file"].value<std::string>() : std::nullopt;
        if (file) {
          names.push_back(*file);
        }
      }
    }
  } catch (const toml::parse_error&) {
  }
  return names;
}

bool is_below_document_folder(const fs::path& name) {
  const auto outside = [](const fs::path& part) { return part == ".."; };
  return name.is_relative() && std::none_of(name.begin(), name.end(), outside);
}

std::optional<Error> load_policy_files(const fs::path& document, const std::string& text,
                                       ConfigurationBundle& bundle) {
  for (const std::string& name : referenced_files(text)) {
    if (!is_below_document_folder(name)) {
      return not_run(ErrorKind::kInvalidRequest,
                     document.string() + ": the policy file \"" + name +
                         "\" is not in or below the folder of the document",
                     "move it there and use its relative path");
    }
    auto content = read_file(document.parent_path() / name);
    if (!content) {
      return content.error();
    }
    const auto [entry, added] = bundle.policy_files.emplace(name, *content);
    if (!added && entry->second != *content) {
      return not_run(ErrorKind::kInvalidRequest,
                     document.string() + ": two different policy files are named \"" + name + "\"",
                     "rename one of them");
    }
  }
  return std::nullopt;
}

}  // namespace

Expected<ConfigurationBundle> load_bundle(const std::vector<std::string>& paths) {
  const auto documents = documents_of(paths);
  if (!documents) {
    return tl::unexpected(documents.error());
  }
  ConfigurationBundle bundle;
  for (const fs::path& path : *documents) {
    auto text = read_file(path);
    if (!text) {
      return tl::unexpected(text.error());
    }
    if (auto error = load_policy_files(path, *text, bundle)) {
      return tl::unexpected(*std::move(error));
    }
    bundle.documents.push_back({path.string(), *std::move(text)});
  }
  return bundle;
}

}  // namespace chalkshed
