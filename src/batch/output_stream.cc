#include "src/batch/output_stream.h"

#include <algorithm>

#include "src/http/error_response.h"

namespace chalkshed {
namespace {

constexpr Duration kBackpressurePollInterval = std::chrono::milliseconds(10);
constexpr uint32_t kReadAttempts = 6;

// @return the position after skipping `lines` lines from `from`.
size_t skip_lines(const std::string& content, size_t from, uint64_t lines) {
  for (; lines > 0 && from < content.size(); --lines) {
    from = std::min(content.find('\n', from), content.size() - 1) + 1;
  }
  return from;
}

}  // namespace

OutputStream::OutputStream(NodeDependencies& dependencies, BatchStore& store,
                           const BatchKnobs& knobs, OutputRequest request, ResponseWriterPtr writer,
                           std::function<void()> done)
    : dependencies_(dependencies),
      store_(store),
      knobs_(knobs),
      request_(std::move(request)),
      writer_(std::move(writer)),
      done_(std::move(done)),
      timer_(dependencies.dispatcher.create_timer([this] {
        const std::function<void()> step = std::exchange(pending_step_, nullptr);
        step();
      })) {}

void OutputStream::start() {
  writer_->set_on_closed(lifetime_.guard([this] {
    closed_ = true;
    dependencies_.dispatcher.post(lifetime_.guard([this] { end(); }));
  }));
  store_.scan_all(
      StoreUrgency::kCaller, kChunkTable, chunk_prefix(request_.report.job.id),
      lifetime_.guard([this](Expected<std::vector<Row>> rows) { on_chunks(std::move(rows)); }));
}

void OutputStream::on_chunks(Expected<std::vector<Row>> rows) {
  if (closed_) {
    return;
  }
  if (!rows) {
    writer_->respond(error_response(rows.error()));
    end();
    return;
  }
  plan(*rows);
  writer_->start(200, {{"Content-Type", "application/jsonl"},
                       {"X-Chalkshed-Output-Complete", complete_ ? "true" : "false"},
                       {"X-Chalkshed-Next-After", std::to_string(next_after_)}});
  next_source();
}

// Selects the results to send. For a running job, stops at the first chunk without a result.
void OutputStream::plan(const std::vector<Row>& rows) {
  const JobRow& job = request_.report.job;
  const bool ended = request_.report.ended_us.has_value();
  std::vector<std::string> results(job.chunks);
  for (const Row& row : rows) {
    const auto number = chunk_number(row.key);
    const auto chunk = decode_chunk(row.value);
    if (number && *number < job.chunks && chunk && chunk->state == ChunkState::kDone) {
      results[*number] = chunk->result;
    }
  }
  uint64_t line = request_.after;
  uint64_t left = request_.limit;
  while (line < job.items && left > 0) {
    const auto number = static_cast<uint32_t>(line / job.chunk_items);
    const uint64_t skip = line % job.chunk_items;
    const uint64_t chunk_end =
        std::min<uint64_t>(job.items, uint64_t{number + 1} * job.chunk_items);
    if (results[number].empty()) {
      if (!ended) {
        break;
      }
      line = chunk_end;
      continue;
    }
    const uint64_t lines = std::min(left, chunk_end - line);
    sources_.push_back({results[number], skip, lines});
    line += lines;
    left -= lines;
  }
  next_after_ = line;
  complete_ = line >= job.items;
}

void OutputStream::next_source() {
  if (sources_.empty()) {
    writer_->finish();
    end();
    return;
  }
  store_.get(StoreUrgency::kCaller, sources_.front().object,
             lifetime_.guard([this](Expected<std::shared_ptr<const std::string>> content) {
               on_object(std::move(content));
             }));
}

void OutputStream::on_object(Expected<std::shared_ptr<const std::string>> content) {
  if (closed_) {
    return;
  }
  if (!content) {
    ++failures_;
    if (failures_ >= kReadAttempts) {
      writer_->abort();
      end();
      return;
    }
    pending_step_ = [this] { next_source(); };
    timer_->enable(store_.backoff(failures_));
    return;
  }
  failures_ = 0;
  content_ = std::move(*content);
  position_ = skip_lines(*content_, 0, sources_.front().skip);
  lines_left_ = sources_.front().lines;
  write_slice();
}

void OutputStream::write_slice() {
  if (closed_) {
    return;
  }
  if (writer_->buffered_bytes() > knobs_.output_buffer_bytes) {
    pending_step_ = [this] { write_slice(); };
    timer_->enable(kBackpressurePollInterval);
    return;
  }
  const size_t begin = position_;
  while (lines_left_ > 0 && position_ < content_->size() &&
         position_ - begin < knobs_.output_slice_bytes) {
    position_ = skip_lines(*content_, position_, 1);
    --lines_left_;
  }
  writer_->write(std::string_view(*content_).substr(begin, position_ - begin));
  if (lines_left_ == 0 || position_ >= content_->size()) {
    content_.reset();
    sources_.pop_front();
    next_source();
    return;
  }
  dependencies_.dispatcher.post(lifetime_.guard([this] { write_slice(); }));
}

void OutputStream::end() {
  const std::function<void()> done = std::move(done_);
  if (done) {
    done();
  }
}

}  // namespace chalkshed
