#include "src/membership/datagram.h"

#include <gtest/gtest.h>

#include "src/core/random.h"
#include "src/membership/gossip_store.h"
#include "src/transport/peer_transport.h"

namespace chalkshed {
namespace {

Member full_member() {
  Member member;
  member.id = "node-1234567890";
  member.http_address = {"2001:db8:1234:5678:9abc:def0:1234:5678", 65535};
  member.peer_address = {"2001:db8:1234:5678:9abc:def0:1234:5679", 65534};
  member.zone = "zone-with-a-long-name";
  member.region = "region-with-a-long-name";
  member.incarnation = UINT64_MAX;
  return member;
}

Datagram full_datagram() {
  Datagram datagram;
  datagram.kind = DatagramKind::kPing;
  datagram.sequence = 7;
  datagram.sender = "node-1";
  datagram.target = "node-2";
  datagram.view_digest = 99;
  datagram.introduce = true;
  datagram.updates.push_back({full_member()});
  datagram.entries.push_back({"kind", "key", 3, std::string("a\0b", 3)});
  return datagram;
}

TEST(DatagramTest, DecodesWhatWasEncoded) {
  const std::optional<Datagram> read = decode_datagram(encode_datagram(full_datagram()));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->kind, DatagramKind::kPing);
  EXPECT_EQ(read->sequence, 7U);
  EXPECT_EQ(read->sender, "node-1");
  EXPECT_EQ(read->target, "node-2");
  EXPECT_EQ(read->view_digest, 99U);
  EXPECT_TRUE(read->introduce);
  ASSERT_EQ(read->updates.size(), 1U);
  const Member& member = read->updates[0].member;
  EXPECT_EQ(member.id, full_member().id);
  EXPECT_EQ(member.http_address, full_member().http_address);
  EXPECT_EQ(member.peer_address, full_member().peer_address);
  EXPECT_EQ(member.zone, full_member().zone);
  EXPECT_EQ(member.region, full_member().region);
  EXPECT_EQ(member.incarnation, UINT64_MAX);
  ASSERT_EQ(read->entries.size(), 1U);
  EXPECT_EQ(read->entries[0].value, std::string("a\0b", 3));
}

TEST(DatagramTest, TruncatedAndRandomBytesAreRejectedWithAndWithoutTheChecksum) {
  const std::string whole = encode_datagram(full_datagram());
  for (size_t size = 0; size < whole.size(); ++size) {
    EXPECT_FALSE(decode_datagram(std::string_view(whole).substr(0, size)));
    // Must not read out of bounds; either result is allowed.
    decode_datagram(std::string_view(whole).substr(0, size), false);
  }
  SeededRandomGenerator random(1);
  for (int round = 0; round < 2000; ++round) {
    std::string bytes(random.below(DatagramTransport::kMaxDatagramBytes), '\0');
    for (char& byte : bytes) {
      byte = static_cast<char>(random.next());
    }
    EXPECT_FALSE(decode_datagram(bytes));
    decode_datagram(bytes, false);
  }
}

TEST(DatagramTest, AliveClaimsWithoutAnAddressAreRefused) {
  Datagram datagram = full_datagram();
  datagram.updates[0].member.peer_address.port = 0;
  EXPECT_FALSE(decode_datagram(encode_datagram(datagram)));
  datagram.updates[0].member.state = MemberState::kDead;
  EXPECT_TRUE(decode_datagram(encode_datagram(datagram)));
}

TEST(DatagramTest, SizeBoundsHold) {
  SeededRandomGenerator random(2);
  for (int round = 0; round < 500; ++round) {
    Datagram datagram;
    datagram.sender = std::string(1 + random.below(40), 's');
    datagram.target = std::string(random.below(40), 't');
    datagram.view_digest = random.next();
    datagram.introduce = true;
    datagram.caught_up = true;
    datagram.pages = 1;
    datagram.sequence = 1;
    size_t bound = encoded_header_bound(datagram.sender, datagram.target);
    for (uint64_t count = random.below(6); count > 0; --count) {
      Member member = full_member();
      member.id = std::string(1 + random.below(30), static_cast<char>('a' + count));
      member.zone = std::string(random.below(30), static_cast<char>('a' + count));
      member.state = static_cast<MemberState>(random.below(4));
      datagram.updates.push_back({member});
      bound += encoded_size_bound(datagram.updates.back());
    }
    for (uint64_t count = random.below(6); count > 0; --count) {
      datagram.entries.push_back({std::string(1 + random.below(20), 'k'),
                                  std::string(1 + random.below(40), 'y'), random.next(),
                                  std::string(random.below(100), 'v')});
      bound += encoded_size_bound(datagram.entries.back());
    }
    EXPECT_LE(encode_datagram(datagram).size(), bound);
  }
}

TEST(GossipStoreTest, RefusesWhatIsTooLargeOrTooMany) {
  MembershipKnobs knobs;
  knobs.max_entries = 2;
  GossipStore store(knobs);
  const MonotonicTime now{};
  const std::string large(knobs.max_entry_bytes, 'x');
  EXPECT_EQ(store.merge({"kind", "large", 1, large}, now), GossipMerge::kRefused);
  EXPECT_EQ(store.merge({"kind", "a", 1, ""}, now), GossipMerge::kStored);
  EXPECT_EQ(store.merge({"kind", "b", 1, ""}, now), GossipMerge::kStored);
  EXPECT_EQ(store.merge({"kind", "c", 1, ""}, now), GossipMerge::kRefused);
  EXPECT_EQ(store.merge({"kind", "a", 2, ""}, now), GossipMerge::kStored);
  EXPECT_EQ(store.merge({"kind", "a", 2, "other"}, now), GossipMerge::kKnown);
}

TEST(GossipStoreTest, ShortLivedEntriesExpireAndStayOutOfTheDigest) {
  const MembershipKnobs knobs;
  GossipStore store(knobs);
  const MonotonicTime now{};
  const BucketDigests before = store.buckets();
  store.merge({"tenant_usage", "node-1", 1, "demand"}, now);
  EXPECT_EQ(store.buckets(), before);
  store.merge({"drain_mark", "worker-1", 1, "leaving"}, now);
  EXPECT_NE(store.buckets(), before);
  store.expire(now + knobs.tenant_usage_lifetime + std::chrono::seconds(1));
  EXPECT_EQ(store.find({"tenant_usage", "node-1"}), nullptr);
  EXPECT_NE(store.find({"drain_mark", "worker-1"}), nullptr);
}

}  // namespace
}  // namespace chalkshed
