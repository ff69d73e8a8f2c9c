#include "chalkshed/answer_memory.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace chalkshed {

answer_memory::account::account(answer_memory &memory, std::string worker,
                                std::function<void()> on_allowed)
    : memory_(memory.self_), worker_(std::move(worker)), on_allowed_(std::move(on_allowed)) {}

answer_memory::account::~account() {
    hold(0);
}

bool answer_memory::account::hold(size_t bytes) {
    return *memory_ == nullptr || (*memory_)->hold(*this, bytes);
}

void answer_memory::account::finish() {
    on_allowed_ = [] {};
}

answer_memory::answer_memory(TimeSource &time_source, Dispatcher &dispatcher, Logger &logger,
                             MetricsRegistry &metrics, const answer_memory_knobs &knobs)
    : time_source_(time_source), logger_(logger), knobs_(knobs),
      bytes_gauge_(metrics.gauge("chalkshed_answer_bytes",
                                 "Bytes that are kept of workers' answers that have not ended.",
                                 {})),
      held_back_gauge_(metrics.gauge("chalkshed_answers_held_back",
                                     "Answers whose connections are not read for want of memory.",
                                     {})),
      review_timer_(dispatcher.create_timer([this] { review(); })),
      self_(std::make_shared<answer_memory *>(this)) {}

answer_memory::~answer_memory() {
    *self_ = nullptr;
}

bool answer_memory::hold(account &answer, size_t bytes) {
    const bool shrinks = bytes < answer.bytes_;
    if (bytes > answer.bytes_) {
        answer.grown_ = time_source_.monotonic_now();
    }
    bytes_ = bytes_ - answer.bytes_ + bytes;
    answer.bytes_ = bytes;
    set_large(answer, bytes > knobs_.small_answer);
    const bool allowed = may_read(answer);
    if (allowed && answer.held_back_) {
        answer.held_back_ = false;
        --held_back_;
    } else if (!allowed && !answer.held_back_) {
        hold_back(answer);
    }
    if (shrinks) {
        allow_next();
    }
    update_gauges();
    return allowed;
}

bool answer_memory::may_read(const account &answer) const {
    return !answer.is_large_ || bytes_ <= knobs_.max_bytes || large_.front() == &answer;
}

void answer_memory::set_large(account &answer, bool large) {
    if (large == answer.is_large_) {
        return;
    }
    answer.is_large_ = large;
    if (large) {
        answer.place_ = large_.insert(large_.end(), &answer);
    } else {
        large_.erase(answer.place_);
    }
}

void answer_memory::hold_back(account &answer) {
    answer.held_back_ = true;
    ++held_back_;
    log_held_back();
    if (!review_timer_->enabled()) {
        review_timer_->enable(knobs_.patience);
    }
}

// Those that may read on are counted with what they may read until they are asked again.
void answer_memory::allow_next() {
    std::vector<account *> allowed;
    size_t expected = bytes_;
    for (account *answer : large_) {
        const bool first = answer == large_.front();
        if (!answer->held_back_) {
            continue;
        }
        if (!first && expected + knobs_.read_ahead > knobs_.max_bytes) {
            break;
        }
        expected += knobs_.read_ahead;
        answer->held_back_ = false;
        --held_back_;
        allowed.push_back(answer);
    }
    for (const account *answer : allowed) {
        answer->on_allowed_();
    }
}

void answer_memory::review() {
    if (held_back_ == 0) {
        return;
    }
    review_timer_->enable(knobs_.patience);
    if (time_source_.monotonic_now() - large_.front()->grown_ < knobs_.patience) {
        return;
    }
    large_.splice(large_.end(), large_, large_.begin());
    // It gets the whole patience before the next one takes its place.
    large_.front()->grown_ = time_source_.monotonic_now();
    allow_next();
    update_gauges();
}

void answer_memory::log_held_back() {
    const std::optional<uint64_t> times = logged_.admit(time_source_.monotonic_now());
    if (!times) {
        return;
    }
    const account *largest =
        *std::max_element(large_.begin(), large_.end(),
                          [](const account *a, const account *b) { return a->bytes_ < b->bytes_; });
    logger_.write(LogLevel::kWarning, "answers_held_back",
                  {{"times", std::to_string(*times)},
                   {"bytes", std::to_string(bytes_)},
                   {"large_answers", std::to_string(large_.size())},
                   {"largest_bytes", std::to_string(largest->bytes_)},
                   {"largest_from", largest->worker_}});
}

void answer_memory::update_gauges() {
    bytes_gauge_.set(static_cast<double>(bytes_));
    held_back_gauge_.set(static_cast<double>(held_back_));
}

} // namespace chalkshed
