// Stubs for the nodes of a virtual run: a membership and configuration that never change, a policy
// with a constant decision, and no-op implementations of dependencies that the run does not use.
#pragma once

#include "src/configuration/configuration.h"
#include "src/membership/membership_view.h"
#include "src/policy/policy.h"
#include "src/transport/http_client.h"
#include "src/transport/peer_transport.h"

namespace chalkshed::bench {

class FixedMembership : public MembershipView {
 public:
  FixedMembership(std::vector<Member> members, size_t self)
      : members_(std::move(members)), self_(self) {}
  const Member& self() const override { return members_[self_]; }
  std::vector<Member> members() const override { return members_; }
  void subscribe(std::function<void()> /*callback*/) override {}

 private:
  std::vector<Member> members_;
  size_t self_;
};

class NullGossip : public Gossip {
 public:
  void publish(GossipEntry /*entry*/) override {}
  std::optional<GossipEntry> find(const std::string&, const std::string&) const override {
    return std::nullopt;
  }
  std::vector<GossipEntry> entries(const std::string&) const override { return {}; }
  void subscribe(std::string, std::function<void(const GossipEntry&)>) override {}
};

class FixedConfiguration : public ConfigurationSource {
 public:
  explicit FixedConfiguration(ConfigurationPtr configuration)
      : configuration_(std::move(configuration)) {}
  ConfigurationPtr current() const override { return configuration_; }
  void subscribe(std::function<void(const ConfigurationPtr&)>) override {}

 private:
  ConfigurationPtr configuration_;
};

class FixedPolicy : public PolicyEvaluator {
 public:
  explicit FixedPolicy(double batch_fill) { decision_.batch_fill = batch_fill; }
  PolicyDecision evaluate(const RequestAttributes&) override { return decision_; }

 private:
  PolicyDecision decision_;
};

class UnusedTransport : public HttpClient,
                        public DatagramTransport,
                        public PeerClient,
                        public PeerServer {
 public:
  HttpCallPtr send(const Address&, const HttpRequest&, const HttpCallOptions&,
                   HttpCallCallbacks&) override {
    return nullptr;
  }
  void fetch(const Address&, const HttpRequest&, const HttpCallOptions&,
             Callback<HttpResponse>) override {}
  void send(const Address&, std::string_view) override {}
  void set_receiver(Receiver) override {}
  void call(const Address&, std::string, std::string, Callback<std::string>) override {}
  void register_method(std::string, Handler) override {}
};

}  // namespace chalkshed::bench
