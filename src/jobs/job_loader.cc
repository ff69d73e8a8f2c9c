#include "src/jobs/job_loader.h"

#include <algorithm>

#include "src/jobs/job_rows.h"

namespace chalkshed {

void JobLoader::load_content(const StoredJob& record,
                             Callback<std::shared_ptr<const std::string>> callback) {
  if (record.content_in_object) {
    environment_.objects.get(job_object_name(record.id), std::move(callback));
    return;
  }
  load_pieces(record.id, 0, "", std::move(callback));
}

void JobLoader::load_pieces(const std::string& job, uint32_t piece, std::string content,
                            Callback<std::shared_ptr<const std::string>> callback) {
  environment_.store.read_range(
      job_content_range(job, piece),
      lifetime_.guard([this, job, piece, content = std::move(content),
                       callback = std::move(callback)](const Expected<RangePage>& page) mutable {
        if (!page) {
          callback(tl::unexpected(page.error()));
          return;
        }
        for (const StoredRow& row : page->rows) {
          content += row.value;
        }
        const auto next = piece + static_cast<uint32_t>(page->rows.size());
        if (next == 0) {
          callback(tl::unexpected(maybe_run(ErrorKind::kNotFound,
                                            "the content of job " + job + " is missing",
                                            "check what removed it from the store")));
          return;
        }
        if (page->more && next > piece) {
          load_pieces(job, next, std::move(content), std::move(callback));
          return;
        }
        callback(std::make_shared<const std::string>(std::move(content)));
      }));
}

void JobLoader::load_items(const StoredJob& record,
                           Callback<std::vector<ServingRequest>> callback) {
  load_content(record,
               lifetime_.guard([this, host = record.host, tenant = record.tenant,
                                callback = std::move(callback)](
                                   const Expected<std::shared_ptr<const std::string>>& content) {
                 if (!content) {
                   callback(tl::unexpected(content.error()));
                   return;
                 }
                 Expected<std::vector<ServingRequest>> items =
                     environment_.codec.decode_items(host, **content);
                 if (items) {
                   set_tenant(*items, tenant);
                 }
                 callback(std::move(items));
               }));
}

void JobLoader::load(const StoredJob& record, Callback<LoadedJob> callback) {
  load_items(record, lifetime_.guard([this, job = record.id, callback = std::move(callback)](
                                         Expected<std::vector<ServingRequest>> items) mutable {
    if (!items) {
      callback(tl::unexpected(items.error()));
      return;
    }
    auto loaded = std::make_shared<LoadedJob>();
    loaded->items = std::move(*items);
    load_listed(job, std::move(loaded), std::move(callback));
  }));
}

void JobLoader::load_listed(const std::string& job, std::shared_ptr<LoadedJob> loaded,
                            Callback<LoadedJob> callback) {
  constexpr uint32_t kPage = 200;
  const auto from = static_cast<uint32_t>(loaded->listed.size());
  environment_.store.read_range(
      job_result_range(job, from, kPage),
      lifetime_.guard([this, job, loaded = std::move(loaded),
                       callback = std::move(callback)](const Expected<RangePage>& page) mutable {
        if (!page) {
          callback(tl::unexpected(page.error()));
          return;
        }
        for (const StoredRow& row : page->rows) {
          const Expected<JobResult> result = decode_job_result(row.value);
          if (!result) {
            callback(tl::unexpected(result.error()));
            return;
          }
          loaded->listed.push_back(result->item);
        }
        if (page->more && !page->rows.empty()) {
          load_listed(job, std::move(loaded), std::move(callback));
          return;
        }
        load_progress(job, std::move(loaded), std::move(callback));
      }));
}

void JobLoader::load_rows(const RangeRead& range, std::function<void(const StoredRow&)> take,
                          Callback<std::monostate> done) {
  environment_.store.read_range(
      range, lifetime_.guard([this, range, take = std::move(take),
                              done = std::move(done)](const Expected<RangePage>& page) {
        if (!page) {
          done(tl::unexpected(page.error()));
          return;
        }
        std::for_each(page->rows.begin(), page->rows.end(), take);
        if (page->more && page->rows.size() > 1) {
          RangeRead rest = range;
          rest.first_key = page->rows.back().key.key;
          load_rows(rest, take, done);
          return;
        }
        done({});
      }));
}

void JobLoader::load_progress(const std::string& job, std::shared_ptr<LoadedJob> loaded,
                              Callback<LoadedJob> callback) {
  auto take = [job, loaded, origins = progress_origins_key(job)](const StoredRow& row) {
    if (row.key.key == origins.key) {
      loaded->origins = decode_progress_origins(row.value);
      return;
    }
    Expected<ItemProgress> progress = decode_item_progress(row.value);
    if (progress) {
      loaded->progress[item_of_key(job, row.key)] = std::move(*progress);
    }
  };
  load_rows(job_progress_range(job), std::move(take),
            [this, job, loaded = std::move(loaded),
             callback = std::move(callback)](const Expected<std::monostate>& read) {
              if (!read) {
                callback(tl::unexpected(read.error()));
                return;
              }
              load_failures(job, loaded, callback);
            });
}

void JobLoader::load_failures(const std::string& job, std::shared_ptr<LoadedJob> loaded,
                              Callback<LoadedJob> callback) {
  auto take = [job, loaded](const StoredRow& row) {
    loaded->failures[item_of_key(job, row.key)] = decode_item_failures(row.value, row.version);
  };
  load_rows(job_failure_range(job), std::move(take),
            [loaded = std::move(loaded),
             callback = std::move(callback)](const Expected<std::monostate>& read) {
              if (!read) {
                callback(tl::unexpected(read.error()));
                return;
              }
              callback(std::move(*loaded));
            });
}

}  // namespace chalkshed
