#ifndef CHALKSHED_TESTS_WORKER_SPEED_SPEED_FLEET_H
#define CHALKSHED_TESTS_WORKER_SPEED_SPEED_FLEET_H

/** \file
 * A queueing model, in virtual time, of nodes that send streams to engines of unequal speed on
 * shared machines. The nodes choose with their own WorkerSet each and learn of the others' requests
 * and samples with a delay. */

#include <cmath>
#include <deque>
#include <memory>
#include <vector>

#include "sim/virtual_time.h"
#include "src/core/digest.h"
#include "src/serving/worker_set.h"

namespace chalkshed {

struct speed_fleet_options {
    size_t nodes = 20;
    size_t engines = 30;
    uint32_t slots = 8;
    std::vector<double> speeds = {0.6, 1.0, 1.6}; // in turn
    Duration step = std::chrono::microseconds(2970);
    double prompt_tokens_per_millisecond = 101;
    uint32_t prompt_tokens_per_step = 1024;
    /** Events of an answer: from half of it to one and a half. */
    uint64_t mean_events = 150;
    /** Streams per second of all nodes; alternates between the shares of it. */
    double streams_per_second = 137;
    Duration calm = std::chrono::milliseconds(3400);
    Duration burst = std::chrono::milliseconds(2400);
    double calm_share = 0.383;
    double burst_share = 1.87;
    Duration slow_window = std::chrono::milliseconds(600);
    Duration slow_time = std::chrono::milliseconds(90);
    double max_slowdown = 2.5;
    /** Whether the workers report the fourth figure. */
    bool report_slowdown = true;
    Duration news_delay = std::chrono::milliseconds(70);
    Duration target = std::chrono::milliseconds(300);
    Duration longest_pause = std::chrono::milliseconds(400);
    Duration max_wait = std::chrono::milliseconds(240);
    WorkerKnobs knobs;
    uint64_t seed = 1;
};

struct speed_fleet_result {
    uint64_t streams = 0;
    uint64_t late = 0;
    uint64_t paused = 0;
    uint64_t queued = 0; /**< at a worker whose slots were all taken */
    /** Streams at workers of a speed below 1. */
    uint64_t at_slow = 0;
    uint64_t late_at_slow = 0;
    double late_percent() const {
        return streams == 0 ? 0 : 100.0 * static_cast<double>(late) / static_cast<double>(streams);
    }
};

class speed_fleet {
public:
    explicit speed_fleet(const speed_fleet_options &options)
        : options_(options), random_(options.seed) {
        for (size_t number = 0; number < options.nodes; ++number) {
            nodes_.push_back(
                std::make_unique<node>(clock_, options.seed * 1000 + number, options.knobs));
        }
        for (size_t number = 0; number < options.engines; ++number) {
            engine &added = engines_.emplace_back();
            added.name = "i-" + std::to_string(number);
            added.speed = options.speeds[number % options.speeds.size()];
            WorkerRecord record;
            record.incarnation = added.name;
            record.service = "engines";
            record.zone = "zone-a";
            record.slots = options.slots;
            for (const auto &each : nodes_) {
                each->workers.update(record);
            }
        }
    }

    speed_fleet_result run(Duration duration) {
        end_ = clock_.monotonic_now() + duration;
        arrive();
        exchange_speeds();
        clock_.run_for(duration + std::chrono::seconds(5));
        return result_;
    }
    /** The speed that a node has learned of an engine. */
    double learned_speed(size_t by_node, size_t of_engine) {
        return nodes_[by_node]->workers.find("i-" + std::to_string(of_engine))->speed.speed();
    }

private:
    struct node {
        node(VirtualClock &clock, uint64_t seed, const WorkerKnobs &knobs)
            : random(seed), workers(clock, random, "zone-a", knobs) {}
        SeededRandomGenerator random;
        WorkerSet workers;
    };
    struct stream {
        node *from = nullptr;
        MonotonicTime arrived{};
        MonotonicTime sent{};
        MonotonicTime last_event{};
        uint32_t prompt_tokens = 0;
        uint32_t prefilled = 0;
        uint64_t events_left = 0;
        bool begun = false;
        bool late = false;
        Duration pause{0};
        bool was_idle = false;
        WorkerSlotPtr slot;
        WorkerLoadReport head;
        event_gaps gaps;
    };
    using stream_ptr = std::shared_ptr<stream>;
    struct engine {
        std::string name;
        double speed = 1.0;
        std::deque<stream_ptr> waiting;
        std::vector<stream_ptr> running;
        bool stepping = false;
    };

