#include "emulator/engine_model.h"

#include <gtest/gtest.h>

#include "emulator/answer_model.h"
#include "sim/virtual_time.h"

namespace chalkshed {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct RecordingCallbacks : GenerateCallbacks {
  explicit RecordingCallbacks(const VirtualClock& clock_to_use) : clock(clock_to_use) {}
  void on_chunk(const GenerateChunk& chunk) override {
    EXPECT_EQ(chunk.first_index, first_index + tokens.size());
    tokens.insert(tokens.end(), chunk.tokens.begin(), chunk.tokens.end());
    times.push_back(clock.monotonic_now());
  }
  void on_complete(const GenerateResult& end) override { result = end; }
  void on_error(const Error& end) override { error = end; }

  const VirtualClock& clock;
  uint32_t first_index = 0;
  std::vector<std::string> tokens;
  std::vector<MonotonicTime> times;
  std::optional<GenerateResult> result;
  std::optional<Error> error;
};

class EngineModelTest : public testing::Test {
 protected:
  EngineModel make(EngineSettings settings = {}) {
    return EngineModel(std::move(settings), clock_, dispatcher_, random_);
  }
  GenerateRequest request(std::string id, std::string prompt,
                          EnginePriority priority = EnginePriority::kOnline) {
    GenerateRequest request;
    request.attempt_id = std::move(id);
    request.model = "m";
    request.prompt = std::move(prompt);
    request.priority = priority;
    return request;
  }
  RecordingCallbacks& sink() { return sinks_.emplace_back(clock_); }

