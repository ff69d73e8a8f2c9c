#include "bench/knob_overrides.h"

#include <charconv>

namespace chalkshed::bench {
namespace {

using Setter = void (*)(RunSettings&, Deployment&, double);

uint32_t to_uint32(double value) { return static_cast<uint32_t>(value); }

const std::map<std::string, Setter>& overrides() {
  static const std::map<std::string, Setter> kOverrides = {
      {"batch_fill", [](RunSettings&, Deployment& d, double v) { d.batch_fill = v; }},
      {"requests_per_second",
       [](RunSettings&, Deployment& d, double v) { d.requests_per_second = v; }},
      {"burst_requests",
       [](RunSettings&, Deployment& d, double v) { d.burst_requests = to_uint32(v); }},
      {"heap_items", [](RunSettings&, Deployment& d, double v) { d.heap_items = to_uint32(v); }},
      {"fixed_share",
       [](RunSettings& s, Deployment&, double v) { s.routing.window.fixed_share = v; }},
      {"revoke", [](RunSettings& s, Deployment&, double v) { s.routing.window.revoke = v != 0; }},
      {"never_revoked", [](RunSettings& s, Deployment&,
                           double v) { s.routing.window.never_revoked = to_uint32(v); }},
      {"prompt_tokens_low", [](RunSettings& s, Deployment&,
                               double v) { s.routing.window.prompt_tokens_low = to_uint32(v); }},
      {"prompt_tokens_high", [](RunSettings& s, Deployment&,
                                double v) { s.routing.window.prompt_tokens_high = to_uint32(v); }},
      {"yield_per_online_low",
       [](RunSettings& s, Deployment&, double v) { s.routing.window.yield_per_online_low = v; }},
      {"yield_per_online_high",
       [](RunSettings& s, Deployment&, double v) { s.routing.window.yield_per_online_high = v; }},
      {"idle_share_low",
       [](RunSettings& s, Deployment&, double v) { s.routing.window.idle_share_low = v; }},
      {"idle_share_high",
       [](RunSettings& s, Deployment&, double v) { s.routing.window.idle_share_high = v; }},
      {"online_per_light_low",
       [](RunSettings& s, Deployment&, double v) { s.routing.window.online_per_light_low = v; }},
      {"online_per_light_high",
       [](RunSettings& s, Deployment&, double v) { s.routing.window.online_per_light_high = v; }},
      {"light_sequences_low",
       [](RunSettings& s, Deployment&, double v) { s.routing.window.light_sequences_low = v; }},
      {"light_sequences_high",
       [](RunSettings& s, Deployment&, double v) { s.routing.window.light_sequences_high = v; }},
      {"fewest_light",
       [](RunSettings& s, Deployment&, double v) { s.routing.window.fewest_light = to_uint32(v); }},
      {"revoke_slack",
       [](RunSettings& s, Deployment&, double v) { s.routing.window.revoke_slack = to_uint32(v); }},
      {"arrival_lookahead_ms",
       [](RunSettings& s, Deployment&, double v) {
         s.routing.window.arrival_lookahead = Duration(to_uint32(v * 1000));
       }},
      {"arrival_window_ms",
       [](RunSettings& s, Deployment&, double v) {
         s.routing.window.arrival_window = Duration(to_uint32(v * 1000));
       }},
      {"hold_ms", [](RunSettings& s, Deployment&,
                     double v) { s.routing.window.hold = Duration(to_uint32(v * 1000)); }},
      {"step_weight",
       [](RunSettings& s, Deployment&, double v) { s.routing.choice.step_weight = v; }},
      {"burst_arrivals",
       [](RunSettings& s, Deployment&, double v) { s.routing.window.burst_arrivals = v; }},
      {"prefix_memory_ms",
       [](RunSettings& s, Deployment&, double v) {
         s.routing.choice.prefix_memory = Duration(to_uint32(v * 1000));
       }},
      {"candidates",
       [](RunSettings& s, Deployment&, double v) { s.routing.choice.candidates = to_uint32(v); }},
      {"affinity_load_bound",
       [](RunSettings& s, Deployment&, double v) { s.routing.choice.affinity_load_bound = v; }},
      {"max_prompt_tokens_per_step",
       [](RunSettings& s, Deployment&, double v) {
         s.engine.max_prompt_tokens_per_step = to_uint32(v);
       }},
  };
  return kOverrides;
}

}  // namespace

std::optional<Error> apply_override(const std::string& assignment, RunSettings& settings,
                                    Deployment& deployment) {
  const size_t equals = assignment.find('=');
  const auto found = overrides().find(assignment.substr(0, equals));
  double value = 0;
  const char* end = assignment.data() + assignment.size();
  const bool number = equals != std::string::npos &&
                      std::from_chars(assignment.data() + equals + 1, end, value).ptr == end;
  if (found == overrides().end() || !number) {
    return not_run(ErrorKind::kInvalidSetting, "cannot set " + assignment,
                   "use name=number with a name listed in bench/knob_overrides.cc");
  }
  found->second(settings, deployment, value);
  return std::nullopt;
}

}  // namespace chalkshed::bench
