// Admission over many nodes in virtual time: requests that are refused without need, tenants and
// priorities that are affected by others, and more requests than can be served.
#include "chalkshed/shared_admission.h"

#include <gtest/gtest.h>

#include "tests/shared_admission/admission_cluster.h"

namespace chalkshed {
namespace {

constexpr size_t kTenants = 74;

std::string tenant_name(size_t index) { return "t" + std::to_string(index); }

// Rates of tenants of which a few are large.
std::vector<double> tenant_rates(double total) {
  std::vector<double> rates;
  double sum = 0;
  for (size_t index = 0; index < kTenants; ++index) {
    rates.push_back(std::pow(static_cast<double>(index + 1), -1.2));
    sum += rates.back();
  }
  for (double& rate : rates) {
    rate *= total / sum;
  }
  return rates;
}

// Late and refused requests of all tenants but one while that one sends `factor` times its usual
// rate for 6.5 s.
Outcomes others_beside(size_t loud, double factor, const ClusterOptions& options) {
  AdmissionCluster cluster(options);
  const std::vector<double> rates = tenant_rates(0.75 * cluster.capacity());
  for (size_t index = 0; index < kTenants; ++index) {
    cluster.drive(tenant_name(index), 0, rates[index]);
  }
  cluster.run(seconds(3));
  cluster.set_rate(loud, factor * rates[loud]);
  cluster.run(milliseconds(6500));
  cluster.set_rate(loud, rates[loud]);
  cluster.run(seconds(2));
  cluster.stop_all();
  return cluster.of(
      [loud](const std::string& tenant, uint32_t) { return tenant != tenant_name(loud); });
}

TEST(SharedAdmissionTest, NothingIsRefusedOrSentWhileSlotsAreFree) {
  AdmissionCluster cluster;
  cluster.drive("a", 0, 0.8 * cluster.capacity());
  cluster.run(seconds(10));
  EXPECT_EQ(cluster.all().late + cluster.all().refused, 0);
  EXPECT_EQ(cluster.datagrams, 0);
}

TEST(SharedAdmissionTest, OthersDoNotNoticeATenantAtSevenTimesItsUsualRate) {
  double bad = 0;
  double bad_alone = 0;
  for (const size_t loud : {0, 1, 3}) {
    ClusterOptions options;
    options.seed = 10 + loud;
    const Outcomes without = others_beside(loud, 1, options);
    const Outcomes with = others_beside(loud, 7, options);
    options.shared = false;
    const Outcomes alone = others_beside(loud, 7, options);
    EXPECT_LE(with.bad_share(), without.bad_share() + 0.01) << loud;
    bad += with.bad_share();
    bad_alone += alone.bad_share();
  }
  EXPECT_GT(bad_alone, 10 * bad) << "the load must be one that matters without shared admission";
}

TEST(SharedAdmissionTest, HigherPrioritiesAreServedFirst) {
  AdmissionCluster cluster;
  const std::vector<std::pair<uint32_t, double>> loads = {{0, 0.6}, {2, 0.6}, {5, 0.5}};
  for (const auto& [priority, load] : loads) {
    cluster.drive("t" + std::to_string(priority), priority, 0.4 * load * cluster.capacity());
  }
  cluster.run(seconds(3));
  for (size_t source = 0; source < loads.size(); ++source) {
    cluster.set_rate(source, loads[source].second * cluster.capacity());
  }
  cluster.run(seconds(8));
  cluster.stop_all();
  double better = 0;
  for (const uint32_t priority : {5, 2, 0}) {
    const Outcomes one =
        cluster.of([priority](const std::string&, uint32_t of) { return of == priority; });
    EXPECT_GE(1 - one.bad_share(), better - 0.02);
    better = 1 - one.bad_share();
  }
  EXPECT_GE(better, 0.98);
}

TEST(SharedAdmissionTest, HardlyMoreIsAdmittedThanCanBeServedInTime) {
  for (const double load : {1.1, 1.4, 1.9}) {
    AdmissionCluster cluster;
    cluster.drive("", 0, 0.4 * cluster.capacity());
    for (int round = 0; round < 3; ++round) {
      cluster.set_rate(0, 0.4 * cluster.capacity());
      cluster.run(milliseconds(3400));
      cluster.set_rate(0, load * cluster.capacity());
      cluster.run(milliseconds(2400));
    }
    cluster.stop_all();
    const Outcomes all = cluster.all();
    EXPECT_LT(all.admitted_late, 0.02 * all.admitted) << load;
    const double possible = 3 * cluster.capacity() * (0.4 * 3.4 + 2.4);
    EXPECT_GT(all.in_time, 0.94 * std::min(possible, all.asked)) << load;
    EXPECT_LE(cluster.largest, 1200);
  }
}

}  // namespace
}  // namespace chalkshed