  VirtualClock clock_;
  VirtualDispatcher dispatcher_{clock_};
  SeededRandomGenerator random_{1};
  std::deque<RecordingCallbacks> sinks_;
};

TEST_F(EngineModelTest, GeneratesTheExpectedAnswerWithTheExpectedStepTimes) {
  EngineModel engine = make();
  RecordingCallbacks& answer = sink();
  const MonotonicTime start = clock_.monotonic_now();
  ASSERT_FALSE(engine.submit(request("a", std::string(400, 'x')), answer));
  clock_.run_for(seconds(5));
  ASSERT_TRUE(answer.result);
  EXPECT_EQ(answer.tokens, expected_answer_tokens("m", std::string(400, 'x'), 0));
  // 4 ms + one sequence + 100 prompt tokens, then 4.2 ms per token.
  EXPECT_EQ(answer.times[0] - start, microseconds(4000 + 200 + 2000));
  EXPECT_EQ(answer.times[1] - answer.times[0], microseconds(4200));
  EXPECT_EQ(engine.load().kv_blocks_used, 0U);
}

TEST_F(EngineModelTest, StepInProgressIsNotInterrupted) {
  EngineModel engine = make();
  RecordingCallbacks& batch = sink();
  RecordingCallbacks& online = sink();
  const MonotonicTime start = clock_.monotonic_now();
  engine.submit(request("b", std::string(4000, 'b'), EnginePriority::kBatch), batch);
  clock_.run_for(milliseconds(1));
  engine.submit(request("o", "hello"), online);
  engine.cancel("b");
  clock_.run_for(seconds(5));
  // The step with the cancelled prompt (4.2 ms + 1000 prompt tokens) still completes first.
  EXPECT_EQ(online.times[0] - start, microseconds(24'200 + 4'240));
  EXPECT_TRUE(batch.tokens.empty());
}

TEST_F(EngineModelTest, OnlinePreemptsBatchWhichIsPrefilledAgain) {
  EngineSettings settings;
  settings.max_running_sequences = 1;
  settings.prefix_cache = false;
  EngineModel engine = make(settings);
  RecordingCallbacks& batch = sink();
  RecordingCallbacks& online = sink();
  engine.submit(request("b", std::string(400, 'b'), EnginePriority::kBatch), batch);
  clock_.run_for(milliseconds(20));
  const size_t before = batch.tokens.size();
  engine.submit(request("o", "hello"), online);
  clock_.run_for(seconds(5));
  EXPECT_EQ(engine.counters().preemptions, 1U);
  EXPECT_EQ(engine.counters().batch_prompt_tokens, 100 + 100 + before + 1);
  EXPECT_EQ(batch.tokens, expected_answer_tokens("m", std::string(400, 'b'), 0));
  EXPECT_EQ(online.tokens, expected_answer_tokens("m", "hello", 0));
}

TEST_F(EngineModelTest, CachedPrefixIsNotPrefilledAgain) {
  EngineModel engine = make();
  const std::string shared(640, 'p');
  engine.submit(request("a", shared + "one"), sink());
  clock_.run_for(seconds(2));
  RecordingCallbacks& second = sink();
  engine.submit(request("b", shared + "two"), second);
  clock_.run_for(seconds(2));
  EXPECT_EQ(second.result->cached_prompt_tokens, 160U);
  EXPECT_EQ(engine.counters().online_prompt_tokens, 161U + 1U);
}

TEST_F(EngineModelTest, CacheIsBoundedAndManySequencesFinish) {
  EngineSettings settings;
  settings.total_blocks = 40;
  EngineModel engine = make(settings);
  std::vector<RecordingCallbacks*> answers;
  for (int index = 0; index < 40; ++index) {
    answers.push_back(&sink());
    const auto priority = index % 2 == 0 ? EnginePriority::kOnline : EnginePriority::kBatch;
    engine.submit(
        request(std::to_string(index), std::string(200, static_cast<char>('0' + index)), priority),
        *answers.back());
  }
  clock_.run_for(seconds(60));
  for (int index = 0; index < 40; ++index) {
    const std::string prompt(200, static_cast<char>('0' + index));
    EXPECT_EQ(answers[index]->tokens, expected_answer_tokens("m", prompt, 0));
  }
  EXPECT_GT(engine.counters().preemptions, 0U);
  EXPECT_EQ(engine.load().kv_blocks_used, 0U);
}

TEST_F(EngineModelTest, ResumedAnswerContinuesAfterTheLastToken) {
  EngineModel engine = make();
  const std::vector<std::string> whole = expected_answer_tokens("m", "question", 0);
  GenerateRequest resumed = request("r", "question");
  resumed.resumed_tokens.assign(whole.begin(), whole.begin() + 5);
  RecordingCallbacks& answer = sink();
  answer.first_index = 5;
  engine.submit(resumed, answer);
  clock_.run_for(seconds(5));
  EXPECT_EQ(answer.tokens, std::vector<std::string>(whole.begin() + 5, whole.end()));
  EXPECT_EQ(answer.result->completion_tokens, whole.size());
}

TEST_F(EngineModelTest, ResumedCompleteAnswerGetsOnlyItsEndMarker) {
  EngineModel engine = make();
  const std::vector<std::string> whole = expected_answer_tokens("m", "question", 0);
  GenerateRequest resumed = request("r", "question");
  resumed.resumed_tokens = whole;
  RecordingCallbacks& answer = sink();
  answer.first_index = static_cast<uint32_t>(whole.size());
  engine.submit(resumed, answer);
  clock_.run_for(seconds(5));
  ASSERT_TRUE(answer.result);
  EXPECT_TRUE(answer.tokens.empty());
  EXPECT_EQ(answer.result->completion_tokens, whole.size());
}

TEST_F(EngineModelTest, KilledEngineAbortsStreamsAndRefusesUntilRestart) {
  EngineModel engine = make();
  RecordingCallbacks& answer = sink();
  engine.submit(request("a", "hello"), answer);
  clock_.run_for(milliseconds(10));
  engine.kill();
  clock_.run_for(seconds(1));
  ASSERT_TRUE(answer.error);
  EXPECT_EQ(answer.error->ran, Ran::kUnknown);
  EXPECT_EQ(engine.submit(request("b", "hello"), answer)->ran, Ran::kNo);
  engine.restart();
  EXPECT_EQ(engine.load().incarnation, 2U);
  EXPECT_FALSE(engine.submit(request("c", "hello"), sink()));
}

TEST_F(EngineModelTest, FrozenEngineContinuesWhenUnfrozen) {
  EngineModel engine = make();
  RecordingCallbacks& answer = sink();
  engine.submit(request("a", "hello"), answer);
  engine.set_frozen(true);
  clock_.run_for(seconds(3));
  EXPECT_TRUE(answer.tokens.empty());
  engine.set_frozen(false);
  clock_.run_for(seconds(3));
  EXPECT_EQ(answer.tokens, expected_answer_tokens("m", "hello", 0));
}

TEST_F(EngineModelTest, TruncatedAndLateStreams) {
  EngineModel engine = make();
  engine.faults().truncate_probability = 1;
  engine.faults().late_probability = 1;
  engine.faults().late_delay = seconds(2);
  RecordingCallbacks& broken = sink();
  engine.submit(request("a", "hello"), broken);
  clock_.run_for(seconds(2));
  EXPECT_TRUE(broken.tokens.empty());
  clock_.run_for(seconds(5));
  ASSERT_TRUE(broken.error);
  EXPECT_FALSE(broken.result);
  EXPECT_LE(broken.tokens.size(), expected_answer_tokens("m", "hello", 0).size());
}

TEST_F(EngineModelTest, OlderOrderIsRefused) {
  EngineModel engine = make();
  EngineOrder order;
  order.fence = 5;
  order.kind = EngineOrderKind::kLeave;
  EXPECT_FALSE(engine.apply_order(order));
  EXPECT_EQ(engine.submit(request("a", "hello"), sink())->kind, ErrorKind::kDraining);
  order.fence = 4;
  order.kind = EngineOrderKind::kStay;
  EXPECT_EQ(engine.apply_order(order)->kind, ErrorKind::kConflict);
  EXPECT_TRUE(engine.load().leaving);
}

TEST_F(EngineModelTest, ReportedLoadLags) {
  EngineModel engine = make();
  clock_.run_for(seconds(1));
  engine.submit(request("a", std::string(4000, 'x')), sink());
  clock_.run_for(milliseconds(50));
  EXPECT_EQ(engine.load().running_online, 1U);
  EXPECT_EQ(engine.reported_load().running_online, 0U);
  clock_.run_for(milliseconds(180));
  EXPECT_EQ(engine.reported_load().running_online, 1U);
}

}  // namespace
}  // namespace chalkshed
