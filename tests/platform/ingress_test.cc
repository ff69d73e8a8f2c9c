// The complete adapter over loopback sockets: a node of the platform, its store and a worker,
// called through the callers' interface.
#include "platform/ingress.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "platform/header_names.h"
#include "platform/record_codec.h"
#include "platform/store_client.h"
#include "src/event/event_datagram_transport.h"
#include "src/event/system_time_source.h"
#include "src/http/connection_headers.h"
#include "src/http/event_http_client.h"
#include "tests/http/loopback.h"
#include "tests/platform/store_stand_in.h"

namespace chalkshed::platform {
namespace {

// A worker that echoes bodies on plain paths and streams three events on others.
class FakeWorker : public HttpHandler {
 public:
  explicit FakeWorker(EventDispatcher& dispatcher) : server(dispatcher, {"127.0.0.1", 0}, *this) {}
  void handle(HttpRequest request, ResponseWriterPtr writer) override {
    requests.push_back(request);
    const std::string id(find_header(request.headers, kRequestId).value_or(""));
    if (find_header(request.headers, kExpectInstance) != incarnation) {
      writer->respond({421, {{kRequestId, id}, {"Chalkshed-Instance-Id", incarnation}}, ""});
      return;
    }
    const HttpHeaders head = {{kRequestId, id}, {kSignature, "sig"}, {kServerLoad, "1,0,8"}};
    if (request.path.starts_with("/plain/")) {
      writer->respond({200, head, request.body});
      return;
    }
    HttpHeaders stream = head;
    stream.push_back({"Content-Type", "text/event-stream"});
    writer->start(200, stream);
    for (const char* event : {"id: 1\ndata: a\n\n", "id: 2\ndata: b\n", "\nid: 3\ndata: c\n\n"}) {
      writer->write(event);
    }
    writer->finish();
  }

  std::string incarnation = "i-1";
  std::vector<HttpRequest> requests;
  HttpServer server;
};

class IngressTest : public testing::Test {
 protected:
  IngressTest() {
    put_worker("i-1");
    put_configuration(1, "/plain/");
    node.start();
    EXPECT_TRUE(run_until(dispatcher, [&] { return node.not_ready_reason() == nullptr; }));
  }
  void put_worker(const std::string& id) {
    store.put(kWorkerTable, id,
              nlohmann::json{{"service", "s"},
                             {"address", to_string(worker.server.local())},
                             {"zone", "zone-a"},
                             {"slots", 8},
                             {"state", "ready"}}
                  .dump());
  }
  // @param tenants null: the configuration has no tenants.
  void put_configuration(uint64_t version, const std::string& plain_prefix,
                         const nlohmann::json& tenants = nullptr) {
    const nlohmann::json base = {{"host", "a.example"},
                                 {"service", "s"},
                                 {"attempts", 2},
                                 {"timeout_ms", 4000},
                                 {"target_ms", 300}};
    nlohmann::json plain = base;
    plain.update({{"name", "p"}, {"path_prefix", plain_prefix}, {"kind", "idempotent"}});
    nlohmann::json stream = base;
    stream.update({{"name", "t"}, {"path_prefix", "/stream/"}, {"kind", "streaming"}});
    nlohmann::json batch = base;
    batch.update({{"name", "b"}, {"path_prefix", "/batch/"}, {"kind", "batch"}});
    nlohmann::json configuration = {{"version", version},
                                    {"routes", {plain, stream, batch}},
                                    {"services", {{{"name", "s"}, {"max_conns", 100}}}}};
    if (!tenants.is_null()) {
      configuration["tenants"] = tenants;
    }
    store.put(kOperatorTable, kConfigurationKey, configuration.dump());
  }
  void put_tenants(uint64_t version, const nlohmann::json& tenants) {
    put_configuration(version, "/plain/", tenants);
    ASSERT_TRUE(run_until(dispatcher, [&] { return node.routes()->version() == version; }));
  }
  HttpResponse call(const std::string& method, const std::string& path,
                    const std::string& body = "", const std::string& id = "r1",
                    const std::string& query = "") {
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.query = query;
    request.body = body;
    request.headers = {{kRequestId, id}, {kDeadline, "3000"}, {"X-Own", "kept"}};
    if (!key.empty()) {
      request.headers.push_back({"authorization", "Bearer " + key});
      request.headers.push_back({"chalkshed-tenant", "somebody else"});
    }
    HttpCallOptions options;
    options.host = "a.example";
    std::optional<Expected<HttpResponse>> answer;
    caller.fetch(front.local(), request, options,
                 [&](const Expected<HttpResponse>& result) { answer = result; });
    EXPECT_TRUE(run_until(dispatcher, [&] { return answer.has_value(); }));
    return answer && *answer ? **answer : HttpResponse{0, {}, ""};
  }
  static std::string header(const HttpResponse& response, const char* name) {
    return std::string(find_header(response.headers, name).value_or(""));
  }

