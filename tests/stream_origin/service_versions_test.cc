#include "chalkshed/service_versions.h"

#include <gtest/gtest.h>

namespace chalkshed {
namespace {

using std::chrono::seconds;
using kind = version_span::kind;

constexpr software_id kOne{1};
constexpr software_id kTwo{2};
constexpr MonotonicTime kStart{seconds(1000)};

TEST(ServiceVersions, AVersionIsSoleOnlyOnceTheTimeIsCovered) {
  service_versions versions;
  versions.note_listed(kOne, kStart);
  const MonotonicTime covered = kStart + service_versions::kMemory;
  EXPECT_EQ(versions.span(seconds(10), covered - seconds(1)).known, kind::kUncovered);
  EXPECT_EQ(versions.span(seconds(10), covered - seconds(1)).software, kOne);
  EXPECT_EQ(versions.span(seconds(10), covered).known, kind::kSole);
}

// Guards against: a node that was cut off began a stream at a version that had long gone.
TEST(ServiceVersions, AVersionThatIsGoneCountsForAsLongAsItIsRemembered) {
  service_versions versions;
  versions.note_listed(kOne, kStart);
  versions.note_listed(kTwo, kStart + seconds(60));
  versions.note_unlisted(kOne, kStart + seconds(70));
  EXPECT_EQ(versions.listed(), 1U);
  const MonotonicTime forgotten = kStart + seconds(70) + service_versions::kMemory;
  EXPECT_EQ(versions.span(seconds(10), kStart + seconds(80)).known, kind::kSeveral);
  EXPECT_EQ(versions.span(seconds(10), kStart + seconds(81)).known, kind::kSeveral);
  EXPECT_EQ(versions.span(seconds(10), forgotten).known, kind::kSeveral);
  const version_span later = versions.span(seconds(10), forgotten + seconds(1));
  EXPECT_EQ(later.known, kind::kSole);
  EXPECT_EQ(later.software, kTwo);
}

TEST(ServiceVersions, AVersionStaysWhileOneOfItsWorkersDoes) {
  service_versions versions;
  versions.note_listed(kOne, kStart);
  versions.note_listed(kOne, kStart);
  versions.note_listed(kTwo, kStart);
  versions.note_unlisted(kOne, kStart);
  EXPECT_EQ(versions.span(seconds(1), kStart + seconds(100)).known, kind::kSeveral);
}

// Workers that name no version are one each; listing one must not walk all of them.
TEST(ServiceVersions, AVersionOfEachOfManyWorkersIsForgottenInTime) {
  constexpr uint64_t kWorkers = 100'000;
  service_versions versions;
  for (uint64_t number = 1; number <= kWorkers; ++number) {
    versions.note_listed(software_id{number}, kStart);
  }
  EXPECT_EQ(versions.listed(), kWorkers);
  EXPECT_EQ(versions.span(seconds(10), kStart + seconds(60)).known, kind::kSeveral);
  for (uint64_t number = 2; number <= kWorkers; ++number) {
    versions.note_unlisted(software_id{number}, kStart);
  }
  EXPECT_EQ(versions.listed(), 1U);
  EXPECT_EQ(versions.span(seconds(10), kStart + seconds(1) + service_versions::kMemory).known,
            kind::kSole);
}

TEST(ServiceVersions, ALongerTimeThanIsRememberedIsNotCovered) {
  service_versions versions;
  versions.note_listed(kOne, kStart);
  EXPECT_EQ(versions.span(std::chrono::minutes(6), kStart + std::chrono::hours(1)).known,
            kind::kUncovered);
}

TEST(ServiceVersions, ATimeInWhichWorkersMayHaveComeAndGoneUnseenIsNotCovered) {
  service_versions versions;
  versions.note_listed(kOne, kStart);
  const MonotonicTime unseen = kStart + 2 * service_versions::kMemory;
  versions.note_unseen(unseen);
  EXPECT_EQ(versions.span(seconds(10), unseen + seconds(69)).known, kind::kUncovered);
  EXPECT_EQ(versions.span(seconds(10), unseen + service_versions::kMemory).known, kind::kSole);
}

}  // namespace
}  // namespace chalkshed
