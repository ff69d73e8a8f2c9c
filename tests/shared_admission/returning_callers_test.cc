// Callers that return after a refusal: recognised at other nodes, placed before new requests while
// they can be in time, and told to return when there is room.
#include <gtest/gtest.h>

#include "tests/shared_admission/admission_cluster.h"

namespace chalkshed {
namespace {

TEST(RefusedContentsTest, AContentIsReturnedOnceWithTheTimeOfItsFirstRefusal) {
  refused_contents known(10, seconds(4));
  const MonotonicTime start{seconds(100)};
  EXPECT_TRUE(known.add(7, start, start));
  EXPECT_FALSE(known.add(7, start + seconds(1), start + seconds(1)));
  EXPECT_EQ(known.take(7, start + seconds(2)), start);
  EXPECT_EQ(known.take(7, start + seconds(2)), std::nullopt);
}

TEST(RefusedContentsTest, OldContentsAreForgotten) {
  refused_contents known(10, seconds(4));
  const MonotonicTime start{seconds(100)};
  known.add(7, start, start);
  EXPECT_EQ(known.take(7, start + seconds(5)), std::nullopt);
  EXPECT_FALSE(known.add(8, start, start + seconds(5))) << "told too late";
}

TEST(RefusedContentsTest, TheNumberOfEntriesIsBounded) {
  refused_contents known(100, seconds(4));
  MonotonicTime now{seconds(100)};
  for (uint64_t content = 0; content < 100000; ++content) {
    now += milliseconds(1);
    known.add(content, now, now);
    if (content % 2 == 0) {
      known.take(content, now);
    }
    ASSERT_LE(known.size(), 100U);
  }
  EXPECT_NE(known.take(99999, now), std::nullopt) << "the newest are kept";
}

class ReturningCallersTest : public testing::Test {
 protected:
  static admission_request request(uint64_t digest, const std::string& tenant = "a") {
    static std::string name;
    name = tenant;
    admission_request wanted;
    wanted.id = "r";
    wanted.service = "s";
    wanted.tenant = name;
    wanted.digest = digest;
    wanted.target = milliseconds(300);
    return wanted;
  }
  shared_verdict ask(size_t node, const admission_request& wanted) {
    return cluster.machines[node].process->admission.admit(wanted);
  }
  // Sends new requests of the tenant to the node until one is refused. @return its digest.
  uint64_t refused_at(size_t node, const std::string& tenant = "a") {
    for (uint64_t digest = 1000; digest < 1100; ++digest) {
      if (ask(node, request(digest, tenant)).refused) {
        return digest;
      }
    }
    ADD_FAILURE() << "nothing was refused";
    return 0;
  }
  void overload(double load) {
    cluster.drive("a", 0, 0.6 * cluster.capacity());
    cluster.run(seconds(3));
    cluster.set_rate(0, load * cluster.capacity());
    cluster.run(seconds(2));
  }
  AdmissionCluster cluster;
};

TEST_F(ReturningCallersTest, ARefusedContentIsKnownAtAllNodes) {
  overload(1.6);
  const uint64_t digest = refused_at(0);
  cluster.run(milliseconds(200));
  for (size_t node = 1; node < 60; ++node) {
    const shared_verdict verdict = ask(node, request(digest));
    EXPECT_FALSE(verdict.refused) << node;
  }
}

TEST_F(ReturningCallersTest, AnUnknownContentIsNot) {
  overload(2.5);
  size_t refused = 0;
  for (size_t node = 0; node < 60; ++node) {
    refused += ask(node, request(500000 + node)).refused ? 1 : 0;
  }
  EXPECT_GE(refused, 20U);
}

TEST(RefusedContentsTest, TheSameContentOfTwoTenantsIsToldApart) {
  EXPECT_NE(content_key(1, tenant_hash("a")), content_key(1, tenant_hash("b")));
  EXPECT_NE(content_key(1, 0), content_key(1, tenant_hash("b")));
}

TEST_F(ReturningCallersTest, AfterItsTargetItIsHeldUntilThereIsRoom) {
  overload(1.6);
  const uint64_t digest = refused_at(0);
  cluster.run(milliseconds(300));
  const shared_verdict verdict = ask(5, request(digest));
  EXPECT_FALSE(verdict.refused);
  EXPECT_TRUE(verdict.late);
}

TEST_F(ReturningCallersTest, OnlySoManyAreHeld) {
  overload(1.6);
  const uint64_t digest = refused_at(0);
  cluster.run(milliseconds(300));
  admission_request wanted = request(digest);
  wanted.late = wanted.late_of_tenant = shared_admission_knobs{}.max_late_of_tenant;
  const shared_verdict verdict = ask(5, wanted);
  ASSERT_TRUE(verdict.refused);
  EXPECT_EQ(verdict.refused->kind, ErrorKind::kOverloaded);
  EXPECT_EQ(verdict.refused->ran, Ran::kNo);
}

TEST_F(ReturningCallersTest, RetriesAreSpreadOverTheTimeInWhichTheCapacityAdmitsThem) {
  overload(2.0);
  cluster.retry_delays.clear();
  cluster.run(seconds(3));
  ASSERT_GT(cluster.retry_delays.size(), 500U);
  std::sort(cluster.retry_delays.begin(), cluster.retry_delays.end());
  const auto at = [this](double part) {
    return cluster.retry_delays[static_cast<size_t>(
        part * static_cast<double>(cluster.retry_delays.size() - 1))];
  };
  // Half of the requests are refused, so those of a second take another second.
  EXPECT_LT(at(0.05), milliseconds(250));
  EXPECT_GT(at(0.5), milliseconds(350));
  EXPECT_LT(at(0.5), milliseconds(750));
  EXPECT_GT(at(0.95), milliseconds(800));
  EXPECT_LT(at(1), seconds(3));
}

// Returned requests must neither displace requests that can be in time nor be lost.
TEST_F(ReturningCallersTest, ReturnsDoNotMakeNewRequestsLate) {
  Outcomes outcomes[2];
  for (const bool returns : {false, true}) {
    ClusterOptions options;
    options.returns = returns;
    AdmissionCluster one(options);
    one.drive("", 0, 0.4 * one.capacity());
    for (int round = 0; round < 3; ++round) {
      one.set_rate(0, 0.4 * one.capacity());
      one.run(milliseconds(3400));
      one.set_rate(0, 1.4 * one.capacity());
      one.run(milliseconds(2400));
    }
    one.stop_all();
    outcomes[returns ? 1 : 0] = one.all();
  }
  // The capacity bounds both figures; the numbers of requests asked differ at random.
  EXPECT_GE(outcomes[1].in_time, 0.96 * outcomes[0].in_time);
  EXPECT_LT(outcomes[1].admitted_late, 0.025 * outcomes[1].admitted);
  EXPECT_LT(outcomes[1].refused, 0.5 * outcomes[0].refused);
}

}  // namespace
}  // namespace chalkshed
