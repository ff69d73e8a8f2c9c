#include "src/jobs/job_service.h"

#include <gtest/gtest.h>

#include "src/jobs/job_rows.h"
#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

// Reads all results of a job at a node.
std::vector<JobResult> read_all(ServingCluster& cluster, const std::string& node,
                                const std::string& job) {
  std::vector<JobResult> results;
  bool more = true;
  while (more) {
    std::optional<Expected<ResultPage>> page;
    cluster.node(node).jobs().read_results(job, static_cast<uint32_t>(results.size()), Duration(0),
                                           [&](const Expected<ResultPage>& read) { page = read; });
    cluster.clock.run_for(milliseconds(100));
    if (!page || !*page) {
      ADD_FAILURE() << "failed to read results: "
                    << (page ? page->error().message : std::string("no answer"));
      return results;
    }
    more = !(*page)->results.empty();
    results.insert(results.end(), (*page)->results.begin(), (*page)->results.end());
  }
  return results;
}

bool submit(ServingCluster& cluster, const std::string& node, RequestJob submission) {
  std::optional<Expected<std::monostate>> accepted;
  cluster.node(node).jobs().submit(
      std::move(submission), [&](const Expected<std::monostate>& answer) { accepted = answer; });
  cluster.clock.run_for(milliseconds(50));
  return accepted && accepted->has_value();
}

TEST(JobServiceTest, EveryItemCompletesOnceWithItsWholeText) {
  ServingCluster cluster(2);
  cluster.answer_all(3, milliseconds(20));
  ASSERT_TRUE(submit(cluster, "n0", cluster.job("j1", 10)));
  cluster.clock.run_for(seconds(5));
  for (const char* node : {"n0", "n1"}) {
    const std::vector<JobResult> results = read_all(cluster, node, "j1");
    ASSERT_EQ(results.size(), 10U);
    std::set<std::string> ids;
    for (const JobResult& result : results) {
      EXPECT_EQ(result.state, ItemState::kCompleted);
      EXPECT_EQ(result.text, "d1\nd2\nd3");
      ids.insert(result.item);
    }
    EXPECT_EQ(ids.size(), 10U);
  }
}

TEST(JobServiceTest, AWaitingReadIsAnsweredOnTheNextCommitOrAfterItsTimeout) {
  ServingCluster cluster(1);
  cluster.answer_all(3, milliseconds(400));
  ASSERT_TRUE(submit(cluster, "n0", cluster.job("j1", 1)));
  size_t answers = 0;
  size_t results = 0;
  const auto read = [&] {
    cluster.node().jobs().read_results("j1", 0, seconds(1), [&](const Expected<ResultPage>& page) {
      ++answers;
      results += page ? page->results.size() : 0;
    });
  };
  read();
  cluster.clock.run_for(milliseconds(1100));
  EXPECT_EQ(answers, 1U);
  EXPECT_EQ(results, 0U);
  read();
  cluster.clock.run_for(milliseconds(2000));
  EXPECT_EQ(answers, 2U);
  EXPECT_EQ(results, 1U);
}

// Expects every item of the job to be listed exactly once, as completed and with its full text.
void expect_complete(ServingCluster& cluster, const std::string& node, const std::string& job,
                     size_t items, const std::string& text) {
  const std::vector<JobResult> results = read_all(cluster, node, job);
  std::set<std::string> ids;
  for (const JobResult& result : results) {
    EXPECT_EQ(result.state, ItemState::kCompleted);
    EXPECT_EQ(result.text, text);
    ids.insert(result.item);
  }
  EXPECT_EQ(results.size(), items);
  EXPECT_EQ(ids.size(), items);
}

TEST(JobServiceTest, AResubmittedJobIsAcceptedOnce) {
  ServingCluster cluster(2);
  cluster.answer_all(2, milliseconds(20));
  ASSERT_TRUE(submit(cluster, "n0", cluster.job("j1", 3)));
  ASSERT_TRUE(submit(cluster, "n1", cluster.job("j1", 3)));
  ASSERT_TRUE(submit(cluster, "n0", cluster.job("j1", 3)));
  cluster.clock.run_for(seconds(3));
  expect_complete(cluster, "n1", "j1", 3, "d1\nd2");
  EXPECT_EQ(cluster.workers.calls.size(), 3U);
}

