// The queue limit of a batch route over all nodes, observed through callers and the store.
#include "chalkshed/queue_admission.h"

#include <gtest/gtest.h>

#include "src/jobs/job_rows.h"
#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

// Each item of ServingCluster::job() counts as ten tokens.
constexpr uint64_t kLimit = 1000;
constexpr uint64_t kTokensOfAnItem = 10;

struct Answer {
  std::optional<Expected<std::monostate>> result;
  bool accepted() const { return result && result->has_value(); }
  bool over_limit() const {
    return result && !*result && result->error().kind == ErrorKind::kLimitExceeded &&
           result->error().ran == Ran::kNo && result->error().retry_after;
  }
};
using AnswerPtr = std::shared_ptr<Answer>;

class QueueAdmissionTest : public testing::Test {
 protected:
  QueueAdmissionTest() { set_limit(2, kLimit); }

  void set_limit(uint64_t version, uint64_t limit) {
    cluster.write_configuration(version, [limit](nlohmann::json& configuration) {
      for (nlohmann::json& route : configuration["routes"]) {
        if (route["kind"] == "batch") {
          route["max_queued_tokens"] = limit;
        }
      }
    });
    cluster.clock.run_for(seconds(1));
  }
  AnswerPtr send(const std::string& node, const std::string& id, size_t items) {
    auto answer = std::make_shared<Answer>();
    cluster.node(node).jobs().submit(
        cluster.job(id, items),
        [answer](const Expected<std::monostate>& result) { answer->result = result; });
    return answer;
  }
  bool accepts(const std::string& node, const std::string& id, size_t items) {
    const AnswerPtr answer = send(node, id, items);
    cluster.clock.run_for(milliseconds(400));
    return answer->accepted();
  }
  // Whether the store holds a reservation for the job.
  bool reserved(const std::string& job) {
    const RouteTablePtr table = cluster.node("n0").routes();
    const std::string queue =
        std::to_string(route_queue_id(*table->find("a.example", "/batch/j"), ""));
    RangeRead range;
    range.table = "job_queue";
    range.partition = "queue-" + queue;
    const RangePage page = cluster.shared.rows.read(range);
    return !page.rows.empty() &&
           page.rows.front().value.find("\"" + job + "\"") != std::string::npos;
  }
  uint64_t queued(const std::string& node) {
    const RouteTablePtr table = cluster.node(node).routes();
    return cluster.node(node).jobs().queues().queued(*table->find("a.example", "/batch/j"), "");
  }

  // The workers do not answer, so that accepted jobs stay queued.
  ServingCluster cluster{3, 2};
};

TEST_F(QueueAdmissionTest, AJobThatDoesNotFitIsRefusedWithARetryDelayAndNeverRuns) {
  ASSERT_TRUE(accepts("n0", "j1", 95));
  const size_t calls = cluster.workers.calls.size();
  const AnswerPtr refused = send("n1", "j2", 6);
  cluster.clock.run_for(milliseconds(400));
  EXPECT_TRUE(refused->over_limit());
  EXPECT_EQ(cluster.shared.own_connections.at("job_refusal"), 1U);
  cluster.clock.run_for(seconds(5));
  for (const ScriptedCall& call : cluster.workers.calls) {
    EXPECT_FALSE(call.header(platform::kRequestId).starts_with("j2")) << calls;
  }
  EXPECT_TRUE(accepts("n1", "j3", 5)) << "a job that fits is accepted";
}

// A refused caller resubmits its job elsewhere or later as a new one: if the first submission ran
// after all, its work would be done twice. Here the store does not answer the write of the first
// node, and applies it seconds after another node has refused the same job.
TEST_F(QueueAdmissionTest, ARefusedJobIsNotStoredByAnEarlierWriteThatIsAppliedLate) {
  ASSERT_TRUE(accepts("n0", "j1", 10));
  cluster.shared.trouble.lose_commits = true;
  cluster.shared.trouble.late_commits = seconds(4);
  const AnswerPtr first = send("n0", "j2", 5);
  cluster.clock.run_for(milliseconds(20));
  cluster.shared.trouble = StoreTrouble();
  ASSERT_TRUE(accepts("n1", "j3", 87));
  const AnswerPtr second = send("n2", "j2", 5);
  cluster.clock.run_for(milliseconds(400));
  ASSERT_TRUE(second->over_limit());
  cluster.clock.run_for(seconds(8));
  EXPECT_FALSE(first->accepted());
  for (const ScriptedCall& call : cluster.workers.calls) {
    EXPECT_FALSE(call.header(platform::kRequestId).starts_with("j2"));
  }
}

