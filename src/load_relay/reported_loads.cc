#include "chalkshed/load_relay.h"

#include <algorithm>

namespace chalkshed {

std::vector<digest_entry> to_entries(const std::vector<PeerWorkerLoad> &loads) {
    const auto to_byte = [](uint16_t count) {
        return static_cast<uint8_t>(std::min<uint16_t>(count, UINT8_MAX));
    };
    std::vector<digest_entry> entries;
    entries.reserve(loads.size());
    for (const PeerWorkerLoad &load : loads) {
        entries.push_back({static_cast<uint32_t>(load.worker), to_byte(load.online),
                           to_byte(load.batch),
                           static_cast<uint16_t>(load.prompt_tokens / kPromptUnit)});
    }
    return entries;
}

void reported_loads::replace(WorkerSet &workers, const std::vector<digest_entry> &entries,
                             uint32_t first, uint32_t last, summed_loads *sum) {
    const auto add = [&](uint32_t worker, int32_t online, int32_t batch) {
        if (!workers.add_peer_load(worker, online, batch)) {
            return false;
        }
        if (sum != nullptr) {
            summed_load &load = (*sum)[worker];
            load.online += online;
            load.batch += batch;
        }
        return true;
    };
    std::map<uint32_t, digest_entry> reported;
    for (const digest_entry &entry : entries) {
        reported[entry.worker] = entry;
    }
    for (auto known = loads_.lower_bound(first); known != loads_.end() && known->first <= last;) {
        if (reported.contains(known->first)) {
            ++known;
            continue;
        }
        if (!add(known->first, -known->second.online, -known->second.batch) && sum != nullptr) {
            (*sum).erase(known->first); // the worker is no longer known
        }
        known = loads_.erase(known);
    }
    for (const auto &[worker, entry] : reported) {
        const auto known = loads_.find(worker);
        const digest_entry before = known == loads_.end() ? digest_entry{} : known->second;
        const bool changed = entry.online != before.online || entry.batch != before.batch;
        // The load of a worker that this node doesn't know yet is applied once it does.
        if (!changed || add(worker, entry.online - before.online, entry.batch - before.batch)) {
            loads_[worker] = entry;
        }
    }
}

void reported_loads::add_prompts(WorkerSet &workers, const std::vector<digest_entry> &entries,
                                 std::unordered_map<uint32_t, uint16_t> *total) {
    // A counter that went backwards is a different one, from a relay that has just started.
    constexpr uint16_t kBackwards = 0x8000;
    for (const digest_entry &entry : entries) {
        const auto [known, is_new] = prompt_units_.try_emplace(entry.worker, entry.prompt_units);
        const auto added = static_cast<uint16_t>(entry.prompt_units - known->second);
        known->second = entry.prompt_units;
        if (is_new || added == 0 || added >= kBackwards) {
            continue;
        }
        workers.add_prompt_tokens(entry.worker, uint32_t{added} * kPromptUnit);
        added_[entry.worker] = static_cast<uint16_t>(added_[entry.worker] + added);
        if (total != nullptr) {
            (*total)[entry.worker] = static_cast<uint16_t>((*total)[entry.worker] + added);
        }
    }
}

} // namespace chalkshed