TEST(JobServiceTest, AJobSurvivesTheLossOfAllNodesRightAfterItsAcceptance) {
  ServingCluster cluster(3);
  cluster.answer_all(3, milliseconds(50));
  ASSERT_TRUE(submit(cluster, "n0", cluster.job("j1", 8)));
  for (const char* node : {"n0", "n1", "n2"}) {
    cluster.kill_node(node);
  }
  for (const char* node : {"n0", "n1", "n2"}) {
    cluster.start_node(node);
  }
  cluster.clock.run_for(seconds(6));
  expect_complete(cluster, "n1", "j1", 8, "d1\nd2\nd3");
}

TEST(JobServiceTest, ResultsKeepTheirPositionsWhenAnotherNodeTakesTheJobOver) {
  ServingCluster cluster(2, 2);
  cluster.answer_all(2, milliseconds(150));
  ASSERT_TRUE(submit(cluster, "n0", cluster.job("j1", 20)));
  cluster.clock.run_for(milliseconds(1200));
  const std::vector<JobResult> before = read_all(cluster, "n0", "j1");
  ASSERT_GT(before.size(), 0U);
  ASSERT_LT(before.size(), 20U);
  cluster.kill_node("n0");
  cluster.clock.run_for(seconds(10));
  expect_complete(cluster, "n1", "j1", 20, "d1\nd2");
  const std::vector<JobResult> after = read_all(cluster, "n1", "j1");
  for (size_t position = 0; position < before.size(); ++position) {
    EXPECT_EQ(after[position].item, before[position].item);
  }
}

TEST(JobServiceTest, AnOwnerThatResumesAfterATakeoverListsNothing) {
  ServingCluster cluster(2, 2);
  cluster.answer_all(2, milliseconds(150));
  ASSERT_TRUE(submit(cluster, "n0", cluster.job("j1", 20)));
  cluster.clock.run_for(milliseconds(700));
  cluster.nodes.at("n0")->dispatcher.freeze();
  cluster.clock.run_for(seconds(5));
  cluster.nodes.at("n0")->dispatcher.thaw();
  cluster.clock.run_for(seconds(8));
  expect_complete(cluster, "n0", "j1", 20, "d1\nd2");
  expect_complete(cluster, "n1", "j1", 20, "d1\nd2");
}

// A commit whose answer was lost may be applied seconds later, after its node has dropped the job
// and taken it over again.
TEST(JobServiceTest, ACommitThatIsAppliedLateDuplicatesNothing) {
  ServingCluster cluster(2, 2);
  cluster.answer_all(2, milliseconds(60));
  ASSERT_TRUE(submit(cluster, "n0", cluster.job("j1", 20)));
  cluster.shared.trouble.lose_commits = true;
  cluster.shared.trouble.late_commits = milliseconds(2500);
  cluster.clock.run_for(milliseconds(600));
  cluster.nodes.at("n0")->store.set_cut(true);
  cluster.shared.trouble.lose_commits = false;
  cluster.clock.run_for(seconds(8));
  cluster.nodes.at("n0")->store.set_cut(false);
  cluster.clock.run_for(seconds(8));
  expect_complete(cluster, "n0", "j1", 20, "d1\nd2");
}

TEST(JobServiceTest, LostStoreAnswersNeitherLoseNorDuplicateResults) {
  ServingCluster cluster(2, 2);
  cluster.answer_all(2, milliseconds(60));
  ASSERT_TRUE(submit(cluster, "n0", cluster.job("j1", 12)));
  cluster.shared.trouble.lose_commits = true;
  cluster.clock.run_for(seconds(4));
  cluster.shared.trouble.lose_commits = false;
  cluster.clock.run_for(seconds(6));
  expect_complete(cluster, "n1", "j1", 12, "d1\nd2");
}

