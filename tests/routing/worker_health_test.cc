// Health of one worker: ejection, slow start and recovery.
#include "src/routing/worker_health.h"

#include <gtest/gtest.h>

namespace chalkshed {
namespace {

class WorkerHealthTest : public testing::Test {
 protected:
  // Ejects the worker and waits for the end of the ejection and of the slow start.
  void eject_and_wait() {
    const MonotonicTime begin = now_;
    health_.eject(now_, knobs_);
    while (health_.ejected(now_)) {
      now_ += std::chrono::milliseconds(100);
    }
    last_ejection_ = now_ - begin;
    now_ += knobs_.slow_start;
  }

  HealthKnobs knobs_;
  WorkerHealth health_;
  MonotonicTime now_{std::chrono::hours(1)};
  Duration last_ejection_{0};
};

TEST_F(WorkerHealthTest, OneFailureIsEnoughDuringTheRecovery) {
  health_.eject(now_, knobs_);
  now_ += knobs_.first_ejection;
  health_.success(now_, knobs_);
  health_.failure();
  EXPECT_TRUE(health_.failing(knobs_));
}

TEST_F(WorkerHealthTest, EjectionsWithoutASuccessInBetweenGrowLonger) {
  eject_and_wait();
  const Duration first = last_ejection_;
  eject_and_wait();
  EXPECT_EQ(last_ejection_, 2 * first);
}

TEST_F(WorkerHealthTest, ARecoveredWorkerIsTreatedLikeAnyOther) {
  eject_and_wait();
  const Duration first = last_ejection_;
  health_.success(now_, knobs_);
  health_.failure();
  EXPECT_FALSE(health_.failing(knobs_));
  eject_and_wait();
  EXPECT_EQ(last_ejection_, first);
}

}  // namespace
}  // namespace chalkshed