  const std::string small_job =
      R"({"requests": [{"id": "a", "path": "/batch/x", "headers":
          {"Authorization": "Bearer k1", "Chalkshed-Tenant": "ben"}, "body": "q83v"}]})";
  std::string key;  // sent with each call, unless empty

  EventDispatcher dispatcher;
  SystemTimeSource time_source;
  SeededRandomGenerator random{5};
  NullLogger logger;
  NullMetricsRegistry metrics;
  StoreStandIn store{dispatcher};
  FakeWorker worker{dispatcher};
  EventHttpClient store_client{dispatcher};
  EventHttpClient worker_client{dispatcher};
  EventHttpClient caller{dispatcher};
  EventDatagramTransport datagrams{dispatcher, {"127.0.0.1", 0}};
  RowClient rows{store_client, store.local()};
  ObjectClient objects{store_client, store.local()};
  RequestWire wire;
  JobWire job_wire;
  ServingNode node{{"n", "n#1", "z", datagrams.local()},
                   {time_source, dispatcher, random, rows, objects, worker_client, datagrams, wire,
                    job_wire, logger, metrics},
                   {kOperatorTable,
                    kConfigurationKey,
                    &decode_routes,
                    {kEvacuationPrefix, &check_evacuation},
                    kWorkerTable,
                    &decode_worker}};
  Ingress ingress{node, wire};
  Readiness readiness{node, metrics};
  HttpServer front{dispatcher, {"127.0.0.1", 0}, ingress};
};

TEST_F(IngressTest, ARequestReachesTheWorkerUnchangedAndItsAnswerIsReturned) {
  const std::string body("bytes \0 of any kind", 19);
  const HttpResponse answer = call("POST", "/plain/x", body, "r7", "q=1&r=%20");
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body, body);
  EXPECT_EQ(header(answer, kSignature), "sig");
  EXPECT_EQ(header(answer, kRequestId), "r7");
  ASSERT_EQ(worker.requests.size(), 1U);
  const HttpRequest& seen = worker.requests[0];
  EXPECT_EQ(seen.query, "q=1&r=%20");
  EXPECT_EQ(find_header(seen.headers, "Host"), "a.example");
  EXPECT_EQ(find_header(seen.headers, "X-Own"), "kept");
  EXPECT_EQ(find_header(seen.headers, kExpectInstance), "i-1");
  EXPECT_TRUE(find_header(seen.headers, kDeadline));
}

TEST_F(IngressTest, AStreamIsReturnedCompletely) {
  const HttpResponse answer = call("POST", "/stream/x");
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
}

TEST_F(IngressTest, ARequestToAnAddressOfAnotherWorkerIsNotRun) {
  worker.incarnation = "i-2";
  const HttpResponse answer = call("POST", "/plain/x");
  EXPECT_EQ(answer.status, 503);
  EXPECT_FALSE(header(answer, "Retry-After").empty());
  put_worker("i-2");
  ASSERT_TRUE(run_until(dispatcher, [&] { return node.workers().find("i-2") != nullptr; }));
  EXPECT_EQ(call("POST", "/plain/x").status, 200);
}

