#include "src/jobs/job_remover.h"

#include "chalkshed/caller_identity.h"

#include <utility>

#include "src/jobs/job_rows.h"

namespace chalkshed {
namespace {

constexpr uint32_t kRowsPerTransaction = 90;  // they fit one transaction together with a condition

}  // namespace

void JobRemover::remove(const StoredJob& record, StoreVersion version, std::function<void()> done) {
  const RangeRead results = job_result_range(record.id, 0, kRowsPerTransaction);
  RangeRead progress = job_progress_range(record.id);
  progress.limit = kRowsPerTransaction;
  RangeRead failures = job_failure_range(record.id);
  failures.limit = kRowsPerTransaction;
  auto last = [this, record, version, done] {
    std::vector<std::string> objects;
    if (record.content_in_object) {
      objects.push_back(job_object_name(record.id));
    }
    remove_objects(record, std::move(objects), version, done);
  };
  RangeRead content = job_content_range(record.id, 0);
  content.limit = kRowsPerTransaction;
  auto remove_content = [this, record, version, content, last, done] {
    remove_range(record, version, content, last, done);
  };
  auto remove_failures = [this, record, version, failures, remove_content, done] {
    remove_range(record, version, failures, remove_content, done);
  };
  auto then = [this, record, version, progress, remove_failures, done] {
    remove_range(record, version, progress, remove_failures, done);
  };
  remove_range(record, version, results, std::move(then), done);
}

void JobRemover::remove_refusals(const std::string& partition) {
  constexpr uint32_t kRefusalsPerTransaction = 45;  // each with a condition of its own
  RangeRead range;
  range.table = kStoredRefusalTable;
  range.partition = partition;
  range.limit = kRefusalsPerTransaction;
  environment_.store.read_range(
      std::move(range), lifetime_.guard([this](const Expected<RangePage>& page) {
        if (!page) {
          return;  // the next sweep reads them again
        }
        StoreTransaction transaction;
        for (const StoredRow& row : page->rows) {
          const std::optional<Duration> refused = decode_job_refusal(row.value);
          const Duration age = environment_.clock.now() - refused.value_or(Duration(0));
          if (age >= environment_.knobs.refusal_retention) {
            transaction.conditions.push_back({row.key, row.version});
            transaction.writes.push_back({row.key, std::nullopt});
          }
        }
        if (!transaction.writes.empty()) {
          environment_.store.commit(std::move(transaction),
                                    [](const Expected<StoreCommit>& /*commit*/) {});
        }
      }));
}

void JobRemover::remove_range(const StoredJob& record, StoreVersion version, const RangeRead& range,
                              std::function<void()> then, std::function<void()> done) {
  environment_.store.read_range(
      range, lifetime_.guard([this, record, version, range, then = std::move(then),
                              done = std::move(done)](const Expected<RangePage>& page) {
        if (!page) {
          done();
          return;
        }
        if (page->rows.empty()) {
          then();
          return;
        }
        StoreTransaction transaction;
        transaction.conditions.push_back({stored_job_key(record.id), version});
        std::vector<std::string> objects;
        for (const StoredRow& row : page->rows) {
          transaction.writes.push_back({row.key, std::nullopt});
          const Expected<JobResult> result = decode_job_result(row.value);
          if (range.table == kStoredResultTable && result && result->in_object) {
            objects.push_back(result->text);
          }
        }
        for (std::string& name : objects) {
          environment_.objects.remove(std::move(name), [](const Expected<std::monostate>&) {});
        }
        environment_.store.commit(std::move(transaction),
                                  lifetime_.guard([this, record, version, range, then,
                                                   done](const Expected<StoreCommit>& commit) {
                                    if (!commit || !commit->committed) {
                                      done();
                                      return;
                                    }
                                    remove_range(record, version, range, then, done);
                                  }));
      }));
}

void JobRemover::remove_objects(const StoredJob& record, std::vector<std::string> names,
                                StoreVersion version, std::function<void()> done) {
  if (names.empty()) {
    remove_record(record, version, std::move(done));
    return;
  }
  std::string name = std::move(names.back());
  names.pop_back();
  environment_.objects.remove(
      std::move(name),
      lifetime_.guard([this, record, names = std::move(names), version,
                       done = std::move(done)](const Expected<std::monostate>& removed) {
        if (!removed) {
          done();
          return;
        }
        remove_objects(record, names, version, done);
      }));
}

void JobRemover::remove_record(const StoredJob& record, StoreVersion version,
                               std::function<void()> done) {
  StoreTransaction transaction;
  transaction.conditions.push_back({stored_job_key(record.id), version});
  transaction.writes.push_back({stored_job_key(record.id), std::nullopt});
  environment_.store.commit(
      std::move(transaction),
      lifetime_.guard([this, record, done = std::move(done)](const Expected<StoreCommit>& commit) {
        if (commit && commit->committed) {
          environment_.serving.logger.write(LogLevel::kInfo, "job_removed",
                                            {{"job", caller_job_id(record.id)}});
        }
        done();
      }));
}

}  // namespace chalkshed
