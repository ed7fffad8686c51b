#include "program/agent_traffic.h"

#include <gtest/gtest.h>

#include <chrono>
#include <condition_variable>
#include <future>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <type_traits>
#include <vector>

#include "http/repeating_server.h"
#include "standins/engine_standin.h"
#include "standins/platform_standin.h"
#include "standins/service_standin.h"
#include "standins/standin_client.h"

namespace fireflyslip {
namespace {

using nlohmann::json;
using standins::standin_client;
using standins::standin_host;

// Exceeds the duration of any step by far, so that no test fails on a slow
// machine.
constexpr std::chrono::seconds kTimeout{60};

const service_name kService("rooms");
const model_name kModel("cue");

attempt_id MakeAttemptId(const std::string& entry, std::uint64_t sequence) {
  return {{vm_id(entry), 1, sequence}, 1};
}

attempt_message BookingAttempt(const attempt_id& id, const std::string& key) {
  attempt_message message;
  message.attempt = id;
  message.workspace = workspace_id("bar");
  message.deadline_ms = 120'000;
  message.service = kService;
  message.method = "POST";
  message.path = "/bookings";
  message.key = idempotency_key(key);
  message.non_idempotent = true;
  message.estimated_tokens = 1;
  return message;
}

attempt_message CompletionAttempt(const attempt_id& id, std::uint64_t tokens) {
  attempt_message message;
  message.attempt = id;
  message.workspace = workspace_id("bar");
  message.deadline_ms = 300'000;
  message.model = kModel;
  json user_message = {{"role", "user"}, {"content", "hello"}};
  message.body = json{
      {"model", "cue"},
      {"messages", json::array({user_message})},
      {"max_tokens",
       tokens}}.dump();
  message.estimated_tokens = tokens;
  message.fingerprint = ToString(id.request);
  return message;
}

snapshot_pointer MakeSnapshot(std::uint64_t revision,
                              const std::vector<std::string>& replicas) {
  configuration_parts parts;
  parts.workspaces[workspace_id("bar")].ranks.fill(
      {milliseconds(500), seconds(10), 0});
  parts.services[kService].non_idempotent = {{"POST", "/bookings"}};
  parts.models[kModel] = {};
  for (const std::string& replica : replicas) {
    parts.upstreams[upstream_id(replica)].service = kService;
  }
  parts.upstreams[upstream_id("m1")].model = kModel;
  auto snapshot = std::make_shared<fleet_snapshot>();
  snapshot->revision = revision;
  snapshot->configuration = configuration(parts);
  return snapshot;
}

// The `agent_traffic` of an agent on its own thread, without links.
class test_agent {
 public:
  explicit test_agent(const process_settings& settings)
      : process_(settings),
        traffic_(thread_, process_, [this](const vm_id&, link_message sent) {
          const std::lock_guard lock(mutex_);
          sent_.push_back(std::move(sent));
          changed_.notify_all();
        }) {
    thread_.Start();
    for (const char* entry : {"e1", "e2"}) {
      Call([entry](agent_traffic& traffic) {
        hello_message hello;
        hello.vm = vm_id(entry);
        hello.role = "entry";
        hello.incarnation = 1;
        traffic.OnPeerConnected(hello);
      });
    }
  }
  // Stops the thread before the objects that its handlers use are destroyed.
  ~test_agent() { thread_.Stop(); }

  // Calls a function on the traffic thread and returns its result.
  template <typename Function,
            typename Result = std::invoke_result_t<Function, agent_traffic&>>
  Result Call(Function function) {
    std::packaged_task<Result()> task(
        [this, &function] { return function(traffic_); });
    std::future<Result> done = task.get_future();
    thread_.Post([&task] { task(); });
    return done.get();
  }
  void Receive(const link_message& message) {
    const vm_id entry = std::visit(
        [](const auto& typed_message) {
          if constexpr (requires { typed_message.attempt.request.vm; }) {
            return typed_message.attempt.request.vm;
          } else {
            return vm_id();
          }
        },
        message);
    Call([&](agent_traffic& traffic) { traffic.OnMessage(entry, message); });
  }
  void Publish(const snapshot_pointer& snapshot) {
    Call([&](agent_traffic& traffic) { traffic.OnSnapshot(snapshot); });
  }