TEST_F(IngressTest, ANewConfigurationTakesEffectWithoutPolling) {
  EXPECT_EQ(call("POST", "/moved/x").status, 404);
  put_configuration(2, "/plain/moved/");
  ASSERT_TRUE(run_until(dispatcher, [&] { return node.routes()->version() == 2; }));
  EXPECT_EQ(call("POST", "/plain/moved/x").status, 200);
  EXPECT_EQ(call("POST", "/plain/x").status, 404);
}

TEST_F(IngressTest, AMalformedConfigurationLeavesTheLastOneActive) {
  store.put(kOperatorTable, kConfigurationKey, "{broken");
  put_worker("i-9");
  ASSERT_TRUE(run_until(dispatcher, [&] { return node.workers().find("i-9") != nullptr; }));
  EXPECT_EQ(call("POST", "/plain/x").status, 200);
}

TEST_F(IngressTest, AJobIsAcceptedReadAndEnded) {
  const std::string job = R"({"requests": [
      {"id": "a", "path": "/batch/x", "headers": {}, "body": "q83v", "tokens": 1},
      {"id": "b", "path": "/batch/x", "headers": {}, "body": "", "tokens": 1}]})";
  EXPECT_EQ(call("POST", "/batch/j", job, "j1").status, 202);
  EXPECT_EQ(call("POST", "/batch/j", job, "j1").status, 202);
  nlohmann::json page;
  ASSERT_TRUE(run_until(dispatcher, [&] {
    page = nlohmann::json::parse(call("GET", "/lots/j1", "", "q", "since_rev=0").body);
    return page["next_token"] == 2;
  }));
  EXPECT_EQ(page["total"], 2);
  EXPECT_EQ(page["results"][0]["state"], "completed");
  EXPECT_EQ(page["results"][0]["message"], "a\nb\nc");
  EXPECT_EQ(call("DELETE", "/lots/j1").status, 200);
  EXPECT_EQ(call("GET", "/lots/none").status, 404);
  EXPECT_EQ(call("POST", "/batch/j", "{broken", "j2").status, 400);
}

TEST_F(IngressTest, WithoutTheStoreOnlineRequestsAreServedAndJobsAreReportedAsNotRun) {
  store.status = 503;
  EXPECT_EQ(call("POST", "/plain/x").status, 200);
  EXPECT_EQ(call("GET", "/lots/j1").status, 503);
  const HttpResponse refused = call(
      "POST", "/batch/j", R"({"requests": [{"id": "a", "path": "/batch/x", "body": ""}]})", "j1");
  EXPECT_EQ(refused.status, 503);
  EXPECT_FALSE(header(refused, "Retry-After").empty());
  EXPECT_TRUE(store.rows.read({"job", "", "", "", 10}).rows.empty());
}

TEST_F(IngressTest, AWorkerSeesTheTenantAndNeverTheKey) {
  put_tenants(2, {{{"name", "ann"}, {"api_keys", {"k1"}}}});
  EXPECT_EQ(call("POST", "/plain/x").status, 401);
  key = "unknown";
  EXPECT_EQ(call("POST", "/plain/x").status, 401);
  EXPECT_EQ(call("POST", "/gone/x").status, 404);
  EXPECT_TRUE(worker.requests.empty());
  key = "k1";
  EXPECT_EQ(call("POST", "/plain/x").status, 200);
  ASSERT_EQ(worker.requests.size(), 1U);
  const HttpHeaders& seen = worker.requests[0].headers;
  EXPECT_FALSE(find_header(seen, kAuthorization));
  EXPECT_EQ(find_header(seen, kTenant), "ann");
  EXPECT_EQ(std::count_if(seen.begin(), seen.end(),
                          [](const HttpHeader& header) {
                            return lower_case(header.name) == lower_case(kTenant);
                          }),
            1);
}

