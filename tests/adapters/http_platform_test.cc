#include "src/adapters/http_platform.h"

#include <gtest/gtest.h>

#include "src/adapters/error_codec.h"
#include "src/adapters/platform_codec.h"

namespace chalkshed {
namespace {

// Completes every call with one prepared response.
class PreparedHttpClient : public HttpClient {
 public:
  HttpCallPtr send(const Address&, const HttpRequest&, const HttpCallOptions&,
                   HttpCallCallbacks&) override {
    return nullptr;
  }
  void fetch(const Address&, const HttpRequest& request, const HttpCallOptions& options,
             Callback<HttpResponse> callback) override {
    last_request = request;
    last_options = options;
    callback(response);
  }

  HttpRequest last_request;
  HttpCallOptions last_options;
  Expected<HttpResponse> response;
};

class HttpTableStoreTest : public testing::Test {
 protected:
  std::optional<Expected<CommitResult>> commit(Expected<HttpResponse> response) {
    client_.response = std::move(response);
    std::optional<Expected<CommitResult>> result;
    Transaction transaction;
    transaction.writes.push_back({{"t", "k"}, "v"});
    store_.commit(transaction, [&](Expected<CommitResult> answer) { result = std::move(answer); });
    return result;
  }

  PreparedHttpClient client_;
  HttpTableStore store_{client_, {}};
};

TEST_F(HttpTableStoreTest, LostResponseToACommitIsAnUnknownOutcome) {
  const auto lost = tl::unexpected(maybe_run(ErrorKind::kUpstreamFailed, "closed", ""));
  const auto result = commit(lost);
  EXPECT_EQ(result->error().kind, ErrorKind::kOutcomeUnknown);
  EXPECT_EQ(result->error().ran, Ran::kUnknown);
}

// On a kept connection, the second copy of an earlier answer would accept a claim that another node
// holds.
TEST_F(HttpTableStoreTest, AChangeIsAnsweredOnItsOwnConnection) {
  CommitResult committed;
  committed.committed = true;
  HttpResponse response;
  response.body = encode_commit_result(committed);
  EXPECT_TRUE(commit(response)->value().committed);
  EXPECT_TRUE(client_.last_options.own_connection);
}

TEST_F(HttpTableStoreTest, UnreachableStoreChangedNothing) {
  const auto result = commit(tl::unexpected(not_run(ErrorKind::kUnavailable, "refused", "")));
  EXPECT_EQ(result->error().kind, ErrorKind::kStoreUnavailable);
  EXPECT_EQ(result->error().ran, Ran::kNo);
}

TEST_F(HttpTableStoreTest, MalformedResponsesAreAnUnknownOutcome) {
  HttpResponse garbled;
  garbled.body = "{\"committed\":tr";
  EXPECT_EQ(commit(garbled)->error().kind, ErrorKind::kOutcomeUnknown);
  garbled.status = 500;
  EXPECT_EQ(commit(garbled)->error().kind, ErrorKind::kOutcomeUnknown);
}

TEST_F(HttpTableStoreTest, RateLimitKeepsItsRetryTime) {
  Error limited = not_run(ErrorKind::kStoreUnavailable, "rate limit", "later");
  limited.retry_after = std::chrono::milliseconds(35);
  const auto result = commit(encode_error(limited));
  EXPECT_EQ(result->error().ran, Ran::kNo);
  EXPECT_EQ(result->error().retry_after, std::chrono::milliseconds(35));
}

TEST(PlatformCodecTest, AnyBytesAreUnchangedByARoundTrip) {
  std::string bytes;
  for (int byte = 0; byte < 256; ++byte) {
    bytes.push_back(static_cast<char>(byte));
  }
  Transaction transaction;
  transaction.conditions.push_back({{"t", bytes}, 7});
  transaction.writes.push_back({{"t", "k"}, bytes});
  transaction.writes.push_back({{"t", "gone"}, std::nullopt});
  const Expected<Transaction> read = decode_transaction(encode_transaction(transaction));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->conditions.at(0).key.key, bytes);
  EXPECT_EQ(read->writes.at(0).value, bytes);
  EXPECT_EQ(read->writes.at(1).value, std::nullopt);
  EXPECT_EQ(decode_object_path(encode_object_path(bytes)), bytes);
}

TEST(PlatformCodecTest, MachinesAreUnchangedByARoundTrip) {
  Machine machine;
  machine.id = "w1";
  machine.role = MachineRole::kWorker;
  machine.state = MachineState::kLeaving;
  machine.address = {"127.0.0.1", 22001};
  machine.incarnation = 3;
  const Expected<MachineListSnapshot> read = decode_machine_list(encode_machine_list({{machine}}));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->machines.at(0).id, "w1");
  EXPECT_EQ(read->machines.at(0).role, MachineRole::kWorker);
  EXPECT_EQ(read->machines.at(0).state, MachineState::kLeaving);
  EXPECT_EQ(read->machines.at(0).address, machine.address);
  EXPECT_EQ(read->machines.at(0).incarnation, 3U);
}

}  // namespace
}  // namespace chalkshed
