#include "standins/engine_standin.h"

#include <gtest/gtest.h>

#include <future>
#include <nlohmann/json.hpp>
#include <thread>

#include "fireflyslip/core/digest.h"
#include "standin_client.h"

namespace fireflyslip::standins {
namespace {

using nlohmann::json;

class engine_standin_test : public testing::Test {
 protected:
  static engine_options Options() {
    engine_options options;
    options.token_ms = 5;
    options.check_fencing = true;
    options.refused_version = "bad";
    options.model = "cue";
    options.version = "v1";
    return options;
  }

  unsigned Stage(const std::string& bytes) {
    return client_.Status("PUT", "/staging/chunks/" + digest::Of(bytes).ToHex(),
                          bytes);
  }

  // Sends an order to load a version that consists of one chunk.
  unsigned Load(const std::string& version,
                const std::string& bytes,
                int fence) {
    json chunks = json::array();
    chunks.push_back(
        {{"digest", digest::Of(bytes).ToHex()}, {"size", bytes.size()}});
    const json manifest = {{"model", "cue"},
                           {"version", version},
                           {"size", bytes.size()},
                           {"chunks", chunks}};
    const json order = {{"kind", "load"},
                        {"model", "cue"},
                        {"version", version},
                        {"fence", fence},
                        {"manifest", manifest}};
    return client_.Status("POST", "/orders", order.dump());
  }

  std::optional<standin_client::response> Complete(
      const std::string& id,
      int max_tokens,
      bool stream = false,
      standin_client::headers fields = {}) {
    json message = {{"role", "user"}, {"content", "hello"}};
    const json body = {{"model", "cue"},
                       {"messages", json::array({message})},
                       {"max_tokens", max_tokens},
                       {"stream", stream}};
    fields["X-Request-Id"] = id;
    return client_.Send("POST", "/v1/chat/completions", body.dump(), fields);
  }

  json Get(const std::string& target) {
    return json::parse(client_.Send("GET", target)->body());
  }

  void WaitUntilStarted(const std::string& id) {
    while (!Get("/control/executions").contains(id)) {
      std::this_thread::yield();
    }
  }

  engine_standin engine_{Options()};
  standin_host host_{engine_};
  standin_client client_{host_.port()};
};

// Guards against loading incomplete weights. The loaded version must remain.
TEST_F(engine_standin_test, Load_MissingChunk_KeepsOldVersion) {
  EXPECT_EQ(Load("v2", "weights", 1), 422);
  EXPECT_EQ(client_.Status(
                "PUT", "/staging/chunks/" + digest::Of("weights").ToHex(), "x"),
            422);
  EXPECT_EQ(Load("v2", "weights", 1), 422);
  EXPECT_EQ(Get("/state")["version"], "v1");
  ASSERT_EQ(Stage("weights"), 200);
  EXPECT_EQ(Load("bad", "weights", 1), 422);
  EXPECT_EQ(Load("v2", "weights", 1), 200);
  EXPECT_EQ(Get("/state")["version"], "v2");
}

// Guards against applying an order from an agent that has been replaced.
TEST_F(engine_standin_test, Load_StaleFence_IsRefused) {
  ASSERT_EQ(Stage("weights"), 200);
  EXPECT_EQ(Load("v3", "weights", 7), 200);
  EXPECT_EQ(Load("v2", "weights", 6), 409);
  EXPECT_EQ(Get("/state")["version"], "v3");
  const json orders = Get("/control/orders");
  ASSERT_EQ(orders.size(), 2);
  EXPECT_EQ(orders[1]["fence"], 6);
  EXPECT_EQ(orders[1]["answer"], 409);
}

// Guards against a response that mixes parts of two versions.
TEST_F(engine_standin_test, Load_RequestInProgress_FinishesOnOldVersion) {
  constexpr int kTokens = 40;
  ASSERT_EQ(Stage("weights"), 200);
  auto running = std::async(std::launch::async,
                            [&] { return Complete("r1", kTokens, true); });
  WaitUntilStarted("r1");
  EXPECT_EQ(Load("v2", "weights", 1), 200);
  const std::string text = running.get()->body();
  std::size_t parts = 0;
  for (std::size_t at = text.find("\"system_fingerprint\":\"v1\"");
       at != std::string::npos;
       at = text.find("\"system_fingerprint\":\"v1\"", at + 1)) {
    ++parts;
  }
  EXPECT_EQ(parts, kTokens);
  EXPECT_EQ(text.find("v2"), std::string::npos);
  EXPECT_TRUE(text.ends_with("data: [DONE]\n\n"));
  EXPECT_EQ(json::parse(Complete("r2", 1)->body())["system_fingerprint"], "v2");
}

// Guards against a resumed response that repeats or skips a token, or that
// continues with another version.
TEST_F(engine_standin_test, Complete_Resumed_ContinuesAtOffset) {
  const json whole = json::parse(Complete("r1", 3)->body());
  const std::string text = whole["choices"][0]["message"]["content"];
  const json rest = json::parse(
      Complete("r1", 3, false,
               {{"X-Resume-Offset", "2"}, {"X-Resume-Version", "v1"}})
          ->body());
  EXPECT_EQ(rest["choices"][0]["message"]["content"],
            engine_standin::Token("hello\n", 2));
  EXPECT_TRUE(text.ends_with(engine_standin::Token("hello\n", 2)));
  EXPECT_EQ(
      Complete("r1", 3, false, {{"X-Resume-Version", "v0"}})->result_int(),
      409);
  EXPECT_EQ(Get("/control/executions")["r1"], 2);
}

// Guards against a slot leak when a request is cancelled.
TEST_F(engine_standin_test, Cancel_RunningRequest_FreesSlot) {
  auto running =
      std::async(std::launch::async, [&] { return Complete("r1", 1'000'000); });
  WaitUntilStarted("r1");
  EXPECT_EQ(client_.Status("POST", "/cancel/r1"), 200);
  EXPECT_EQ(running.get()->result_int(), 499);
  EXPECT_EQ(Get("/state")["running"], 0);
  EXPECT_EQ(client_.Status("POST", "/cancel/r1"), 404);
}

}  // namespace
}  // namespace fireflyslip::standins