TEST_F(IngressTest, WithoutTenantsHeadersAreForwardedUnchanged) {
  key = "k1";
  EXPECT_EQ(call("POST", "/plain/x").status, 200);
  ASSERT_EQ(worker.requests.size(), 1U);
  EXPECT_EQ(find_header(worker.requests[0].headers, kAuthorization), "Bearer k1");
}

TEST_F(IngressTest, ARevokedOrMovedKeyTakesEffectAtOnce) {
  put_tenants(2,
              {{{"name", "ann"}, {"api_keys", {"k1"}}}, {{"name", "ben"}, {"api_keys", {"k2"}}}});
  key = "k1";
  EXPECT_EQ(call("POST", "/plain/x").status, 200);
  put_tenants(3, {{{"name", "ben"}, {"api_keys", {"k1"}}}});
  EXPECT_EQ(call("POST", "/plain/x").status, 200);
  EXPECT_EQ(find_header(worker.requests.back().headers, kTenant), "ben");
  key = "k2";
  EXPECT_EQ(call("POST", "/plain/x").status, 401);
}

TEST_F(IngressTest, AJobIsVisibleToItsTenantOnly) {
  put_tenants(
      2, {{{"name", "ann"}, {"api_keys", {"k1", "k2"}}}, {{"name", "ben"}, {"api_keys", {"k3"}}}});
  EXPECT_EQ(call("POST", "/batch/j", small_job, "j1").status, 401);
  key = "k1";
  EXPECT_EQ(call("POST", "/batch/j", small_job, "j1").status, 202);
  ASSERT_TRUE(run_until(dispatcher, [&] { return worker.requests.size() == 1; }));
  EXPECT_EQ(find_header(worker.requests[0].headers, kTenant), "ann");
  EXPECT_FALSE(find_header(worker.requests[0].headers, kAuthorization));
  key = "k3";
  const HttpResponse others = call("GET", "/lots/j1");
  EXPECT_EQ(others.status, 404);
  EXPECT_EQ(others.body.size(), call("GET", "/lots/j2").body.size());
  EXPECT_EQ(call("GET", "/items/j1", "", "q", "id=a").status, 404);
  EXPECT_EQ(call("DELETE", "/lots/j1").status, 404);
  key = "";
  EXPECT_EQ(call("GET", "/lots/j1").status, 401);
  key = "k2";
  EXPECT_EQ(call("GET", "/lots/j1").status, 200) << "another key of the same tenant";
  EXPECT_EQ(call("DELETE", "/lots/j1").status, 200);
}

TEST_F(IngressTest, TwoTenantsMayUseOneIdForTheirJobs) {
  put_tenants(2,
              {{{"name", "ann"}, {"api_keys", {"k1"}}}, {{"name", "ben"}, {"api_keys", {"k3"}}}});
  for (const char* own : {"k1", "k3"}) {
    key = own;
    EXPECT_EQ(call("POST", "/batch/j", small_job, "j1").status, 202);
  }
  ASSERT_TRUE(run_until(dispatcher, [&] { return worker.requests.size() == 2; }));
  EXPECT_EQ(find_header(worker.requests[0].headers, kTenant), "ann");
  EXPECT_EQ(find_header(worker.requests[1].headers, kTenant), "ben");
}

TEST_F(IngressTest, RevokingAKeyEndsNoJob) {
  put_tenants(2, {{{"name", "ann"}, {"api_keys", {"k1"}}}});
  key = "k1";
  EXPECT_EQ(call("POST", "/batch/j", small_job, "j1").status, 202);
  put_tenants(3, {{{"name", "ann"}, {"api_keys", {"k9"}}}});
  EXPECT_EQ(call("GET", "/lots/j1").status, 401);
  key = "k9";
  ASSERT_TRUE(run_until(dispatcher, [&] {
    return nlohmann::json::parse(call("GET", "/lots/j1").body)["next_token"] == 1;
  }));
}

}  // namespace
}  // namespace chalkshed::platform
