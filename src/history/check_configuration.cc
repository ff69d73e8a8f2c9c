// Configuration check: versions never decrease, and accepted changes are never lost and take effect
// on every reachable node within a bound.
#include "src/history/checks.h"

namespace chalkshed {

namespace {

struct Accepted {
  MonotonicTime time;
  std::string change;
};

// Versions that one node applied, and when its processes started and ended.
struct NodeRecord {
  struct Step {
    MonotonicTime time;
    uint64_t version = 0;
  };
  std::vector<Step> steps;
  std::vector<MonotonicTime> starts;
  std::vector<MonotonicTime> ends;

  std::optional<MonotonicTime> last_start(MonotonicTime time) const {
    const auto after = std::upper_bound(starts.begin(), starts.end(), time);
    return after == starts.begin() ? std::nullopt : std::optional(*std::prev(after));
  }

  // @return whether a single process ran from `from` to `until`.
  bool ran(MonotonicTime from, MonotonicTime until) const {
    const std::optional<MonotonicTime> start = last_start(until);
    if (!start) {
      return starts.empty();  // no recorded start: assumed to run all the time
    }
    return *start <= from && std::none_of(ends.begin(), ends.end(), [&](MonotonicTime end) {
      return end > *start && end <= until;
    });
  }

  // @return the version in effect at `time`, or 0 if none was applied since the last start.
  uint64_t version_at(MonotonicTime time) const {
    const std::optional<MonotonicTime> start = last_start(time);
    uint64_t version = 0;
    for (const Step& step : steps) {
      if (step.time <= time && (!start || step.time >= *start)) {
        version = step.version;
      }
    }
    return version;
  }
};

class ConfigurationCheck {
 public:
  ConfigurationCheck(const HistoryIndex& index, const CheckerBounds& bounds)
      : index_(index), bounds_(bounds) {}

  GuaranteeResult run(const History& history) {
    for (const Event& event : history) {
      add(event);
    }
    for (const auto& [version, accepted] : accepted_) {
      for (const auto& [node, record] : nodes_) {
        check_propagation(version, accepted, node, record);
      }
    }
    return std::move(result_);
  }

 private:
  void add(const Event& event) {
    if (const auto* started = std::get_if<ProcessStarted>(&event.data)) {
      nodes_[started->process].starts.push_back(event.time);
    } else if (const auto* ended = std::get_if<ProcessEnded>(&event.data)) {
      nodes_[ended->process].ends.push_back(event.time);
    } else if (const auto* accepted = std::get_if<ConfigurationAccepted>(&event.data)) {
      add_accepted(event.time, *accepted);
    } else if (const auto* in_force = std::get_if<ConfigurationInForce>(&event.data)) {
      add_in_force(event.time, *in_force);
    }
  }

  void add_accepted(MonotonicTime time, const ConfigurationAccepted& accepted) {
    const auto [found, is_new] =
        accepted_.emplace(accepted.version, Accepted{time, accepted.change});
    if (!is_new && found->second.change != accepted.change) {
      add_violation("version " + std::to_string(accepted.version) +
                    " was accepted for two different changes");
    }
  }

  void add_in_force(MonotonicTime time, const ConfigurationInForce& in_force) {
    ++result_.checked;
    NodeRecord& record = nodes_[in_force.node];
    const uint64_t before = record.version_at(time);
    if (in_force.version < before) {
      add_violation(in_force.node + " reverted from version " + std::to_string(before) + " to " +
                    std::to_string(in_force.version));
    }
    if (before == 0) {
      check_first_version(in_force, record.last_start(time).value_or(time));
    }
    for (const auto& [version, accepted] : accepted_) {
      const bool holds = std::find(in_force.changes.begin(), in_force.changes.end(),
                                   accepted.change) != in_force.changes.end();
      if (version <= in_force.version && !holds) {
        add_violation("version " + std::to_string(in_force.version) + " on " + in_force.node +
                      " lacks the accepted change " + accepted.change);
      }
    }
    record.steps.push_back({time, in_force.version});
  }

  // A node must not start with a version that had been superseded before it started.
  void check_first_version(const ConfigurationInForce& in_force, MonotonicTime started) {
    for (const auto& [version, accepted] : accepted_) {
      if (version > in_force.version && accepted.time < started) {
        add_violation(in_force.node + " started with version " + std::to_string(in_force.version) +
                      " though " + std::to_string(version) + " had been accepted before the start");
        return;
      }
    }
  }

  // @return the first time from which the node ran without faults for the whole propagation bound.
  std::optional<MonotonicTime> fault_free_since(const std::string& node, const NodeRecord& record,
                                                MonotonicTime from) const {
    std::set<MonotonicTime> candidates{from};
    for (const auto& [id, fault] : index_.faults) {
      if (fault.affects(node) && fault.interval.end && *fault.interval.end >= from) {
        candidates.insert(*fault.interval.end + Duration(1));
      }
    }
    for (const MonotonicTime start : record.starts) {
      if (start >= from) {
        candidates.insert(start);
      }
    }
    for (const MonotonicTime candidate : candidates) {
      const MonotonicTime until = candidate + bounds_.configuration_propagation;
      if (record.ran(candidate, until) && !stopping(node, candidate, until) &&
          !index_.has_fault(node, candidate, until)) {
        return candidate;
      }
    }
    return std::nullopt;
  }

  bool stopping(const std::string& node, MonotonicTime from, MonotonicTime to) const {
    const auto stops = index_.stops.find(node);
    return stops != index_.stops.end() &&
           std::any_of(stops->second.begin(), stops->second.end(),
                       [&](const Interval& stop) { return stop.overlaps(from, to); });
  }

  void check_propagation(uint64_t version, const Accepted& accepted, const std::string& node,
                         const NodeRecord& record) {
    if (record.steps.empty()) {
      return;  // not a node, or a node that never applied a configuration
    }
    const std::optional<MonotonicTime> since = fault_free_since(node, record, accepted.time);
    if (!since || *since + bounds_.configuration_propagation > index_.end) {
      return;
    }
    ++result_.checked;
    const uint64_t in_force = record.version_at(*since + bounds_.configuration_propagation);
    if (in_force < version) {
      add_violation("version " + std::to_string(version) + " did not take effect on " + node +
                    " in time; the version there was " + std::to_string(in_force));
    }
  }

  void add_violation(std::string sentence) { result_.violations.push_back(std::move(sentence)); }

  const HistoryIndex& index_;
  const CheckerBounds& bounds_;
  GuaranteeResult result_;
  std::map<uint64_t, Accepted> accepted_;
  std::map<std::string, NodeRecord> nodes_;
};

}  // namespace

GuaranteeResult check_configuration_in_force(const History& history, const HistoryIndex& index,
                                             const CheckerBounds& bounds) {
  return ConfigurationCheck(index, bounds).run(history);
}

}  // namespace chalkshed