TEST_F(QueueAdmissionTest, ARefusedJobIsAcceptedWhenItIsResubmittedAndFits) {
  ASSERT_TRUE(accepts("n0", "j1", 95));
  const AnswerPtr refused = send("n1", "j2", 10);
  cluster.clock.run_for(milliseconds(400));
  ASSERT_TRUE(refused->over_limit());
  set_limit(3, 2 * kLimit);
  EXPECT_TRUE(accepts("n2", "j2", 10));
  EXPECT_TRUE(accepts("n1", "j2", 10)) << "resubmitted";
}

// Guards against accepting a job that a second node has refused: the first node was still trying to
// store the job and then forwarded it to a peer, which treated it as a new submission and ran it.
TEST_F(QueueAdmissionTest, AForwardedJobIsBoundByARefusalWrittenAfterItsSubmission) {
  ASSERT_TRUE(accepts("n0", "j1", 95));
  RequestJob handed = cluster.job("j2", 10);
  handed.forwarded = true;
  handed.sent_as_of = cluster.shared.rows.version();
  const AnswerPtr refused = send("n1", "j2", 10);
  cluster.clock.run_for(milliseconds(400));
  ASSERT_TRUE(refused->over_limit());
  set_limit(3, 2 * kLimit);
  Answer answer;
  cluster.node("n2").jobs().submit(
      handed, [&](const Expected<std::monostate>& result) { answer.result = result; });
  cluster.clock.run_for(milliseconds(400));
  EXPECT_TRUE(answer.over_limit());
  EXPECT_TRUE(accepts("n2", "j2", 10)) << "resubmitted";
}

TEST_F(QueueAdmissionTest, RefusalRowsAreRemovedAfterTheirRetention) {
  ASSERT_TRUE(accepts("n0", "j1", 95));
  send("n1", "j2", 10);
  cluster.clock.run_for(seconds(1));
  const auto rows = [&] {
    RangeRead range;
    range.table = kStoredRefusalTable;
    range.partition = job_partition("j2");
    return cluster.shared.rows.read(range).rows.size();
  };
  EXPECT_EQ(rows(), 1U);
  cluster.clock.run_for(std::chrono::minutes(9));
  EXPECT_EQ(rows(), 1U);
  cluster.clock.run_for(std::chrono::minutes(10));
  EXPECT_EQ(rows(), 0U);
}

// While the store does not answer a node, a peer may accept the job.
class ForwardedJobTest : public QueueAdmissionTest {
 protected:
  // Sends a job that n0 forwards to a peer and that no longer fits when n0 can decide.
  AnswerPtr send_while_store_is_silent() {
    cluster.workers.on_fetch = [this](const Address&, const HttpRequest&,
                                      Callback<HttpResponse> callback) {
      handed.push_back(std::move(callback));
    };
    EXPECT_TRUE(accepts("n0", "j1", 80));
    cluster.shared.trouble.silent = true;
    AnswerPtr answer = send("n0", "j2", 15);
    cluster.clock.run_for(milliseconds(20));
    cluster.shared.trouble = StoreTrouble();
    EXPECT_TRUE(accepts("n1", "j3", 15));
    cluster.clock.run_for(seconds(4));
    EXPECT_FALSE(handed.empty());
    return answer;
  }
  // The answer of the peer to the job that it was handed.
  static HttpResponse peer_answer(int status) {
    return {status, {{platform::kRequestId, "j2"}}, ""};
  }
  std::vector<Callback<HttpResponse>> handed;
};

TEST_F(ForwardedJobTest, IsNotRefusedWhileThePeerMayAcceptIt) {
  const AnswerPtr answer = send_while_store_is_silent();
  EXPECT_FALSE(answer->result) << "the peer has not answered yet";
  handed.front()(peer_answer(202));
  cluster.clock.run_for(milliseconds(100));
  EXPECT_TRUE(answer->accepted());
}