    double slowdown(const engine &of) const {
        const auto since = clock_.monotonic_now().time_since_epoch();
        const int64_t window = since / options_.slow_window;
        const Duration into = since % options_.slow_window;
        const uint64_t drawn = content_hash(of.name, static_cast<uint64_t>(window) + options_.seed);
        const auto from = Duration(static_cast<int64_t>(
            drawn % static_cast<uint64_t>((options_.slow_window - options_.slow_time).count())));
        if (into < from || into >= from + options_.slow_time) {
            return 1.0;
        }
        const double share = static_cast<double>((drawn >> 32U) % 1000) / 1000;
        return 1.5 + (options_.max_slowdown - 1.5) * share;
    }
    void arrive() {
        const MonotonicTime now = clock_.monotonic_now();
        if (now >= end_) {
            return;
        }
        const Duration into = now.time_since_epoch() % (options_.calm + options_.burst);
        const double rate = options_.streams_per_second *
                            (into < options_.calm ? options_.calm_share : options_.burst_share);
        const double seconds = -std::log(1.0 - random_.unit()) / rate;
        clock_.schedule(
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)), [this] {
                begin_stream();
                arrive();
            });
    }
    void begin_stream() {
        auto added = std::make_shared<stream>();
        added->from = nodes_[random_.below(nodes_.size())].get();
        added->arrived = clock_.monotonic_now();
        // Many short prompts and a few long ones.
        const double length = random_.unit();
        added->prompt_tokens = static_cast<uint32_t>(200 + 6000 * length * length * length);
        added->events_left = options_.mean_events / 2 + random_.below(options_.mean_events);
        ++result_.streams;
        place(added);
    }
    void place(const stream_ptr &placed) {
        const MonotonicTime now = clock_.monotonic_now();
        ServingRequest request;
        request.prompt_tokens = placed->prompt_tokens;
        SlotRequest wanted;
        wanted.service = "engines";
        wanted.request = &request;
        wanted.even_if_full = now - placed->arrived >= options_.max_wait;
        placed->slot = placed->from->workers.acquire_slot(wanted);
        if (!placed->slot) {
            clock_.schedule(std::chrono::milliseconds(5), [this, placed] { place(placed); });
            return;
        }
        placed->sent = now;
        placed->was_idle = placed->slot->worker_was_idle;
        tell_load(*placed, 1, placed->prompt_tokens);
        engine &at = engine_of(*placed);
        const size_t there = at.running.size() + at.waiting.size();
        result_.queued += there >= options_.slots ? 1 : 0;
        at.waiting.push_back(placed);
        step(at);
    }
    engine &engine_of(const stream &of) {
        const std::string &name = of.slot->worker().record.incarnation;
        return engines_[static_cast<size_t>(std::stoul(name.substr(2)))];
    }
    void tell_load(const stream &of, int32_t change, uint32_t tokens) {
        clock_.schedule(options_.news_delay,
                        [this, from = of.from, hash = of.slot->worker().hash, change, tokens] {
                            for (const auto &each : nodes_) {
                                if (each.get() != from) {
                                    each->workers.add_peer_load(hash, change, 0);
                                    each->workers.add_prompt_tokens(hash, tokens);
                                }
                            }
                        });
    }
    void step(engine &at) {
        while (!at.waiting.empty() && at.running.size() < options_.slots) {
            at.running.push_back(at.waiting.front());
            at.waiting.pop_front();
        }
        if (at.stepping || at.running.empty()) {
            return;
        }
        at.stepping = true;
        uint32_t room = options_.prompt_tokens_per_step;
        for (const stream_ptr &each : at.running) {
            const uint32_t part = std::min(room, each->prompt_tokens - each->prefilled);
            each->prefilled += part;
            room -= part;
        }
        const double milliseconds =
            std::chrono::duration<double, std::milli>(options_.step).count() +
            (options_.prompt_tokens_per_step - room) / options_.prompt_tokens_per_millisecond;
        const std::chrono::duration<double, std::milli> lasts(milliseconds * slowdown(at) /
                                                              at.speed);
        clock_.schedule(std::chrono::duration_cast<Duration>(lasts), [this, &at] { end_step(at); });
    }
    void end_step(engine &at) {
        at.stepping = false;
        std::vector<stream_ptr> left;
        for (const stream_ptr &each : at.running) {
            if (each->prefilled == each->prompt_tokens) {
                note_event(at, *each);
            }
            if (each->events_left > 0) {
                left.push_back(each);
            } else {
                end_stream(*each);
            }
        }
        at.running = std::move(left);
        step(at);
    }
    void note_event(const engine &at, stream &of) {
        const MonotonicTime now = clock_.monotonic_now();
        WorkerSet &workers = of.from->workers;
        if (!std::exchange(of.begun, true)) {
            of.late = now - of.arrived > options_.target;
            result_.late_at_slow += of.late && at.speed < 1.0 ? 1 : 0;
            result_.at_slow += at.speed < 1.0 ? 1 : 0;
            of.head = {static_cast<uint32_t>(at.running.size()),
                       static_cast<uint32_t>(at.waiting.size()), options_.slots};
            if (options_.report_slowdown) {
                of.head.slowdown = std::round(slowdown(at) * 100) / 100;
            }
            workers.note_report(of.slot->worker(), of.head);
            if (of.was_idle) {
                workers.note_first_token(of.slot->worker(), of.prompt_tokens, now - of.sent);
            }
        } else {
            of.pause = std::max(of.pause, now - of.last_event);
        }
        of.last_event = now;
        of.gaps.add(1, now);
        --of.events_left;
    }
    void end_stream(stream &of) {
        const bool paused = of.pause > options_.longest_pause;
        result_.paused += paused ? 1 : 0;
        result_.late += of.late || paused ? 1 : 0;
        if (const auto gap = of.gaps.mean()) {
            of.from->workers.note_pace(
                of.slot->worker(),
                {PaceKind::kEvents, *gap, clock_.monotonic_now() - of.sent, of.head});
        }
        of.from->workers.note_success(of.slot->worker());
        tell_load(of, -1, 0);
        of.slot.reset();
    }
    void exchange_speeds() {
        if (clock_.monotonic_now() >= end_) {
            return;
        }
        for (const auto &from : nodes_) {
            const std::vector<worker_speed_entry> news = from->workers.take_speed_updates(8);
            if (news.empty()) {
                continue;
            }
            clock_.schedule(options_.news_delay, [this, sender = from.get(), news] {
                for (const auto &each : nodes_) {
                    for (worker_speed_entry told : news) {
                        told.slowdown_age += options_.news_delay;
                        if (each.get() != sender) {
                            each->workers.add_peer_speed(told);
                        }
                    }
                }
            });
        }
        clock_.schedule(std::chrono::milliseconds(25), [this] { exchange_speeds(); });
    }

    const speed_fleet_options options_;
    VirtualClock clock_;
    SeededRandomGenerator random_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::deque<engine> engines_;
    MonotonicTime end_{};
    speed_fleet_result result_;
};

} // namespace chalkshed

#endif
