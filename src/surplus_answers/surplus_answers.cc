#include "chalkshed/surplus_answers.h"

namespace chalkshed {
namespace {

/** A surplus answer follows its request within seconds. */
constexpr size_t kMaxSends = 1024;

} // namespace

std::string_view answer_naming_name(answer_naming naming) {
    switch (naming) {
    case answer_naming::kThis:
        return "this";
    case answer_naming::kOther:
        return "other";
    case answer_naming::kNone:
        return "none";
    }
    return "none";
}

surplus_answers::surplus_answers(TimeSource &time_source, Logger &logger, MetricsRegistry &metrics)
    : time_source_(time_source), logger_(logger), metrics_(metrics) {}

void surplus_answers::note(const surplus_answer &answer) {
    metrics_
        .counter("chalkshed_surplus_answers_total",
                 "Answers of workers that were not those to the request of their connection.",
                 {{"names", std::string(answer_naming_name(answer.names))}})
        .add(1);
    if (const auto events = limit_.admit(time_source_.monotonic_now())) {
        logger_.write(LogLevel::kWarning, "surplus_answer",
                      {{"names", std::string(answer_naming_name(answer.names))},
                       {"worker", answer.worker},
                       {"request", answer.request},
                       {"named", answer.named},
                       {"status", std::to_string(answer.status)},
                       {"connection_use", std::to_string(answer.connection_use)},
                       {"count", std::to_string(*events)}});
    }
    if (answer.ran) {
        note_ran_after_all(answer);
    }
}

void surplus_answers::note_unsolicited(const Address &worker) {
    metrics_
        .counter("chalkshed_unsolicited_answers_total",
                 "Connections to workers that were closed because bytes arrived on them while they "
                 "carried no request.",
                 {})
        .add(1);
    if (const auto events = unsolicited_limit_.admit(time_source_.monotonic_now())) {
        logger_.write(LogLevel::kWarning, "unsolicited_answer",
                      {{"address", to_string(worker)}, {"count", std::to_string(*events)}});
    }
}

void surplus_answers::note_ran_after_all(const surplus_answer &answer) {
    const auto found = not_run_.find(answer.named);
    if (found == not_run_.end() || found->second != answer.worker) {
        return;
    }
    metrics_
        .counter("chalkshed_sends_run_after_all_total",
                 "Sends that were taken as not run and that their worker answered as run.", {})
        .add(1);
    logger_.write(LogLevel::kError, "send_ran_after_all",
                  {{"request", answer.named}, {"worker", answer.worker}});
    found->second.clear(); // reported once
}

void surplus_answers::note_not_run(const std::string &request, const std::string &worker) {
    if (!not_run_.insert_or_assign(request, worker).second) {
        return;
    }
    oldest_first_.push_back(request);
    if (oldest_first_.size() > kMaxSends) {
        not_run_.erase(oldest_first_.front());
        oldest_first_.pop_front();
    }
}

} // namespace chalkshed