TEST_F(ForwardedJobTest, IsNotRefusedWhenItIsUnknownWhetherThePeerAcceptedIt) {
  const AnswerPtr answer = send_while_store_is_silent();
  for (const Callback<HttpResponse>& callback : handed) {
    callback(tl::unexpected(maybe_run(ErrorKind::kUpstreamFailed, "no answer", "none")));
    cluster.clock.run_for(milliseconds(100));
  }
  cluster.clock.run_for(seconds(4));
  ASSERT_TRUE(answer->result);
  ASSERT_FALSE(answer->accepted());
  EXPECT_EQ(answer->result->error().ran, Ran::kUnknown);
}

TEST_F(ForwardedJobTest, IsRefusedOnceThePeerHasRefusedItToo) {
  const AnswerPtr answer = send_while_store_is_silent();
  for (size_t hop = 0; hop < handed.size(); ++hop) {
    handed[hop](peer_answer(503));
    cluster.clock.run_for(milliseconds(100));
  }
  EXPECT_TRUE(answer->over_limit());
}

TEST_F(ForwardedJobTest, IsNotRefusedByAnAnswerThatDoesNotNameIt) {
  const AnswerPtr answer = send_while_store_is_silent();
  for (size_t hop = 0; hop < handed.size(); ++hop) {
    handed[hop](HttpResponse{503, {}, ""});
    cluster.clock.run_for(milliseconds(100));
  }
  cluster.clock.run_for(seconds(4));
  ASSERT_TRUE(answer->result);
  ASSERT_FALSE(answer->accepted());
  EXPECT_EQ(answer->result->error().ran, Ran::kUnknown);
}

TEST_F(QueueAdmissionTest, ConcurrentAdmissionsDoNotExceedTheLimit) {
  ASSERT_TRUE(accepts("n0", "j0", 80));
  std::vector<AnswerPtr> answers;
  for (const char* node : {"n0", "n1", "n2"}) {
    answers.push_back(send(node, std::string("at-once-") + node, 15));
  }
  cluster.clock.run_for(seconds(1));
  const auto accepted = std::count_if(answers.begin(), answers.end(),
                                      [](const AnswerPtr& answer) { return answer->accepted(); });
  const auto refused = std::count_if(answers.begin(), answers.end(),
                                     [](const AnswerPtr& answer) { return answer->over_limit(); });
  EXPECT_EQ(accepted, 1);
  EXPECT_EQ(refused, 2);
}

// Near the limit all reservations share one row: write conflicts and store throttling must not lead
// to the refusal of jobs that fit.
TEST_F(QueueAdmissionTest, ManyJobsThatFitAreAcceptedWhileAllNodesReserveConcurrently) {
  ASSERT_TRUE(accepts("n0", "j0", 70));
  cluster.clock.run_for(seconds(1));
  const uint64_t before = cluster.shared.calls;
  std::vector<AnswerPtr> answers;
  for (int number = 0; number < 30; ++number) {
    const std::string id = "many-" + std::to_string(number);
    answers.push_back(send("n" + std::to_string(number % 3), id, 1));
  }
  cluster.clock.run_for(seconds(1));
  const auto accepted = std::count_if(answers.begin(), answers.end(),
                                      [](const AnswerPtr& answer) { return answer->accepted(); });
  EXPECT_EQ(accepted, 30);
  EXPECT_LE(cluster.shared.calls - before, 30U + 40U)
      << "one call per job, and few for reservations";
}

TEST_F(QueueAdmissionTest, FarBelowTheLimitAnAcceptanceCostsOneCall) {
  cluster.clock.run_for(seconds(2));
  uint64_t before = cluster.shared.rows.version();
  ASSERT_TRUE(accepts("n0", "j1", 5));
  EXPECT_EQ(cluster.shared.rows.version(), before + 1);
}

