#include "chalkshed/item_waits_api.h"

#include <nlohmann/json.hpp>

#include "src/http/error_response.h"

namespace chalkshed {
namespace {

constexpr std::string_view kPath = "/admin/items";
constexpr size_t kMostItems = 1000;

int64_t in_milliseconds(Duration duration) { return duration / std::chrono::milliseconds(1); }

nlohmann::json entry_of(const waiting_item& item) {
  nlohmann::json entry = {{"job", item.job},
                          {"item", item.item},
                          {"content", item.content},
                          {"wait", item_wait_name(item.wait)},
                          {"waited_ms", in_milliseconds(item.waited)},
                          {"workers_ended", item.crashes}};
  if (item.ends_in) {
    entry["ends_in_ms"] = in_milliseconds(*item.ends_in);
  }
  return entry;
}

}  // namespace

void item_waits_api::handle(HttpRequest request, ResponseWriterPtr writer) {
  if (request.method != "GET" || request.path != kPath) {
    writer->respond(error_response(
        not_run(ErrorKind::kNotFound, "unknown operation " + request.method + " " + request.path,
                "use GET " + std::string(kPath))));
    return;
  }
  std::vector<waiting_item> items = list_(kMostItems + 1);
  const bool complete = items.size() <= kMostItems;
  items.resize(std::min(items.size(), kMostItems));
  nlohmann::json list = nlohmann::json::array();
  for (const waiting_item& item : items) {
    list.push_back(entry_of(item));
  }
  const nlohmann::json body = {{"items", std::move(list)}, {"complete", complete}};
  // Ids come from callers and may hold any bytes.
  writer->respond({200,
                   {{"Content-Type", "application/json"}},
                   body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)});
}

}  // namespace chalkshed
