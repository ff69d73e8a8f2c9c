// Encoding of machines as gossip entries.
#pragma once

#include <optional>

#include "src/membership/membership_view.h"
#include "src/platform/machine_list.h"

namespace chalkshed {

inline constexpr std::string_view kMachineGossipKind = "machine";

// Increases with the incarnation and, within one incarnation, from live to leaving.
uint64_t machine_version(const Machine& machine);

GossipEntry encode_machine(const Machine& machine);

// @return nothing if the entry is malformed.
std::optional<Machine> decode_machine(const GossipEntry& entry);

}  // namespace chalkshed