TEST_F(QueueAdmissionTest, AResubmittedJobIsAcceptedThoughTheQueueIsFull) {
  ASSERT_TRUE(accepts("n0", "j1", 98));
  EXPECT_TRUE(accepts("n1", "j1", 98));
  // The record has not arrived at the node that gets the second submission.
  cluster.shared.trouble.hold_changes = true;
  ASSERT_TRUE(accepts("n0", "j2", 2));
  EXPECT_TRUE(accepts("n2", "j2", 2));
  EXPECT_EQ(queued("n0"), kLimit);
}

TEST_F(QueueAdmissionTest, TheReservationOfALostNodeExpiresAfterAFewSeconds) {
  ASSERT_TRUE(accepts("n0", "j0", 70));
  // The reservation is written, and the node is killed before it stores the job.
  send("n1", "j1", 25);
  for (int step = 0; step < 200 && !reserved("j1"); ++step) {
    cluster.clock.run_for(milliseconds(1));
  }
  ASSERT_TRUE(reserved("j1"));
  cluster.kill_node("n1");
  cluster.clock.run_for(milliseconds(50));
  EXPECT_FALSE(accepts("n2", "j2", 25)) << "it may still be stored";
  cluster.clock.run_for(seconds(6));
  EXPECT_TRUE(accepts("n2", "j2", 25));
}

TEST_F(QueueAdmissionTest, TheCountIsRightAfterTheOwnerIsLost) {
  ASSERT_TRUE(accepts("n0", "j1", 90));
  // Three items end at the workers and are reported before the owner is lost.
  size_t ended = 0;
  for (ScriptedCall& call : cluster.workers.calls) {
    if (call.open() && ended < 3) {
      call.begin();
      call.event(1);
      call.end();
      ++ended;
    }
  }
  ASSERT_EQ(ended, 3U);
  cluster.clock.run_for(seconds(1));
  const uint64_t left = kTokensOfAnItem * 87;
  EXPECT_EQ(queued("n0"), left);
  EXPECT_EQ(queued("n2"), left);
  cluster.kill_node("n0");
  cluster.clock.run_for(seconds(1));
  EXPECT_EQ(queued("n2"), left);
  cluster.clock.run_for(seconds(8));
  EXPECT_EQ(queued("n1"), left);
  EXPECT_EQ(queued("n2"), left);
}

TEST_F(QueueAdmissionTest, AfterTheLossOfAllNodesTheLimitStillHolds) {
  ASSERT_TRUE(accepts("n0", "j1", 95));
  for (const char* node : {"n0", "n1", "n2"}) {
    cluster.kill_node(node);
  }
  for (const char* node : {"n0", "n1", "n2"}) {
    cluster.start_node(node);
  }
  const AnswerPtr at_once = send("n1", "j2", 10);
  cluster.clock.run_for(seconds(2));
  EXPECT_FALSE(at_once->accepted());
  EXPECT_FALSE(accepts("n2", "j3", 10));
}

TEST_F(QueueAdmissionTest, AnEndedJobFreesItsTokensAtOnce) {
  ASSERT_TRUE(accepts("n0", "j1", 95));
  cluster.node("n1").jobs().end("j1", [](const Expected<std::monostate>&) {});
  cluster.clock.run_for(milliseconds(400));
  EXPECT_EQ(queued("n2"), 0U);
  EXPECT_TRUE(accepts("n2", "j2", 95));
}

TEST_F(QueueAdmissionTest, ALowerLimitDoesNotAffectAcceptedJobs) {
  cluster.answer_all(1, milliseconds(20));
  ASSERT_TRUE(accepts("n0", "j1", 60));
  set_limit(3, 100);
  EXPECT_TRUE(accepts("n1", "j1", 60));
  cluster.clock.run_for(seconds(20));
  EXPECT_EQ(queued("n1"), 0U) << "all of it has run";
  EXPECT_TRUE(accepts("n1", "j2", 10));
  EXPECT_FALSE(accepts("n1", "j3", 11)) << "more than the limit never fits";
}

TEST_F(QueueAdmissionTest, WithoutALimitNothingIsRefused) {
  set_limit(3, 0);
  EXPECT_TRUE(accepts("n0", "j1", 190));
  EXPECT_TRUE(accepts("n1", "j2", 190));
}

}  // namespace
}  // namespace chalkshed