TEST(JobServiceTest, AJobThatTheStoreRefusesIsReportedAsNotAcceptedAndNeverRuns) {
  ServingCluster cluster(1);
  cluster.shared.trouble.down = true;
  std::optional<Expected<std::monostate>> answer;
  cluster.node().jobs().submit(cluster.job("j1", 2),
                               [&](const Expected<std::monostate>& result) { answer = result; });
  cluster.clock.run_for(seconds(4));
  ASSERT_TRUE(answer);
  ASSERT_FALSE(*answer);
  EXPECT_EQ(answer->error().ran, Ran::kNo);
  EXPECT_TRUE(answer->error().retry_after);
  cluster.shared.trouble.down = false;
  cluster.clock.run_for(seconds(5));
  EXPECT_TRUE(cluster.workers.calls.empty());
}

// The store does not answer one node but serves the others.
TEST(JobServiceTest, AJobThatANodeCannotStoreIsAcceptedThroughAPeerWithinItsTarget) {
  ServingCluster cluster(3);
  cluster.answer_all(2, milliseconds(20));
  cluster.clock.run_for(seconds(1));
  cluster.nodes.at("n0")->store.set_cut(true);
  std::optional<Expected<std::monostate>> answer;
  cluster.node("n0").jobs().submit(
      cluster.job("j1", 2), [&](const Expected<std::monostate>& result) { answer = result; });
  cluster.clock.run_for(milliseconds(300));
  ASSERT_TRUE(answer);
  EXPECT_TRUE(answer->has_value());
  cluster.clock.run_for(seconds(2));
  expect_complete(cluster, "n1", "j1", 2, "d1\nd2");
  EXPECT_EQ(cluster.workers.calls.size(), 2U) << "each item ran once";
}

TEST(JobServiceTest, AForwardedJobIsAcceptedOnceThoughTheFirstNodeStoredItToo) {
  ServingCluster cluster(3);
  cluster.answer_all(2, milliseconds(20));
  cluster.clock.run_for(seconds(1));
  cluster.shared.trouble.lose_commits = true;
  std::optional<Expected<std::monostate>> answer;
  cluster.node("n0").jobs().submit(
      cluster.job("j1", 3), [&](const Expected<std::monostate>& result) { answer = result; });
  cluster.clock.run_for(milliseconds(100));
  cluster.shared.trouble.lose_commits = false;
  cluster.clock.run_for(seconds(8));
  ASSERT_TRUE(answer);
  EXPECT_TRUE(answer->has_value());
  expect_complete(cluster, "n1", "j1", 3, "d1\nd2");
  EXPECT_EQ(cluster.workers.calls.size(), 3U);
}

TEST(JobServiceTest, WithoutAPeerThatReachesTheStoreAJobIsForwardedToFewAndReportedAsNotRun) {
  ServingCluster cluster(3);
  cluster.clock.run_for(seconds(1));
  cluster.shared.trouble.down = true;
  std::optional<Expected<std::monostate>> answer;
  cluster.node("n0").jobs().submit(
      cluster.job("j1", 2), [&](const Expected<std::monostate>& result) { answer = result; });
  cluster.clock.run_for(seconds(4));
  ASSERT_TRUE(answer);
  ASSERT_FALSE(*answer);
  EXPECT_EQ(answer->error().ran, Ran::kNo);
  EXPECT_LE(cluster.forwarded_jobs, static_cast<int>(JobKnobs().max_hops));
  cluster.shared.trouble.down = false;
  cluster.clock.run_for(seconds(5));
  EXPECT_TRUE(cluster.workers.calls.empty());
}

TEST(JobServiceTest, AnAcceptanceWhoseAnswerIsLostIsNeverReportedAsNotRun) {
  ServingCluster cluster(1);
  cluster.answer_all(2, milliseconds(20));
  cluster.shared.trouble.lose_commits = true;
  std::optional<Expected<std::monostate>> answer;
  cluster.node().jobs().submit(cluster.job("j1", 2),
                               [&](const Expected<std::monostate>& result) { answer = result; });
  cluster.clock.run_for(seconds(12));
  ASSERT_TRUE(answer);
  EXPECT_TRUE(answer->has_value() || answer->error().ran == Ran::kUnknown);
  cluster.shared.trouble.lose_commits = false;
  cluster.clock.run_for(seconds(5));
  expect_complete(cluster, "n0", "j1", 2, "d1\nd2");
}

