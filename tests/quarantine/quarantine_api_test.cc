/** \file
 * Operators list what is suspect or held, and release it at all nodes by asking one. */

#include <gtest/gtest.h>

#include "chalkshed/quarantine_api.h"
#include "chalkshed/quarantine_rows.h"
#include "tests/quarantine/crashing_fleet.h"

namespace chalkshed {
namespace {

constexpr const char *kFatal = "ends its worker";
constexpr const char *kPath = "/fixed/1";

SeenAnswer ask(ending_fleet &fleet, const std::string &method, const std::string &path,
               const std::string &from = "127.0.0.1") {
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.peer.ip = from;
    auto seen = std::make_shared<SeenAnswer>();
    fleet.cluster.node("n0").operator_handler().handle(std::move(request),
                                                       std::make_unique<FakeWriter>(seen));
    return *seen;
}

void let_it_be_held(ending_fleet &fleet) {
    fleet.fatal = {kFatal};
    while (fleet.held.empty()) {
        fleet.send(fleet.any_node(), kPath, kFatal);
        fleet.run_for(milliseconds(300));
    }
    fleet.run_for(seconds(2));
}

const std::string kContent = digest_text(ending_fleet::digest_of(kPath, kFatal));

TEST(QuarantineApi, ListsWhatIsHeldWithItsNextTrial) {
    ending_fleet fleet;
    EXPECT_EQ(nlohmann::json::parse(ask(fleet, "GET", "/admin/quarantine").body),
              nlohmann::json::parse(R"({"contents": []})"));
    let_it_be_held(fleet);
    const SeenAnswer answer = ask(fleet, "GET", "/admin/quarantine", "10.9.9.9");
    EXPECT_EQ(answer.status, 200);
    const nlohmann::json contents = nlohmann::json::parse(answer.body).at("contents");
    ASSERT_EQ(contents.size(), 1U);
    EXPECT_EQ(contents[0].at("content"), kContent);
    EXPECT_TRUE(contents[0].at("held").get<bool>());
    EXPECT_GE(contents[0].at("workers_ended").get<int>(), 3);
    EXPECT_GT(contents[0].at("next_trial_ms").get<int>(), 0);
}

TEST(QuarantineApi, AReleaseAtOneNodeHoldsAtAllAndForNewOnes) {
    ending_fleet fleet;
    let_it_be_held(fleet);
    fleet.fatal.clear();
    EXPECT_EQ(ask(fleet, "POST", "/admin/quarantine/" + kContent + "/release").status, 200);
    fleet.run_for(seconds(2));
    for (const std::string node : {"n0", "n1", "n2"}) {
        EXPECT_EQ(fleet.cluster.node(node).quarantine().evidence().ends(
                      ending_fleet::digest_of(kPath, kFatal)),
                  0U)
            << node;
    }
    EXPECT_TRUE(fleet.cluster.shared.rows.read({kQuarantineTable, "", "", ""}).rows.empty());
    const SeenAnswerPtr answer = fleet.send("n1", kPath, kFatal);
    fleet.run_for(seconds(1));
    EXPECT_EQ(answer->status, 200);
}

TEST(QuarantineApi, RefusesOtherMachinesAndUnknownContents) {
    ending_fleet fleet;
    let_it_be_held(fleet);
    const std::string release = "/admin/quarantine/" + kContent + "/release";
    EXPECT_EQ(ask(fleet, "POST", release, "10.9.9.9").status, 401);
    EXPECT_EQ(ask(fleet, "GET", release).status, 404);
    EXPECT_EQ(ask(fleet, "POST", "/admin/quarantine/00000000000000ab/release").status, 404);
    EXPECT_EQ(ask(fleet, "POST", "/admin/quarantine/zz/release").status, 404);
    EXPECT_EQ(ask(fleet, "POST", "/admin/quarantine/release").status, 404);
    EXPECT_EQ(ask(fleet, "GET", "/admin/other").status, 404);
    EXPECT_EQ(fleet.cluster.node("n0").quarantine().evidence().all_quarantined().size(), 1U);
}

} // namespace
} // namespace chalkshed
