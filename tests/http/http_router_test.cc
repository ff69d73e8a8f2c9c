#include "src/http/http_router.h"

#include <gtest/gtest.h>

#include "tests/http/loopback.h"

namespace chalkshed {
namespace {

// Records the status of the response.
class StatusWriter : public ResponseWriter {
 public:
  explicit StatusWriter(int& status) : status_(status) {}
  void start(int status, const HttpHeaders& /*headers*/) override { status_ = status; }
  void write(std::string_view /*chunk*/) override {}
  void finish() override {}
  void respond(const HttpResponse& response) override { status_ = response.status; }
  void abort() override {}
  size_t buffered_bytes() const override { return 0; }
  void set_on_closed(std::function<void()> /*callback*/) override {}

 private:
  int& status_;
};

int status_of(HttpHandler& handler, const std::string& path) {
  int received = 0;
  handler.handle(get(path), std::make_unique<StatusWriter>(received));
  return received;
}

FunctionHandler responding_with(int status) {
  return FunctionHandler([status](const HttpRequest&, const ResponseWriterPtr& writer) {
    writer->respond({status, {}, ""});
  });
}

TEST(HttpRouterTest, LongestWholePrefixWins) {
  FunctionHandler general = responding_with(201);
  FunctionHandler special = responding_with(202);
  HttpRouter router;
  router.add("/v1", general);
  router.add("/v1/batches", special);
  EXPECT_EQ(status_of(router, "/v1/batches"), 202);
  EXPECT_EQ(status_of(router, "/v1/batches/b/output"), 202);
  EXPECT_EQ(status_of(router, "/v1/batchesque"), 201);
  EXPECT_EQ(status_of(router, "/v1/"), 201);
  EXPECT_EQ(status_of(router, "/v2"), 404);
  EXPECT_EQ(status_of(router, "/"), 404);
}

TEST(HttpRouterTest, EmptyPrefixMatchesAllOtherPaths) {
  FunctionHandler rest = responding_with(201);
  HttpRouter router;
  router.add("", rest);
  EXPECT_EQ(status_of(router, "/anything"), 201);
}

}  // namespace
}  // namespace chalkshed