TEST(JobServiceTest, AnEndedJobStartsNothingMoreAndItsListStays) {
  ServingCluster cluster(2, 1);
  cluster.answer_all(2, milliseconds(300));
  ASSERT_TRUE(submit(cluster, "n0", cluster.job("j1", 12)));
  cluster.clock.run_for(milliseconds(1500));
  const size_t listed = read_all(cluster, "n0", "j1").size();
  std::optional<Expected<std::monostate>> ended;
  cluster.node("n1").jobs().end("j1",
                                [&](const Expected<std::monostate>& result) { ended = result; });
  cluster.clock.run_for(milliseconds(100));
  ASSERT_TRUE(ended && *ended);
  const size_t calls = cluster.workers.calls.size();
  cluster.clock.run_for(seconds(5));
  EXPECT_EQ(cluster.workers.calls.size(), calls);
  EXPECT_GE(read_all(cluster, "n1", "j1").size(), listed);
  ended.reset();
  cluster.node("n0").jobs().end("j1",
                                [&](const Expected<std::monostate>& result) { ended = result; });
  cluster.clock.run_for(milliseconds(100));
  EXPECT_TRUE(ended && *ended) << "ending again succeeds";
}

// A node learns only seconds later that its acceptance was stored; meanwhile the caller has
// submitted the job to another node and ended it there.
TEST(JobServiceTest, AJobThatWasEndedBeforeItsAcceptanceWasSettledStartsNothing) {
  ServingCluster cluster(2);
  cluster.answer_all(2, milliseconds(20));
  cluster.shared.trouble.lose_commits = true;
  cluster.node("n0").jobs().submit(cluster.job("j1", 3), [](const Expected<std::monostate>&) {});
  cluster.clock.run_for(milliseconds(100));
  cluster.shared.trouble.lose_commits = false;
  ASSERT_TRUE(submit(cluster, "n1", cluster.job("j1", 3)));
  std::optional<Expected<std::monostate>> ended;
  cluster.node("n1").jobs().end("j1",
                                [&](const Expected<std::monostate>& result) { ended = result; });
  cluster.clock.run_for(milliseconds(100));
  ASSERT_TRUE(ended && *ended);
  cluster.clock.run_for(seconds(8));
  EXPECT_TRUE(cluster.workers.calls.empty());
}

TEST(JobServiceTest, AnItemThatAlwaysFailsIsListedAsErroredAfterItsAttempts) {
  ServingCluster cluster(1);
  cluster.workers.on_call = [&](ScriptedCall& call) {
    call_after(cluster.loop, milliseconds(20), [&call] {
      call.begin(500);
      call.end();
    });
  };
  ASSERT_TRUE(submit(cluster, "n0", cluster.job("j1", 1)));
  cluster.clock.run_for(seconds(4));
  const std::vector<JobResult> results = read_all(cluster, "n0", "j1");
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].state, ItemState::kErrored);
  EXPECT_EQ(cluster.workers.calls.size(), 3U);
}

TEST(JobServiceTest, AnImpossibleItemIsTriedOnce) {
  ServingCluster cluster(1);
  cluster.workers.on_call = [&](ScriptedCall& call) {
    call_after(cluster.loop, milliseconds(20), [&call] {
      call.begin(422);
      call.end();
    });
  };
  ASSERT_TRUE(submit(cluster, "n0", cluster.job("j1", 1)));
  cluster.clock.run_for(seconds(2));
  EXPECT_EQ(read_all(cluster, "n0", "j1").size(), 1U);
  EXPECT_EQ(cluster.workers.calls.size(), 1U);
}

TEST(JobServiceTest, AnInterruptedRunResumesAfterItsLastEvent) {
  ServingCluster cluster(1);
  cluster.workers.on_call = [&](ScriptedCall& call) {
    call_after(cluster.loop, milliseconds(20), [&call] {
      const bool first = call.header(platform::kLastEventId).empty();
      call.begin();
      call.event(first ? 1 : 2);
      if (first) {
        call.fail(Ran::kUnknown);
      } else {
        call.end();
      }
    });
  };
  ASSERT_TRUE(submit(cluster, "n0", cluster.job("j1", 1)));
  cluster.clock.run_for(seconds(2));
  expect_complete(cluster, "n0", "j1", 1, "d1\nd2");
}

