#include "src/batch/job_acceptor.h"

#include <algorithm>
#include <cstdio>

namespace chalkshed {
namespace {

// Ids sort by acceptance time; the random part distinguishes jobs accepted at the same time.
JobId new_job_id(NodeDependencies& dependencies) {
  const auto now = dependencies.time_source.wall_now().time_since_epoch().count();
  std::array<char, 48> text{};
  std::snprintf(text.data(), text.size(), "batch_%014llx%016llx",
                static_cast<unsigned long long>(now),
                static_cast<unsigned long long>(dependencies.random.next()));
  return text.data();
}

}  // namespace

JobAcceptor::JobAcceptor(NodeDependencies& dependencies, BatchStore& store, const BatchKnobs& knobs,
                         JobSubmission submission, Done done)
    : dependencies_(dependencies),
      store_(store),
      knobs_(knobs),
      submission_(std::move(submission)),
      done_(std::move(done)),
      parser_(std::move(submission_.body), knobs),
      timer_(dependencies.dispatcher.create_timer([this] {
        const std::function<void()> step = std::exchange(pending_step_, nullptr);
        step();
      })) {}

void JobAcceptor::start() { parse_slice(); }

void JobAcceptor::parse_slice() {
  const auto read = parser_.read(knobs_.parse_lines_per_turn);
  if (!read) {
    finish(tl::unexpected(read.error()));
  } else if (*read) {
    look_up_key();
  } else {
    dependencies_.dispatcher.post(lifetime_.guard([this] { parse_slice(); }));
  }
}

// A resubmission is answered without storing its input again.
void JobAcceptor::look_up_key() {
  if (!knobs_.safeguards.idempotency_checked) {
    prepare();
    return;
  }
  store_.read(StoreUrgency::kCaller, idempotency_key(submission_.tenant, submission_.key),
              lifetime_.guard([this](Expected<std::optional<Row>> row) {
                if (row) {
                  failures_ = 0;
                  on_key_row(*row);
                } else {
                  retry_or_fail([this] { look_up_key(); });
                }
              }));
}

void JobAcceptor::on_key_row(const std::optional<Row>& row) {
  if (!row) {
    prepare();
    return;
  }
  const auto known = decode_idempotency(row->value);
  if (!known) {
    finish(tl::unexpected(known.error()));
  } else if (known->body_digest != parser_.digest()) {
    finish(tl::unexpected(
        not_run(ErrorKind::kConflict,
                "the idempotency key \"" + submission_.key + "\" was used for another job (" +
                    known->job + ")",
                "use a new key for a new job; resend the same lines to find the earlier one")));
  } else {
    AcceptedJob job;
    job.id = known->job;
    job.resent = true;
    finish(std::move(job));
  }
}

void JobAcceptor::prepare() {
  const auto now =
      static_cast<uint64_t>(dependencies_.time_source.wall_now().time_since_epoch().count());
  const auto nodes = static_cast<uint32_t>(store_.live_nodes());
  const uint32_t items = parser_.items();
  const uint32_t wanted_chunks = std::max(1U, nodes * knobs_.chunks_per_node);
  job_.id = new_job_id(dependencies_);
  job_.tenant = submission_.tenant;
  job_.endpoint = parser_.endpoint();
  job_.created_us = now;
  job_.deadline_us = now + static_cast<uint64_t>(submission_.deadline.count());
  job_.items = items;
  job_.chunk_items =
      std::clamp(items / wanted_chunks, knobs_.min_chunk_items, knobs_.max_chunk_items);
  job_.chunks = (items + job_.chunk_items - 1) / job_.chunk_items;
  job_.models = parser_.models();
  if (!knobs_.safeguards.acknowledge_after_commit) {
    AcceptedJob job;
    job.id = job_.id;
    job.row = {job_, false};
    job.recorded = false;
    done_(std::move(job));
  }
  put_next_chunks();
}

void JobAcceptor::put_next_chunks() {
  while (!finished_ && puts_in_flight_ < knobs_.parallel_chunk_puts && next_chunk_ < job_.chunks) {
    ++puts_in_flight_;
    put_chunk(next_chunk_++, 0);
  }
}

void JobAcceptor::put_chunk(uint32_t number, uint32_t failures) {
  auto content = std::make_shared<std::string>(parser_.chunk(number, job_.chunk_items));
  store_.put(StoreUrgency::kCaller, input_object_name(job_.id, number), std::move(content),
             lifetime_.guard([this, number, failures](const Expected<std::monostate>& result) {
               if (finished_) {
                 return;
               }
               if (!result && failures + 1 < knobs_.acceptance_attempts) {
                 put_chunk(number, failures + 1);
                 return;
               }
               if (!result) {
                 finish(tl::unexpected(store_error()));
                 return;
               }
               --puts_in_flight_;
               ++chunks_stored_;
               if (chunks_stored_ == job_.chunks) {
                 commit();
               } else {
                 put_next_chunks();
               }
             }));
}

void JobAcceptor::commit() {
  const RowKey key = idempotency_key(submission_.tenant, submission_.key);
  Transaction transaction;
  if (knobs_.safeguards.idempotency_checked) {
    transaction.conditions.push_back({key, 0});
  }
  transaction.conditions.push_back({job_key(job_.id), 0});
  transaction.writes.push_back({open_job_key(job_.id), encode(OpenJobRow{job_, false})});
  transaction.writes.push_back({job_key(job_.id), encode(job_)});
  transaction.writes.push_back({key, encode(IdempotencyRow{job_.id, parser_.digest()})});
  transaction.writes.push_back({tenant_job_key(job_.tenant, job_.id), std::string("{}")});
  store_.commit(
      StoreUrgency::kCaller, std::move(transaction),
      lifetime_.guard([this](Expected<CommitResult> result) { on_commit(std::move(result)); }));
}

void JobAcceptor::on_commit(Expected<CommitResult> result) {
  if (result && result->committed) {
    accept(result->versions.front());
    return;
  }
  if (!result && result.error().ran == Ran::kNo) {
    retry_or_fail([this] { commit(); });
    return;
  }
  if (!result) {
    if (!knobs_.safeguards.read_back_lost_commits) {
      finish(tl::unexpected(store_error()));
      return;
    }
    outcome_unknown_ = true;
  }
  read_back();
}

// Reads the idempotency row to find out which submission holds the key.
void JobAcceptor::read_back() {
  store_.read(
      StoreUrgency::kCaller, idempotency_key(submission_.tenant, submission_.key),
      lifetime_.guard([this](Expected<std::optional<Row>> row) { on_read_back(std::move(row)); }));
}

void JobAcceptor::on_read_back(Expected<std::optional<Row>> row) {
  if (!row) {
    retry_or_fail([this] { read_back(); });
    return;
  }
  if (!row->has_value()) {
    // The row does not exist yet. An earlier commit may still be in flight, but committing again is
    // safe because at most one commit finds the key absent.
    retry_or_fail([this] { commit(); });
    return;
  }
  const auto known = decode_idempotency((*row)->value);
  if (known && known->job == job_.id) {
    accept(0);
    return;
  }
  on_key_row(*row);
}

// Retries the step after a backoff, or fails the submission after too many failures.
void JobAcceptor::retry_or_fail(std::function<void()> step) {
  ++failures_;
  if (failures_ >= knobs_.acceptance_attempts) {
    finish(tl::unexpected(store_error()));
    return;
  }
  pending_step_ = std::move(step);
  timer_->enable(store_.backoff(failures_));
}

void JobAcceptor::accept(RowVersion open_job_version) {
  AcceptedJob job;
  job.id = job_.id;
  job.row = {job_, false};
  job.version = open_job_version;
  finish(std::move(job));
}

Error JobAcceptor::store_error() const {
  if (outcome_unknown_) {
    return maybe_run(ErrorKind::kOutcomeUnknown,
                     "the store did not confirm whether the job was recorded",
                     "resend the same job with the same Idempotency-Key (" + submission_.key +
                         "); it is never run twice");
  }
  Error error = not_run(ErrorKind::kStoreUnavailable, "the platform's store does not respond",
                        "resend the job with the same Idempotency-Key (" + submission_.key + ")");
  error.retry_after = knobs_.store_backoff_limit;
  return error;
}

void JobAcceptor::finish(Expected<AcceptedJob> result) {
  if (finished_) {
    return;
  }
  finished_ = true;
  const Done done = std::move(done_);
  done(std::move(result));
}

}  // namespace chalkshed