  // Waits for a number of messages of one kind and returns all of them.
  template <typename Message>
  std::vector<Message> Await(std::size_t count) {
    std::unique_lock lock(mutex_);
    std::vector<Message> found;
    const bool complete = changed_.wait_for(lock, kTimeout, [&] {
      found.clear();
      for (const link_message& sent : sent_) {
        if (const auto* match = std::get_if<Message>(&sent)) {
          found.push_back(*match);
        }
      }
      return found.size() >= count;
    });
    EXPECT_TRUE(complete) << "messages: " << found.size();
    found.resize(std::max(found.size(), count));
    return found;
  }
  answer_end_message AwaitEnd(std::size_t count = 1) {
    return Await<answer_end_message>(count).at(count - 1);
  }
  void AwaitEvent(event_kind kind, std::size_t count = 1) {
    const auto deadline = std::chrono::steady_clock::now() + kTimeout;
    while (CountEvents(kind) < count) {
      ASSERT_LT(std::chrono::steady_clock::now(), deadline) << ToString(kind);
      std::this_thread::sleep_for(milliseconds(2));
    }
  }

 private:
  std::size_t CountEvents(event_kind kind) {
    std::size_t count = 0;
    for (const event_record& record :
         process_.events().Since(0, 100'000).records) {
      count += record.kind == kind ? 1 : 0;
    }
    return count;
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<link_message> sent_;
  process_context process_;
  io_thread thread_;
  agent_traffic traffic_;
};

class agent_traffic_test : public testing::Test {
 protected:
  process_settings Settings(const std::string& vm, std::uint16_t upstream) {
    process_settings settings;
    settings.role = process_role::kAgent;
    settings.vm = vm_id(vm);
    settings.upstream = endpoint{"127.0.0.1", upstream};
    settings.platform = endpoint{"127.0.0.1", platform_host_.port()};
    settings.upstream_slots = 128;
    return settings;
  }
  process_settings ServiceSettings() {
    return Settings("a1", service_host_.port());
  }
  // Makes the agent the owner of all journals of the service.
  static void TakeOverJournals(test_agent& agent, std::uint64_t revision = 1) {
    agent.Publish(MakeSnapshot(revision, {"a1"}));
    agent.AwaitEvent(event_kind::kJournalTakenOver, kJournalSlots);
  }
  void ControlPlatform(const char* settings) {
    ASSERT_EQ(standin_client(platform_host_.port())
                  .Status("POST", "/control", settings),
              200);
  }
  static json Get(std::uint16_t port, const std::string& target) {
    return json::parse(standin_client(port).Send("GET", target)->body());
  }
  std::uint64_t Executions() {
    return Get(service_host_.port(), "/control/executions")["total"];
  }
  std::uint64_t PlatformWrites() {
    return Get(platform_host_.port(), "/control/counters")["writes"];
  }

  standins::platform_standin platform_;
  standin_host platform_host_{platform_};
  standins::service_standin service_{milliseconds(50)};
  standin_host service_host_{service_};
};

// Guards against a second execution of a booking that is sent again with the
// same key by another entry, or whose attempt arrives twice.
TEST_F(agent_traffic_test, Booking_DuplicateFromOtherEntry_RunsOnce) {
  test_agent agent(ServiceSettings());
  TakeOverJournals(agent);
  agent.Receive(BookingAttempt(MakeAttemptId("e1", 1), "k"));
  agent.Receive(BookingAttempt(MakeAttemptId("e1", 1), "k"));
  agent.Receive(BookingAttempt(MakeAttemptId("e2", 1), "k"));
  agent.AwaitEnd(2);
  agent.Receive(BookingAttempt(MakeAttemptId("e2", 2), "k"));
  const auto ends = agent.Await<answer_end_message>(3);
  const auto parts = agent.Await<answer_part_message>(3);
  ASSERT_EQ(ends.size(), 3);
  for (std::size_t i = 0; i < ends.size(); ++i) {
    EXPECT_FALSE(ends[i].failed) << ends[i].detail;
    EXPECT_EQ(ends[i].content_type, "application/json");
    EXPECT_EQ(parts[i].data, parts[0].data);
  }
  EXPECT_EQ(Executions(), 1);
}

// Guards against a claim that is written twice or lost when the response of the
// platform is lost after the update took effect.
TEST_F(agent_traffic_test, Booking_LostPlatformAnswer_RunsOnce) {
  test_agent agent(ServiceSettings());
  TakeOverJournals(agent);
  ControlPlatform(R"({"lose_answers":1})");
  agent.Receive(BookingAttempt(MakeAttemptId("e1", 1), "k"));
  EXPECT_FALSE(agent.AwaitEnd().failed);
  EXPECT_EQ(Executions(), 1);
}

// Guards against a booking that runs although its claim could not be written.
TEST_F(agent_traffic_test, Booking_PlatformOutage_IsNotRun) {
  test_agent agent(ServiceSettings());
  TakeOverJournals(agent);
  ControlPlatform(R"({"outage":true})");
  agent.Receive(BookingAttempt(MakeAttemptId("e1", 1), "k"));
  const answer_end_message end = agent.AwaitEnd();
  EXPECT_EQ(end.problem, error_kind::kPlatformUnavailable);
  EXPECT_EQ(end.conclusion, outcome::kNotRun);
  EXPECT_EQ(Executions(), 0);
}

// Guards against a booking that runs and is answered and recorded with the
// refusal or the answer of an earlier one, which the service repeats.
TEST_F(agent_traffic_test, Booking_EarlierAnswerRepeated_OwnAnswerReturned) {
  constexpr int kRefused = 503;
  io_thread service_thread;
  int served = 0;
  repeating_server service(
      service_thread.context(), 200, [&](const http_request& request) {
        return http_response{served++ == 0 ? kRefused : 200,
                             {},
                             std::string(request.Field("Idempotency-Key"))};
      });
  service_thread.Start();
  {
    test_agent agent(Settings("a1", service.endpoint().port));
    TakeOverJournals(agent);
    const std::vector<std::string> keys = {"refused", "first", "second"};
    for (std::size_t i = 0; i < keys.size(); ++i) {
      agent.Receive(BookingAttempt(MakeAttemptId("e1", i), keys[i]));
      const answer_end_message end = agent.AwaitEnd(i + 1);
      EXPECT_EQ(end.http_status, i == 0 ? kRefused : 200) << keys[i];
      EXPECT_EQ(agent.Await<answer_part_message>(i + 1)[i].data, keys[i]);
    }
  }
  service_thread.Stop();
  EXPECT_EQ(served, 3);
}

// Guards against two agents of the same upstream that both run bookings.
TEST_F(agent_traffic_test, Booking_AgentReplaced_FirstRunsNothingMore) {
  test_agent first(ServiceSettings());
  TakeOverJournals(first);
  first.Receive(BookingAttempt(MakeAttemptId("e1", 1), "done"));
  EXPECT_FALSE(first.AwaitEnd().failed);
  test_agent second(ServiceSettings());
  TakeOverJournals(second);
  first.Receive(BookingAttempt(MakeAttemptId("e1", 2), "k"));
  const answer_end_message refused = first.AwaitEnd(2);
  EXPECT_EQ(refused.problem, error_kind::kUpstreamLeaving);
  EXPECT_EQ(refused.conclusion, outcome::kNotRun);
  EXPECT_EQ(Executions(), 1);
  second.Receive(BookingAttempt(MakeAttemptId("e2", 1), "k"));
  EXPECT_FALSE(second.AwaitEnd().failed);
  second.Receive(BookingAttempt(MakeAttemptId("e2", 2), "done"));
  second.AwaitEnd(2);
  EXPECT_EQ(Executions(), 2);
}

// Guards against a former owner that runs bookings after a configuration moved
// its journals, and against a running call that is not answered in that case.
TEST_F(agent_traffic_test, Booking_JournalMoved_IsRefusedAndRunningAnswered) {
  test_agent agent(ServiceSettings());
  TakeOverJournals(agent);
  agent.Receive(BookingAttempt(MakeAttemptId("e1", 1), "running"));
  agent.AwaitEvent(event_kind::kAttemptStarted);
  agent.Publish(MakeSnapshot(2, {"a2"}));
  agent.Receive(BookingAttempt(MakeAttemptId("e1", 2), "new"));
  const auto ends = agent.Await<answer_end_message>(2);
  for (const answer_end_message& end : ends) {
    const bool is_new = end.attempt == MakeAttemptId("e1", 2);
    EXPECT_EQ(end.failed, is_new);
    EXPECT_EQ(end.conclusion, is_new ? outcome::kNotRun : outcome::kCompleted);
  }
  // The journal moves back and contains the claim of the call, which must never
  // run again.
  agent.Publish(MakeSnapshot(3, {"a1"}));
  agent.Receive(BookingAttempt(MakeAttemptId("e1", 3), "running"));
  EXPECT_TRUE(agent.AwaitEnd(3).conclusion != outcome::kNotRun);
  EXPECT_EQ(Executions(), 1);
}

// Guards against a separate platform write for each of many concurrent
// bookings.
TEST_F(agent_traffic_test, Booking_ManyAtOnce_ShareWrites) {
  constexpr std::size_t kBookings = 100;
  test_agent agent(ServiceSettings());
  TakeOverJournals(agent);
  ControlPlatform(R"({"delay_ms":100})");
  const std::uint64_t before = PlatformWrites();
  agent.Call([](agent_traffic& traffic) {
    for (std::size_t i = 0; i < kBookings; ++i) {
      traffic.OnMessage(vm_id("e1"), BookingAttempt(MakeAttemptId("e1", i),
                                                    "k" + std::to_string(i)));
    }
  });
  for (const auto& end : agent.Await<answer_end_message>(kBookings)) {
    EXPECT_FALSE(end.failed) << end.detail;
  }
  EXPECT_EQ(Executions(), kBookings);
  EXPECT_LT(PlatformWrites() - before, kBookings);
}

// Guards against an attempt that runs after its outcome was reported as
// refused.
TEST_F(agent_traffic_test, OutcomeQuery_BeforeArrival_AttemptNeverRuns) {
  test_agent agent(ServiceSettings());
  TakeOverJournals(agent);
  agent.Receive(query_fate_message{MakeAttemptId("e1", 1)});
  EXPECT_EQ(agent.Await<fate_message>(1)[0].fate, attempt_fate::kRefused);
  agent.Receive(BookingAttempt(MakeAttemptId("e1", 1), "k"));
  agent.Receive(BookingAttempt(MakeAttemptId("e1", 2), "other"));
  // The refusal is sent with the outcome and again when the attempt arrives.
  const auto ends = agent.Await<answer_end_message>(3);
  EXPECT_EQ(ends[1].attempt, MakeAttemptId("e1", 1));
  EXPECT_EQ(ends[1].conclusion, outcome::kNotRun);
  EXPECT_EQ(ends[2].attempt, MakeAttemptId("e1", 2));
  EXPECT_EQ(Executions(), 1);
}

// Guards against a drain that refuses attempts which entries sent before they
// received the notice, that accepts attempts indefinitely, or that ends before
// all answers are acknowledged.
TEST_F(agent_traffic_test, Drain_NewAttempts_AreRefusedAfterGrace) {
  test_agent agent(ServiceSettings());
  TakeOverJournals(agent);
  agent.Call([](agent_traffic& traffic) {
    traffic.Drain();
    traffic.OnMessage(vm_id("e1"), BookingAttempt(MakeAttemptId("e1", 1), "k"));
  });
  EXPECT_FALSE(agent.Await<load_report_message>(1).back().accepts_work);
  EXPECT_FALSE(agent.AwaitEnd().failed);
  std::size_t sent = 1;
  answer_end_message end;
  do {
    ++sent;
    agent.Receive(BookingAttempt(MakeAttemptId("e1", sent), "k"));
    end = agent.AwaitEnd(sent);
    std::this_thread::sleep_for(milliseconds(50));
  } while (!end.failed);
  EXPECT_EQ(end.problem, error_kind::kUpstreamLeaving);
  EXPECT_EQ(end.conclusion, outcome::kNotRun);
  const auto in_progress = [](agent_traffic& traffic) {
    return traffic.in_progress();
  };
  for (std::size_t i = 1; i < sent; ++i) {
    EXPECT_GT(agent.Call(in_progress), 0);
    agent.Receive(acknowledge_message{MakeAttemptId("e1", i)});
  }
  EXPECT_EQ(agent.Call(in_progress), 0);
}

class model_traffic_test : public agent_traffic_test {
 protected:
  static standins::engine_options Options() {
    standins::engine_options options;
    options.model = kModel.value();
    options.version = "v1";
    return options;
  }

  static void AcceptModelRequests(test_agent& agent) {
    agent.Call([](agent_traffic& traffic) {
      traffic.SetModelAvailability(true, model_version("v1"));
    });
  }

  standins::engine_standin engine_{Options()};
  std::optional<standin_host> engine_host_{std::in_place, engine_};
};

// Guards against missing or repeated parts in the answer of a background
// request that was preempted and resumed.
TEST_F(model_traffic_test, Background_Preempted_ResumesAtOffset) {
  constexpr std::size_t kTokens = 300;
  process_settings settings = Settings("m1", engine_host_->port());
  settings.upstream_slots = 1;
  test_agent agent(settings);
  agent.Publish(MakeSnapshot(1, {"a1"}));
  AcceptModelRequests(agent);
  attempt_message background =
      CompletionAttempt(MakeAttemptId("e1", 1), kTokens);
  background.rank = request_rank::kBackground;
  agent.Receive(background);
  agent.Await<answer_part_message>(3);
  attempt_message urgent = CompletionAttempt(MakeAttemptId("e1", 2), 1);
  urgent.rank = request_rank::kUrgent;
  agent.Receive(urgent);
  agent.AwaitEvent(event_kind::kAttemptResumed);
  EXPECT_EQ(agent.AwaitEnd(2).attempt, background.attempt);
  std::uint64_t offset = 0;
  for (const auto& part : agent.Await<answer_part_message>(kTokens + 1)) {
    if (part.attempt == background.attempt) {
      EXPECT_EQ(part.offset, offset);
      const std::string token =
          standins::engine_standin::Token("hello\n", offset);
      EXPECT_NE(part.data.find(token), std::string::npos) << part.data;
      ++offset;
    }
  }
  EXPECT_EQ(offset, kTokens);
}

// Guards against a crash after which the running requests are not reported as
// suspects.
TEST_F(model_traffic_test, Upstream_Crash_ReportsAllRunningRequests) {
  test_agent agent(Settings("m1", engine_host_->port()));
  agent.Publish(MakeSnapshot(1, {"a1"}));
  AcceptModelRequests(agent);
  agent.Receive(CompletionAttempt(MakeAttemptId("e1", 1), 10'000));
  agent.Receive(CompletionAttempt(MakeAttemptId("e2", 1), 10'000));
  agent.Await<answer_part_message>(4);
  engine_host_.reset();
  const auto ends = agent.Await<answer_end_message>(2);
  for (const answer_end_message& end : ends) {
    EXPECT_EQ(end.problem, error_kind::kUpstreamFailed);
    EXPECT_EQ(end.conclusion, outcome::kUnknown);
  }
  // One message for each entry.
  const auto reports = agent.Await<upstream_crashed_message>(2);
  ASSERT_EQ(reports.size(), 2);
  EXPECT_EQ(reports[0].fingerprints.size(), 2);
}

// Guards against new requests for an engine that loads another version.
TEST_F(model_traffic_test, SetModelAvailability_False_RefusesNewRequests) {
  test_agent agent(Settings("m1", engine_host_->port()));
  agent.Publish(MakeSnapshot(1, {"a1"}));
  AcceptModelRequests(agent);
  agent.Receive(CompletionAttempt(MakeAttemptId("e1", 1), 20));
  agent.Call([](agent_traffic& traffic) {
    EXPECT_EQ(traffic.running_model_requests(), 1);
    traffic.SetModelAvailability(false, {});
  });
  agent.Receive(CompletionAttempt(MakeAttemptId("e1", 2), 1));
  const auto ends = agent.Await<answer_end_message>(2);
  EXPECT_EQ(ends[0].attempt, MakeAttemptId("e1", 2));
  EXPECT_EQ(ends[0].conclusion, outcome::kNotRun);
  EXPECT_FALSE(ends[1].failed) << ends[1].detail;
}

// Guards against requests for an engine whose version is not known yet, as
// after a restart of the agent during a load.
TEST_F(model_traffic_test, Start_EngineStateUnknown_RefusesModelRequests) {
  test_agent agent(Settings("m1", engine_host_->port()));
  agent.Publish(MakeSnapshot(1, {"a1"}));
  agent.Receive(CompletionAttempt(MakeAttemptId("e1", 1), 1));
  EXPECT_EQ(agent.AwaitEnd(1).conclusion, outcome::kNotRun);
}

}  // namespace
}  // namespace fireflyslip