TEST(JobServiceTest, LargeContentsAndTextsAreStoredInObjects) {
  ServingCluster cluster(2);
  cluster.workers.on_call = [&](ScriptedCall& call) {
    call_after(cluster.loop, milliseconds(20), [&call] {
      call.begin();
      call.callbacks->on_body("id: 1\ndata: " + std::string(70000, 'x') + "\n\n");
      call.end();
    });
  };
  ASSERT_TRUE(submit(cluster, "n0", cluster.job("j1", 30, 40000)));
  cluster.clock.run_for(seconds(4));
  EXPECT_EQ(cluster.shared.objects.size(), 31U);
  std::optional<Expected<ResultPage>> page;
  cluster.node("n1").jobs().read_results("j1", 0, Duration(0),
                                         [&](const auto& read) { page = read; });
  cluster.clock.run_for(milliseconds(200));
  ASSERT_TRUE(page && *page);
  EXPECT_EQ((*page)->results.size(), JobKnobs().max_response_bytes / 70000);
  EXPECT_EQ((*page)->next, (*page)->results.size());
  EXPECT_EQ(cluster.shared.refused_transactions, 0U);
  expect_complete(cluster, "n1", "j1", 30, std::string(70000, 'x'));
}

// While the store is slow, each further call could exceed the time limit for accepting a job.
TEST(JobServiceTest, AJobOfUsualSizeIsAcceptedInOneCallAndReadCompletelyByAnotherNode) {
  ServingCluster cluster(2);
  cluster.answer_all(2, milliseconds(20));
  const std::string body(40000, 'b');
  std::optional<Expected<std::monostate>> accepted;
  const uint64_t calls = cluster.shared.calls;
  cluster.node("n0").jobs().submit(cluster.job("j1", 10, body.size()),
                                   [&](const auto& answer) { accepted = answer; });
  EXPECT_EQ(cluster.shared.calls, calls + 1);
  cluster.clock.run_for(milliseconds(5));
  ASSERT_TRUE(accepted && *accepted);
  std::optional<Expected<std::string>> read;
  cluster.node("n1").jobs().read_body("j1", "j1-9", [&](const auto& answer) { read = answer; });
  cluster.clock.run_for(milliseconds(20));
  ASSERT_TRUE(read && *read);
  EXPECT_EQ(**read, body);
  cluster.kill_node("n0");
  cluster.clock.run_for(seconds(8));
  expect_complete(cluster, "n1", "j1", 10, "d1\nd2");
  EXPECT_TRUE(cluster.shared.objects.empty());
  EXPECT_EQ(cluster.shared.refused_transactions, 0U);
}

TEST(JobServiceTest, BodiesOfUnlistedItemsAreReadAtEveryNode) {
  ServingCluster cluster(2);
  ASSERT_TRUE(submit(cluster, "n0", cluster.job("j1", 2)));
  for (const char* node : {"n0", "n1"}) {
    std::optional<Expected<std::string>> body;
    cluster.node(node).jobs().read_body("j1", "j1-1",
                                        [&](const Expected<std::string>& read) { body = read; });
    cluster.clock.run_for(milliseconds(100));
    ASSERT_TRUE(body && *body);
    EXPECT_EQ(**body, std::string(10, 'b'));
  }
}

TEST(JobServiceTest, AnUnknownJobIsReportedOnlyWhileTheStoreAnswers) {
  ServingCluster cluster(1);
  const auto read = [&] {
    std::optional<Expected<ResultPage>> page;
    cluster.node().jobs().read_results("none", 0, Duration(0),
                                       [&](const Expected<ResultPage>& result) { page = result; });
    cluster.clock.run_for(seconds(3));
    return page ? page->error().kind : ErrorKind::kInternal;
  };
  EXPECT_EQ(read(), ErrorKind::kNotFound);
  cluster.shared.trouble.down = true;
  EXPECT_EQ(read(), ErrorKind::kStoreUnavailable);
}

TEST(JobServiceTest, AnOldAnswerOfTheStoreDoesNotHideAResult) {
  ServingCluster cluster(2);
  cluster.answer_all(2, milliseconds(20));
  ASSERT_TRUE(submit(cluster, "n0", cluster.job("j1", 2)));
  const StoreVersion old = cluster.shared.rows.version();
  cluster.clock.run_for(seconds(2));
  cluster.shared.trouble.read_as_of = old;
  std::optional<Expected<ResultPage>> page;
  cluster.node("n1").jobs().read_results(
      "j1", 0, Duration(0), [&](const Expected<ResultPage>& result) { page = result; });
  cluster.clock.run_for(milliseconds(100));
  ASSERT_TRUE(page);
  ASSERT_FALSE(*page);
  EXPECT_EQ(page->error().kind, ErrorKind::kStoreUnavailable);
}

