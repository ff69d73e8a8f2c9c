#include "src/membership/machine_message.h"

#include "src/membership/machine_message_generated.h"

namespace chalkshed {
namespace {

std::string text_of(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

}  // namespace

uint64_t machine_version(const Machine& machine) {
  return machine.incarnation * 2 + (machine.state == MachineState::kLeaving ? 1 : 0);
}

GossipEntry encode_machine(const Machine& machine) {
  flatbuffers::FlatBufferBuilder builder;
  const auto service = builder.CreateString(machine.service);
  const auto ip = builder.CreateString(machine.address.ip);
  const auto peer_ip = builder.CreateString(machine.peer_address.ip);
  const auto zone = builder.CreateString(machine.zone);
  const auto region = builder.CreateString(machine.region);
  builder.Finish(wire::CreateMachineMessage(
      builder, static_cast<uint8_t>(machine.role), static_cast<uint8_t>(machine.state), service, ip,
      machine.address.port, peer_ip, machine.peer_address.port, zone, region, machine.incarnation));
  GossipEntry entry;
  entry.kind = kMachineGossipKind;
  entry.key = machine.id;
  entry.version = machine_version(machine);
  entry.value.assign(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
  return entry;
}

std::optional<Machine> decode_machine(const GossipEntry& entry) {
  const auto* bytes = reinterpret_cast<const uint8_t*>(entry.value.data());
  flatbuffers::Verifier verifier(bytes, entry.value.size());
  if (!wire::VerifyMachineMessageBuffer(verifier)) {
    return std::nullopt;
  }
  const wire::MachineMessage* message = wire::GetMachineMessage(bytes);
  const bool known_role = message->role() <= static_cast<uint8_t>(MachineRole::kBackend);
  const bool known_state = message->state() <= static_cast<uint8_t>(MachineState::kLeaving);
  if (!known_role || !known_state) {
    return std::nullopt;
  }
  Machine machine;
  machine.id = entry.key;
  machine.role = static_cast<MachineRole>(message->role());
  machine.state = static_cast<MachineState>(message->state());
  machine.service = text_of(message->service());
  machine.address = {message->ip()->str(), message->port()};
  machine.peer_address = {text_of(message->peer_ip()), message->peer_port()};
  machine.zone = text_of(message->zone());
  machine.region = text_of(message->region());
  machine.incarnation = message->incarnation();
  return machine;
}

}  // namespace chalkshed
