#include "chalkshed/origin_decision.h"

#include <gtest/gtest.h>

namespace chalkshed {
namespace {

using kind = version_span::kind;

constexpr software_id kOne{1};
constexpr software_id kTwo{2};

origin_evidence versions(kind known, software_id software = software_id::kUnknown,
                         bool current = true) {
  return {software_id::kUnknown, {known, software}, current, route_span::kSole};
}

origin_evidence record(software_id software) {
  return {software, {kind::kSeveral, software_id::kUnknown}, true, route_span::kSole};
}

TEST(OriginDecision, ARecordDecides) {
  EXPECT_EQ(decide_origin(record(kOne), {}).source, origin_source::kOwnRecord);
  const stream_origin found =
      decide_origin(versions(kind::kSole, kTwo), {versions(kind::kSeveral), record(kOne)});
  EXPECT_EQ(found.software, kOne);
  EXPECT_EQ(found.source, origin_source::kPeerRecord);
}

TEST(OriginDecision, RecordsThatContradictEachOtherDecideNothing) {
  EXPECT_EQ(decide_origin({}, {record(kOne), record(kTwo)}).source, origin_source::kUnknown);
}

TEST(OriginDecision, WithoutARecordOnlyASoleVersionDecides) {
  EXPECT_EQ(decide_origin(versions(kind::kSole, kOne), {}).software, kOne);
  EXPECT_EQ(decide_origin(versions(kind::kSeveral), {}).source, origin_source::kUnknown);
  EXPECT_EQ(decide_origin(versions(kind::kUncovered, kOne), {}).source, origin_source::kUnknown);
}

TEST(OriginDecision, ANodeThatHasJustStartedBelievesItsPeers) {
  EXPECT_EQ(decide_origin(versions(kind::kUncovered, kOne), {versions(kind::kSole, kOne)}).software,
            kOne);
  EXPECT_EQ(decide_origin(versions(kind::kUncovered, kTwo), {versions(kind::kSole, kOne)}).source,
            origin_source::kUnknown);
}

TEST(OriginDecision, APeerThatKnowsOfAnotherVersionOverrulesASoleOne) {
  for (const origin_evidence& peer :
       {versions(kind::kSeveral), versions(kind::kSole, kTwo), versions(kind::kUncovered, kTwo)}) {
    EXPECT_EQ(decide_origin(versions(kind::kSole, kOne), {peer}).source, origin_source::kUnknown);
  }
}

TEST(OriginDecision, AnOldViewProvesNoSoleVersion) {
  EXPECT_EQ(decide_origin(versions(kind::kSole, kOne, false), {}).source, origin_source::kUnknown);
}

}  // namespace
}  // namespace chalkshed