TEST(JobServiceTest, APlannedStopHandsItsJobsOver) {
  ServingCluster cluster(2, 1);
  cluster.answer_all(2, milliseconds(400));
  ASSERT_TRUE(submit(cluster, "n0", cluster.job("j1", 12)));
  cluster.clock.run_for(milliseconds(500));
  bool stopped = false;
  cluster.node("n0").begin_drain([&] { stopped = true; });
  cluster.clock.run_for(seconds(4));
  EXPECT_TRUE(stopped);
  cluster.kill_node("n0");
  cluster.clock.run_for(seconds(6));
  expect_complete(cluster, "n1", "j1", 12, "d1\nd2");
}

TEST(JobServiceTest, WaitingOnlineRequestsPreemptBatchItemsThatResumeLater) {
  ServingCluster cluster(1, 1);
  cluster.answer_all(6, milliseconds(300));
  cluster.clock.run_for(seconds(13));  // the node knows that there was no peak
  ASSERT_TRUE(submit(cluster, "n0", cluster.job("j1", 3)));
  ASSERT_EQ(cluster.workers.calls.size(), 3U);
  for (int number = 0; number < 4; ++number) {
    cluster.request("/stream/x", "r" + std::to_string(number));
  }
  cluster.clock.run_for(milliseconds(20));
  size_t online = 0;
  for (const ScriptedCall& call : cluster.workers.calls) {
    online += call.open() && call.request.path == "/stream/x" ? 1 : 0;
  }
  EXPECT_EQ(online, 4U);
  cluster.clock.run_for(seconds(15));
  expect_complete(cluster, "n0", "j1", 3, "d1\nd2\nd3\nd4\nd5\nd6");
}

// The node that receives online requests need not be the one that runs the batch job.
TEST(JobServiceTest, BatchRunsOfOneNodeArePreemptedForOnlineRequestsOfAnother) {
  ServingCluster cluster(2, 1);
  cluster.answer_all(30, milliseconds(300));
  cluster.clock.run_for(seconds(13));
  ASSERT_TRUE(submit(cluster, "n1", cluster.job("j1", 3)));
  for (int number = 0; number < 3; ++number) {
    cluster.request("/stream/x", "r" + std::to_string(number));
  }
  cluster.clock.run_for(milliseconds(250));
  size_t online = 0;
  size_t batch = 0;
  for (const ScriptedCall& call : cluster.workers.calls) {
    (call.request.path == "/stream/x" ? online : batch) += call.open() ? 1 : 0;
  }
  EXPECT_EQ(online, 3U);
  EXPECT_LE(online + batch, 4U) << "more runs than the worker has slots";
}

// Online requests never wait behind batch items, however soon these are due.
TEST(JobServiceTest, ItemsThatAreDueSoonArePreemptedForWaitingOnlineRequests) {
  ServingCluster cluster(1, 1);
  cluster.answer_all(300, milliseconds(300));
  cluster.clock.run_for(seconds(13));
  ASSERT_TRUE(submit(cluster, "n0", cluster.job("j1", 3)));
  cluster.clock.run_for(seconds(18));  // of the 20 after which all results are due
  ASSERT_EQ(cluster.workers.calls.size(), 3U);
  for (int number = 0; number < 4; ++number) {
    cluster.request("/stream/x", "r" + std::to_string(number));
  }
  cluster.clock.run_for(milliseconds(20));
  EXPECT_EQ(std::count_if(cluster.workers.calls.begin(), cluster.workers.calls.end(),
                          [](const ScriptedCall& call) {
                            return call.open() && call.request.path == "/stream/x";
                          }),
            4);
}

