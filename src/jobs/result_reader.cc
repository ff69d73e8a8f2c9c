#include "src/jobs/result_reader.h"

#include <utility>

#include "src/core/call_after.h"
#include "src/jobs/job_rows.h"

namespace chalkshed {
namespace {

// About as many results of usual size as fit one response.
constexpr uint32_t kMaxResults = 60;

}  // namespace

bool ResultPage::add(JobResult result, size_t max_bytes) {
  if (!results.empty() && bytes_ + result.text.size() > max_bytes) {
    return false;
  }
  bytes_ += result.text.size();
  results.push_back(std::move(result));
  ++next;
  return true;
}

bool ResultPage::replace(size_t index, std::string text, size_t max_bytes) {
  JobResult& result = results[index];
  const size_t bytes = bytes_ - result.text.size() + text.size();
  if (index > 0 && bytes > max_bytes) {
    next -= static_cast<uint32_t>(results.size() - index);
    results.resize(index);
    return false;
  }
  bytes_ = bytes;
  result.text = std::move(text);
  result.in_object = false;
  return true;
}

void ResultReader::read(const StoredJob& record, uint32_t from, Duration wait,
                        Callback<ResultPage> callback) {
  environment_.store.read_range(
      job_result_range(record.id, from, kMaxResults),
      lifetime_.guard([this, record, from, wait,
                       callback = std::move(callback)](const Expected<RangePage>& rows) {
        if (!rows) {
          callback(tl::unexpected(rows.error()));
          return;
        }
        auto page = std::make_shared<ResultPage>();
        page->total = record.items;
        page->next = from;
        for (const StoredRow& row : rows->rows) {
          Expected<JobResult> result = decode_job_result(row.value);
          if (!result) {
            callback(tl::unexpected(result.error()));
            return;
          }
          if (!page->add(std::move(*result), environment_.knobs.max_response_bytes)) {
            break;
          }
        }
        if (page->results.empty() && from < record.items && wait > Duration(0)) {
          call_after(environment_.serving.dispatcher, wait,
                     lifetime_.guard([this, record, from, callback] {
                       read(record, from, Duration(0), callback);
                     }));
          return;
        }
        fetch_large(std::move(page), 0, callback);
      }));
}

void ResultReader::fetch_large(std::shared_ptr<ResultPage> page, size_t index,
                               Callback<ResultPage> callback) {
  while (index < page->results.size() && !page->results[index].in_object) {
    ++index;
  }
  if (index == page->results.size()) {
    callback(std::move(*page));
    return;
  }
  std::string name = page->results[index].text;
  environment_.objects.get(
      std::move(name),
      lifetime_.guard([this, page = std::move(page), index, callback = std::move(callback)](
                          const Expected<std::shared_ptr<const std::string>>& text) mutable {
        if (!text) {
          callback(tl::unexpected(text.error()));
          return;
        }
        if (!page->replace(index, **text, environment_.knobs.max_response_bytes)) {
          callback(std::move(*page));
          return;
        }
        fetch_large(std::move(page), index + 1, std::move(callback));
      }));
}

}  // namespace chalkshed
