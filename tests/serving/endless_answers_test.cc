// Guards against workers in trouble that send bytes without end instead of an answer: the runs of
// batch items have no deadline, and what is kept of an answer fills the node's memory.

#include <gtest/gtest.h>

#include "src/jobs/job_rows.h"
#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

// What a worker in trouble sends.
struct flood {
  std::string name;
  int status = 200;
  bool has_head = true;
  bool refuses = false;
  std::string bytes;  // again and again
  Duration pause = milliseconds(10);
};

std::ostream& operator<<(std::ostream& out, const flood& chosen) { return out << chosen.name; }

std::string repeated(const std::string& text, size_t bytes) {
  std::string all;
  while (all.size() < bytes) {
    all += text;
  }
  return all;
}

constexpr size_t kPiece = size_t{64} * 1024;

// The worker i-0 sends bytes without end; i-1 is sound.
class EndlessAnswersTest : public testing::Test {
 protected:
  EndlessAnswersTest() {
    cluster.workers.on_call = [this](ScriptedCall& call) { answer(call); };
    cluster.clock.run_for(seconds(4));
  }
  void answer(ScriptedCall& call) {
    call_after(cluster.loop, milliseconds(5), [this, &call] {
      if (!call.open()) {
        return;
      }
      if (!floods_left_) {
        call.begin();
        call.event(1);
        call.end();
        return;
      }
      --*floods_left_;
      floods_left_ = *floods_left_ > 0 ? floods_left_ : std::nullopt;
      begin(call);
    });
  }
  void begin(ScriptedCall& call) {
    if (sent_.refuses) {
      call.callbacks->on_headers(503, call.refusal_head());
    } else if (sent_.has_head) {
      call.begin(sent_.status);
    }
    send_on(call);
  }
  void send_on(ScriptedCall& call) {
    if (call.open() && sent_.has_head) {
      bytes_ += sent_.bytes.size();
      call.callbacks->on_body(sent_.bytes);
    }
    if (call.open()) {
      call_after(cluster.loop, sent_.pause, [this, &call] { send_on(call); });
    }
  }
  size_t listed(const std::string& id) const {
    return cluster.shared.rows.read(job_result_range(id, 0, 10)).rows.size();
  }

  ServingCluster cluster{1, 2};
  flood sent_;
  std::optional<int> floods_left_ = 1;
  size_t bytes_ = 0;
};

class EndlessAnswersToItems : public EndlessAnswersTest,
                              public testing::WithParamInterface<flood> {};

TEST_P(EndlessAnswersToItems, AreGivenUpAndTheItemRunsAgain) {
  sent_ = GetParam();
  cluster.node().jobs().submit(cluster.job("j", 1), [](const Expected<std::monostate>&) {});
  cluster.clock.run_for(seconds(10));
  EXPECT_EQ(listed("j"), 1U);
  constexpr size_t kMostBytes = size_t{16} * 1024 * 1024;
  EXPECT_LE(bytes_, kMostBytes);
}

INSTANTIATE_TEST_SUITE_P(
    Floods, EndlessAnswersToItems,
    testing::Values(flood{"HeadWithoutEnd", 200, false, false, "", milliseconds(100)},
                    flood{"BytesWithoutLines", 200, true, false, repeated("x", kPiece)},
                    flood{"BlankLines", 200, true, false, repeated("\n", kPiece)},
                    flood{"Comments", 200, true, false, repeated(": still here\n\n", kPiece)},
                    flood{"TextWithoutIds", 200, true, false, repeated("data: x\n\n", kPiece)},
                    flood{"OneEventAgain", 200, true, false,
                          repeated("id: 1\ndata: x\n\n", kPiece)},
                    flood{"FewBytes", 200, true, false, "x", milliseconds(500)},
                    flood{"FewComments", 200, true, false, ":\n\n", milliseconds(500)},
                    flood{"BodyOfAFailure", 500, true, false, repeated("x", kPiece)},
                    flood{"BodyOfARefusal", 503, true, true, repeated("x", kPiece)},
                    flood{"FewBytesOfARefusal", 503, true, true, "x", milliseconds(500)}),
    [](const auto& chosen) { return chosen.param.name; });

// An idempotent request is sent to the next worker, long before its time is up.
TEST_F(EndlessAnswersTest, AWholeAnswerWithoutEndIsGivenUp) {
  sent_ = {"", 200, true, false, repeated("x", size_t{1024} * 1024)};
  const SeenAnswerPtr seen = cluster.request("/plain/1");
  cluster.clock.run_for(seconds(1));
  EXPECT_EQ(seen->status, 200);
  EXPECT_TRUE(seen->finished);
  EXPECT_LE(bytes_, size_t{16} * 1024 * 1024);
}

TEST_F(EndlessAnswersTest, AnEventWithoutEndIsGivenUpAndTheStreamGoesOn) {
  sent_ = {"", 200, true, false, repeated("x", kPiece)};
  const SeenAnswerPtr seen = cluster.request("/stream/1");
  cluster.clock.run_for(seconds(1));
  EXPECT_EQ(seen->status, 200);
  EXPECT_TRUE(seen->finished);
  EXPECT_EQ(seen->body, "id: 1\ndata: d1\n\n");
  EXPECT_LE(bytes_, size_t{4} * 1024 * 1024);
}

// Comments are no part of the answer, and no sign that it goes on.
TEST_F(EndlessAnswersTest, CommentsWithoutEndAreLeftOutAndTheStreamGoesOn) {
  for (const Duration pause : {milliseconds(10), milliseconds(300)}) {
    sent_ = {"", 200, true, false, repeated(":\n\n", size_t{16} * 1024), pause};
    floods_left_ = 1;
    const SeenAnswerPtr seen = cluster.request("/stream/1", "r" + std::to_string(pause.count()));
    cluster.clock.run_for(seconds(4));
    EXPECT_EQ(seen->status, 200);
    EXPECT_TRUE(seen->finished);
    EXPECT_EQ(seen->body, "id: 1\ndata: d1\n\n");
  }
}

// A refusal says that the request has not run, whatever follows it.
TEST_F(EndlessAnswersTest, ARefusalWithoutEndIsARefusal) {
  sent_ = {"", 503, true, true, repeated("x", kPiece)};
  const SeenAnswerPtr seen = cluster.request("/once/1");
  cluster.clock.run_for(seconds(1));
  EXPECT_EQ(seen->status, 200);
  EXPECT_TRUE(seen->finished);
}

// The bytes say that the worker is in trouble, not that the content crashes workers.
TEST_F(EndlessAnswersTest, AreNoEvidenceAgainstTheirContent) {
  sent_ = {"", 200, true, false, repeated("x", kPiece)};
  floods_left_ = 3;
  cluster.node().jobs().submit(cluster.job("j", 1), [](const Expected<std::monostate>&) {});
  cluster.clock.run_for(seconds(3));
  EXPECT_EQ(cluster.node().quarantine().evidence().size(), 0U);
  EXPECT_EQ(listed("j"), 1U);
}

}  // namespace
}  // namespace chalkshed