// Peers must learn of the started items before more are started: otherwise nodes that take jobs
// over at the same moment all fill the same workers.
TEST(JobServiceTest, ItemsStartInBurstsOfLimitedSize) {
  ServingCluster cluster(1, 0);
  cluster.write_worker("i-many", 0, "ready", 400);
  cluster.answer_all(60, milliseconds(200));
  cluster.clock.run_for(milliseconds(100));
  ASSERT_TRUE(submit(cluster, "n0", cluster.job("j1", 40)));
  EXPECT_EQ(cluster.workers.calls.size(), JobKnobs().max_items_per_burst);
  cluster.clock.run_for(milliseconds(60));
  EXPECT_EQ(cluster.workers.calls.size(), 2 * JobKnobs().max_items_per_burst);
  cluster.clock.run_for(seconds(1));
  EXPECT_EQ(cluster.workers.calls.size(), 40U);
}

TEST(JobServiceTest, AnItemResumesAfterItsCheckpointWhenItsOwnerIsLost) {
  ServingCluster cluster(2, 1);
  cluster.answer_all(20, milliseconds(200));
  ASSERT_TRUE(submit(cluster, "n0", cluster.job("j1", 2)));
  cluster.clock.run_for(milliseconds(2500));
  cluster.kill_node("n0");
  cluster.clock.run_for(seconds(8));
  ASSERT_EQ(cluster.workers.calls.size(), 4U);
  for (const ScriptedCall& call : cluster.workers.calls) {
    const bool first = &call == &cluster.workers.calls.front() ||
                       &call == &*std::next(cluster.workers.calls.begin());
    EXPECT_EQ(call.header(platform::kLastEventId).empty(), first);
  }
  cluster.clock.run_for(seconds(4));
  std::string text = "d1";
  for (int event = 2; event <= 20; ++event) {
    text += "\nd" + std::to_string(event);
  }
  expect_complete(cluster, "n1", "j1", 2, text);
  EXPECT_TRUE(cluster.shared.rows.read(job_progress_range("j1")).rows.empty());
}

// A checkpoint of all items in one transaction would exceed the store's limit and be rejected.
TEST(JobServiceTest, MoreRunningItemsThanFitOneTransactionResumeAfterTheirCheckpoints) {
  constexpr size_t kItems = kMostTransactionEntries + 50;
  ServingCluster cluster(2, 0);
  cluster.write_worker("i-many", 0, "ready", 4 * kItems);
  cluster.clock.run_for(milliseconds(100));
  cluster.answer_all(60, milliseconds(200));
  ASSERT_TRUE(submit(cluster, "n0", cluster.job("j1", kItems)));
  cluster.clock.run_for(seconds(6));
  ASSERT_EQ(cluster.workers.calls.size(), kItems);
  EXPECT_EQ(cluster.shared.refused_transactions, 0U);
  cluster.kill_node("n0");
  cluster.clock.run_for(seconds(10));
  size_t resumed = 0;
  for (const ScriptedCall& call : cluster.workers.calls) {
    resumed += call.header(platform::kLastEventId).empty() ? 0 : 1;
  }
  EXPECT_EQ(resumed, kItems);
  EXPECT_EQ(cluster.shared.refused_transactions, 0U);
}

TEST(JobServiceTest, StoredDataOfAJobIsRemovedAfterItsRetentionAndNotBefore) {
  ServingCluster cluster(2);
  cluster.workers.on_call = [&](ScriptedCall& call) {
    call_after(cluster.loop, milliseconds(20), [&call] {
      call.begin();
      call.callbacks->on_body("id: 1\ndata: " + std::string(70000, 'x') + "\n\n");
      call.end();
    });
  };
  ASSERT_TRUE(submit(cluster, "n0", cluster.job("j1", 3, 40000)));
  cluster.clock.run_for(std::chrono::minutes(14));
  EXPECT_EQ(read_all(cluster, "n1", "j1").size(), 3U);
  cluster.clock.run_for(std::chrono::minutes(2));
  EXPECT_TRUE(cluster.shared.objects.empty());
  EXPECT_TRUE(cluster.shared.rows.read(job_result_range("j1", 0, 10)).rows.empty());
  for (const char* table : {kStoredJobTable, kStoredContentTable, kStoredProgressTable}) {
    EXPECT_TRUE(cluster.shared.rows.read({table, job_partition("j1"), "", "", 10}).rows.empty());
  }
}

}  // namespace
}  // namespace chalkshed
