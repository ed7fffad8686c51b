#include "program/entry_traffic.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <condition_variable>
#include <deque>
#include <future>
#include <mutex>
#include <thread>

namespace fireflyslip {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using http_response_message = http::response<http::string_body>;

constexpr seconds kTimeout{30};
constexpr char kKey[] = "key-1";
constexpr char kModelBody[] =
    R"({"model":"cue","messages":[{"role":"user","content":"hi"}]})";
constexpr char kStreamBody[] =
    R"({"model":"cue","stream":true,)"
    R"("messages":[{"role":"user","content":"hi"}]})";

/// \brief Makes a configuration with one model on three upstreams and one
/// service on two.
configuration MakeConfiguration(double requests_per_second) {
  configuration_parts parts;
  parts.entries[data_centre_id("akl")] = 1;
  contract terms;
  terms.key_digest = digest::Of(kKey);
  terms.requests_per_second = requests_per_second;
  terms.tokens_per_second = 1e6;
  for (rank_objectives& rank : terms.ranks) {
    rank = {milliseconds(1000), milliseconds(20000), 0.1};
  }
  parts.workspaces[workspace_id("bar-1")] = terms;
  parts.models[model_name("cue")] = {model_version("v1"), {}, 0.75};
  parts.services[service_name("bookings")].non_idempotent = {
      {"POST", "/bookings"}};
  for (const char* name : {"akl-m1", "akl-m2", "akl-m3"}) {
    upstream_declaration& declared = parts.upstreams[upstream_id(name)];
    declared.data_centre = data_centre_id("akl");
    declared.model = model_name("cue");
  }
  for (const char* name : {"akl-b1", "akl-b2"}) {
    upstream_declaration& declared = parts.upstreams[upstream_id(name)];
    declared.data_centre = data_centre_id("akl");
    declared.service = service_name("bookings");
  }
  return configuration(std::move(parts));
}

process_settings MakeSettings() {
  process_settings settings;
  settings.vm = vm_id("akl-e1");
  settings.data_centre = data_centre_id("akl");
  settings.region = region_id("north");
  settings.listen = endpoint{"127.0.0.1", 0};
  return settings;
}

/// \brief Messages that the entry sent to simulated agents and entries.
class sent_messages {
 public:
  void Push(const vm_id& peer, link_message message) {
    const std::lock_guard lock(mutex_);
    sent_.emplace_back(peer, std::move(message));
    changed_.notify_all();
  }

  /// \brief Waits for the next message of a type and removes it.
  template <typename Message>
  std::optional<std::pair<vm_id, Message>> WaitForMessage(
      duration wait = kTimeout) {
    std::unique_lock lock(mutex_);
    std::optional<std::pair<vm_id, Message>> found;
    changed_.wait_for(lock, wait, [&] {
      for (auto item = sent_.begin(); item != sent_.end(); ++item) {
        if (const auto* message = std::get_if<Message>(&item->second)) {
          found.emplace(item->first, *message);
          sent_.erase(item);
          return true;
        }
      }
      return false;
    });
    return found;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::pair<vm_id, link_message>> sent_;
};

class entry_traffic_test : public ::testing::Test {
 protected:
  entry_traffic_test() : process_(MakeSettings()) {
    EXPECT_TRUE(IsOk(entry_.Start()));
    thread_.Start();
    Publish(1000);
  }
  ~entry_traffic_test() override {
    thread_.Stop();
    for (std::thread& caller : callers_) {
      caller.join();
    }
  }

  template <typename Function>
  void RunOnTrafficThread(Function function) {
    std::promise<void> done;
    thread_.Post([&] {
      function();
      done.set_value();
    });
    done.get_future().wait();
  }

  /// \brief Publishes a snapshot; `entries` are the other entries of the fleet.
  void Publish(double requests_per_second,
               std::uint64_t revision = 1,
               const std::vector<std::string>& entries = {}) {
    fleet_snapshot snapshot;
    snapshot.revision = revision;
    for (const std::string& name : entries) {
      fleet_member& member = snapshot.members[vm_id(name)];
      member.vm = vm_id(name);
      member.role = process_role::kEntry;
    }
    snapshot.configuration = MakeConfiguration(requests_per_second);
    auto published = std::make_shared<const fleet_snapshot>(snapshot);
    RunOnTrafficThread([&] { entry_.OnSnapshot(published); });
  }

  void Connect(const std::string& vm,
               const std::string& version = "v1",
               incarnation_number incarnation = 1) {
    hello_message hello;
    hello.vm = vm_id(vm);
    hello.role = "agent";
    hello.incarnation = incarnation;
    load_report_message load;
    load.model = model_name(vm.find("-m") == std::string::npos ? "" : "cue");
    load.version = model_version(version);
    load.tokens_per_second = 1000;
    load.accepts_work = true;
    RunOnTrafficThread([&] {
      entry_.OnPeerConnected(hello);
      entry_.OnMessage(hello.vm, load);
    });
  }

  void ConnectEntry(const std::string& vm) {
    hello_message hello;
    hello.vm = vm_id(vm);
    hello.role = "entry";
    RunOnTrafficThread([&] { entry_.OnPeerConnected(hello); });
  }

  void Disconnect(const vm_id& vm) {
    RunOnTrafficThread([&] { entry_.OnPeerLost(vm); });
  }

  void Receive(const vm_id& from, const link_message& message) {
    RunOnTrafficThread([&] { entry_.OnMessage(from, message); });
  }

  void SendPart(const vm_id& from,
                const attempt_id& attempt,
                std::uint64_t offset,
                const std::string& text,
                const std::string& version = "v1") {
    const std::string data = R"({"id":"c","system_fingerprint":")" + version +
                             R"(","choices":[{"index":0,"delta":{"content":")" +
                             text + R"("}}]})";
    Receive(from,
            answer_part_message{attempt, offset, model_version(version), data});
  }

  void SendEnd(const vm_id& from,
               const attempt_id& attempt,
               std::uint64_t parts) {
    answer_end_message end;
    end.attempt = attempt;
    end.parts = parts;
    end.content_type = "application/json";
    Receive(from, end);
  }

  void SendFailure(const vm_id& from,
                   const attempt_id& attempt,
                   error_kind kind,
                   outcome conclusion) {
    answer_end_message end;
    end.attempt = attempt;
    end.failed = true;
    end.problem = kind;
    end.conclusion = conclusion;
    Receive(from, end);
  }

  /// \brief Sends a request on a separate connection. A truncated response has
  /// the status 0 and the bytes that arrived.
  std::future<http_response_message> Call(
      const std::string& method,
      const std::string& target,
      const std::string& body,
      const std::map<std::string, std::string>& fields = {},
      bool with_key = true) {
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(method);
    request.target(target);
    if (with_key) {
      request.set("Authorization", std::string("Bearer ") + kKey);
    }
    for (const auto& [name, value] : fields) {
      request.set(name, value);
    }
    request.body() = body;
    request.prepare_payload();
    auto done = std::make_shared<std::promise<http_response_message>>();
    callers_.emplace_back([this, request, done] {
      asio::io_context context;
      asio::ip::tcp::socket socket(context);
      socket.connect({asio::ip::address_v4::loopback(), entry_.port()});
      boost::system::error_code code;
      http::write(socket, request, code);
      boost::beast::flat_buffer buffer;
      http::response_parser<http::string_body> parser;
      http::read(socket, buffer, parser, code);
      http_response_message answer = parser.release();
      if (code) {
        answer.result(static_cast<http::status>(0));
      }
      done->set_value(std::move(answer));
    });
    return done->get_future();
  }

  std::future<http_response_message> CallModel(
      const std::string& body = kModelBody) {
    return Call("POST", "/v1/chat/completions", body);
  }

  std::future<http_response_message> Book(
      const std::map<std::string, std::string>& more = {}) {
    std::map<std::string, std::string> fields = {{"Idempotency-Key", "k1"}};
    fields.insert(more.begin(), more.end());
    return Call("POST", "/services/bookings/bookings", "{}", fields);
  }

  static void ExpectAnswer(std::future<http_response_message>& call,
                           unsigned status,
                           const std::string& outcome,
                           const std::string& kind = "") {
    ASSERT_EQ(call.wait_for(kTimeout), std::future_status::ready);
    const http_response_message answer = call.get();
    EXPECT_EQ(answer.result_int(), status) << answer.body();
    EXPECT_EQ(answer["X-Outcome"], outcome) << answer.body();
    EXPECT_THAT(answer.body(), ::testing::HasSubstr(kind));
  }

  io_thread thread_;
  process_context process_;
  sent_messages sent_;
  entry_traffic entry_{thread_, process_,
                       [this](const vm_id& peer, link_message message) {
                         sent_.Push(peer, std::move(message));
                       }};
  std::vector<std::thread> callers_;
};

// Guards against an answer that is incomplete or that the agent keeps because
// it is not acknowledged.
TEST_F(entry_traffic_test, Request_Answered_AnswerIsWholeAndAcknowledged) {
  Connect("akl-m1");
  auto call = CallModel();
  const auto first = sent_.WaitForMessage<attempt_message>();
  ASSERT_TRUE(first);
  EXPECT_EQ(first->second.fingerprint.size(), 64U);
  EXPECT_FALSE(first->second.suspect);
  SendPart(first->first, first->second.attempt, 0, "a");
  SendPart(first->first, first->second.attempt, 1, "b");
  SendEnd(first->first, first->second.attempt, 2);
  ExpectAnswer(call, 200, "completed", R"("content":"ab")");
  EXPECT_TRUE(sent_.WaitForMessage<acknowledge_message>());
}

// Guards against a request that fails because its upstream was lost, although
// another upstream can run it.
TEST_F(entry_traffic_test, Request_LinkLost_RunsOnOtherUpstream) {
  Connect("akl-m1");
  Connect("akl-m2");
  auto call = CallModel();
  const auto first = sent_.WaitForMessage<attempt_message>();
  ASSERT_TRUE(first);
  Disconnect(first->first);
  const auto second = sent_.WaitForMessage<attempt_message>();
  ASSERT_TRUE(second);
  EXPECT_NE(second->first, first->first);
  EXPECT_EQ(second->second.attempt.number, first->second.attempt.number + 1);
  SendPart(second->first, second->second.attempt, 0, "a");
  SendEnd(second->first, second->second.attempt, 1);
  ExpectAnswer(call, 200, "completed", R"("content":"a")");
}

// Guards against an answer with parts of two versions after a failover.
TEST_F(entry_traffic_test, Stream_UpstreamLost_ResumesOnSameVersionOnly) {
  Connect("akl-m1");
  auto call = CallModel(kStreamBody);
  const auto first = sent_.WaitForMessage<attempt_message>();
  ASSERT_TRUE(first);
  SendPart(first->first, first->second.attempt, 0, "a");
  Connect("akl-m2", "v2");
  Connect("akl-m3", "v1");
  Disconnect(first->first);
  const auto second = sent_.WaitForMessage<attempt_message>();
  ASSERT_TRUE(second);
  EXPECT_EQ(second->first, vm_id("akl-m3"));
  EXPECT_EQ(second->second.resume_offset, 1U);
  EXPECT_EQ(second->second.resume_version, model_version("v1"));
  SendPart(second->first, second->second.attempt, 1, "b");
  SendEnd(second->first, second->second.attempt, 2);
  ASSERT_EQ(call.wait_for(kTimeout), std::future_status::ready);
  const http_response_message answer = call.get();
  EXPECT_EQ(answer.result_int(), 200U);
  EXPECT_THAT(answer.body(), ::testing::EndsWith("data: [DONE]\n\n"));
}

// Guards against a stream that is continued by another version, or that looks
// complete although parts are missing.
TEST_F(entry_traffic_test, Stream_OnlyOtherVersionLeft_EndsWithError) {
  Connect("akl-m1");
  auto call = CallModel(kStreamBody);
  const auto first = sent_.WaitForMessage<attempt_message>();
  ASSERT_TRUE(first);
  SendPart(first->first, first->second.attempt, 0, "a");
  Connect("akl-m2", "v2");
  Disconnect(first->first);
  ASSERT_EQ(call.wait_for(kTimeout), std::future_status::ready);
  const http_response_message answer = call.get();
  EXPECT_EQ(answer.result_int(), 0U);
  EXPECT_THAT(answer.body(), ::testing::HasSubstr("event: error"));
  EXPECT_FALSE(sent_.WaitForMessage<attempt_message>(milliseconds(0)));
}

// Guards against parts of a replaced attempt in the answer of the next one.
TEST_F(entry_traffic_test, Parts_LateAndOutOfOrder_AnswerIsWhole) {
  Connect("akl-m1");
  Connect("akl-m2");
  auto call = CallModel();
  const auto first = sent_.WaitForMessage<attempt_message>();
  ASSERT_TRUE(first);
  SendFailure(first->first, first->second.attempt, error_kind::kOverloaded,
              outcome::kNotRun);
  const auto second = sent_.WaitForMessage<attempt_message>();
  ASSERT_TRUE(second);
  SendPart(first->first, first->second.attempt, 0, "late");
  SendEnd(first->first, first->second.attempt, 1);
  SendPart(second->first, first->second.attempt, 0, "crossed");
  SendPart(second->first, second->second.attempt, 1, "b");
  SendEnd(second->first, second->second.attempt, 2);
  SendPart(second->first, second->second.attempt, 0, "a");
  ExpectAnswer(call, 200, "completed", R"("content":"ab")");
}

// Guards against a second execution after the loss of a link (I4).
TEST_F(entry_traffic_test, Booking_LinkLostWhileRunning_IsQueriedNotRepeated) {
  Connect("akl-b1");
  Connect("akl-b2");
  auto call = Book();
  const auto first = sent_.WaitForMessage<attempt_message>();
  ASSERT_TRUE(first);
  EXPECT_TRUE(first->second.non_idempotent);
  Disconnect(first->first);
  Connect(first->first.value());
  const auto query = sent_.WaitForMessage<query_fate_message>();
  ASSERT_TRUE(query);
  EXPECT_EQ(query->second.attempt, first->second.attempt);
  Receive(first->first,
          fate_message{first->second.attempt, attempt_fate::kCompleted});
  Receive(first->first,
          answer_part_message{first->second.attempt, 0, {}, "booked"});
  SendEnd(first->first, first->second.attempt, 1);
  ExpectAnswer(call, 200, "completed", "booked");
  EXPECT_FALSE(sent_.WaitForMessage<attempt_message>(milliseconds(0)));
}

// Guards against the outcome `not_run` or a repetition after a restart of the
// agent: the new process does not know what the old one ran (I3, I4).
TEST_F(entry_traffic_test, Booking_AgentRestarted_IsUnknown) {
  Connect("akl-b1");
  Connect("akl-b2");
  auto call = Book();
  const auto first = sent_.WaitForMessage<attempt_message>();
  ASSERT_TRUE(first);
  Disconnect(first->first);
  Connect(first->first.value(), "", 2);
  ExpectAnswer(call, 502, "unknown", "outcome_unknown");
  EXPECT_FALSE(sent_.WaitForMessage<attempt_message>(milliseconds(0)));
}

// Guards against an endless wait and a wrong `not_run` after the loss of a
// link.
TEST_F(entry_traffic_test, Booking_LinkStaysLost_IsUnknown) {
  Connect("akl-b1");
  Connect("akl-b2");
  auto call = Book();
  const auto first = sent_.WaitForMessage<attempt_message>();
  ASSERT_TRUE(first);
  Disconnect(first->first);
  ExpectAnswer(call, 502, "unknown", "outcome_unknown");
  EXPECT_FALSE(sent_.WaitForMessage<attempt_message>(milliseconds(0)));
}

// Guards against a booking that fails although it is known not to have run, and
// against a retry on an upstream that does not own its journal.
TEST_F(entry_traffic_test, Booking_FateRefused_IsRetriedOnHomeUpstream) {
  Connect("akl-b1");
  Connect("akl-b2");
  auto call = Book();
  const auto first = sent_.WaitForMessage<attempt_message>();
  ASSERT_TRUE(first);
  Disconnect(first->first);
  Connect(first->first.value());
  ASSERT_TRUE(sent_.WaitForMessage<query_fate_message>());
  // The agent records the refusal and therefore sends the end of the attempt
  // first.
  SendFailure(first->first, first->second.attempt,
              error_kind::kDeadlineExceeded, outcome::kNotRun);
  Receive(first->first,
          fate_message{first->second.attempt, attempt_fate::kRefused});
  const auto second = sent_.WaitForMessage<attempt_message>();
  ASSERT_TRUE(second);
  EXPECT_EQ(second->first, first->first);
  Receive(second->first,
          answer_part_message{second->second.attempt, 0, {}, "booked"});
  SendEnd(second->first, second->second.attempt, 1);
  ExpectAnswer(call, 200, "completed", "booked");
}

// Guards against a booking on an upstream that does not own its journal.
TEST_F(entry_traffic_test, Booking_HomeUpstreamAway_IsNotRun) {
  Connect("akl-b1");
  Connect("akl-b2");
  auto call = Book();
  const auto first = sent_.WaitForMessage<attempt_message>();
  ASSERT_TRUE(first);
  SendFailure(first->first, first->second.attempt, error_kind::kInvalidRequest,
              outcome::kNotRun);
  ExpectAnswer(call, 400, "not_run", "invalid_request");
  Receive(first->first, leaving_message{first->first});
  auto again = Book();
  ExpectAnswer(again, 503, "not_run", "upstream_leaving");
  Disconnect(first->first);
  auto third = Book();
  ExpectAnswer(third, 503, "not_run", "no_upstream");
}

// Guards against `not_run` for a request that may have run (I3), and against an
// attempt that is not cancelled at its deadline.
TEST_F(entry_traffic_test, Booking_Deadline_IsCancelledAndUnknown) {
  Connect("akl-b1");
  Connect("akl-b2");
  auto call = Book({{"X-Deadline-Ms", "200"}});
  const auto first = sent_.WaitForMessage<attempt_message>();
  ASSERT_TRUE(first);
  const auto cancel = sent_.WaitForMessage<cancel_message>();
  ASSERT_TRUE(cancel);
  EXPECT_EQ(cancel->second.attempt, first->second.attempt);
  ExpectAnswer(call, 502, "unknown", "outcome_unknown");
}

// Guards against a workspace with a small contract that gets no request
// admitted after a start, and against one that exceeds its contract or keeps
// the burst of an earlier contract.
TEST_F(entry_traffic_test, Admission_BurstUsedUp_IsRateLimited) {
  for (const std::vector<std::string>& entries :
       {std::vector<std::string>(), {"akl-e2", "akl-e3"}}) {
    auto first = Call("GET", "/services/bookings/x", "");
    ExpectAnswer(first, 503, "not_run", "no_upstream");
    Publish(0.001, 2 + entries.size(), entries);
  }
  auto next = Call("GET", "/services/bookings/x", "");
  ASSERT_EQ(next.wait_for(kTimeout), std::future_status::ready);
  next.get();  // The token bucket may admit one more request.
  auto refused = Call("GET", "/services/bookings/x", "");
  ASSERT_EQ(refused.wait_for(kTimeout), std::future_status::ready);
  const http_response_message answer = refused.get();
  EXPECT_EQ(answer.result_int(), 429U);
  EXPECT_EQ(answer["X-Outcome"], "not_run");
  EXPECT_GT(std::stoi(std::string(answer["Retry-After"])), 0);
}

// Guards against an entry that rejects requests without trying to borrow the
// unused share of another entry.
TEST_F(entry_traffic_test, Admission_ShareUsedUp_AsksOtherEntry) {
  Publish(4, 2, {"akl-e2"});
  ConnectEntry("akl-e2");
  std::optional<std::pair<vm_id, share_request_message>> request;
  for (int i = 0; i < 600 && !request; ++i) {
    auto call = Call("GET", "/services/bookings/x", "");
    ASSERT_EQ(call.wait_for(kTimeout), std::future_status::ready);
    request = sent_.WaitForMessage<share_request_message>(milliseconds(50));
  }
  ASSERT_TRUE(request);
  EXPECT_EQ(request->first, vm_id("akl-e2"));
  EXPECT_GT(request->second.amount, 0);
  Receive(vm_id("akl-e2"),
          share_grant_message{request->second.number, workspace_id("bar-1"),
                              request->second.amount, 1000});
  RunOnTrafficThread([this] { entry_.OnPause(); });
}

// Guards against an attempt that is not cancelled when its caller disconnects.
TEST_F(entry_traffic_test, Stream_CallerLeft_IsCancelled) {
  Connect("akl-m1");
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect({asio::ip::address_v4::loopback(), entry_.port()});
  http::request<http::string_body> request;
  request.version(11);
  request.method(http::verb::post);
  request.target("/v1/chat/completions");
  request.set("Authorization", std::string("Bearer ") + kKey);
  request.body() = kStreamBody;
  request.prepare_payload();
  http::write(socket, request);
  const auto first = sent_.WaitForMessage<attempt_message>();
  ASSERT_TRUE(first);
  socket.set_option(asio::socket_base::linger(true, 0));
  socket.close();
  std::optional<std::pair<vm_id, cancel_message>> cancel;
  for (std::uint64_t i = 0; i < 1000 && !cancel; ++i) {
    SendPart(first->first, first->second.attempt, i, "a");
    cancel = sent_.WaitForMessage<cancel_message>(milliseconds(10));
  }
  ASSERT_TRUE(cancel);
  EXPECT_EQ(cancel->second.attempt, first->second.attempt);
}

// Guards against a planned stop that aborts a request in progress (I6).
TEST_F(entry_traffic_test, Drain_RequestInProgress_IsCompleted) {
  Connect("akl-m1");
  auto call = CallModel();
  const auto first = sent_.WaitForMessage<attempt_message>();
  ASSERT_TRUE(first);
  RunOnTrafficThread([this] {
    entry_.Drain();
    EXPECT_EQ(entry_.requests_in_progress(), 1U);
  });
  SendPart(first->first, first->second.attempt, 0, "a");
  SendEnd(first->first, first->second.attempt, 1);
  ExpectAnswer(call, 200, "completed", R"("content":"a")");
}

// Guards against a request that is retried until it has crashed all upstreams.
TEST_F(entry_traffic_test, Crash_SecondTime_RequestIsBlocked) {
  Connect("akl-m1");
  Connect("akl-m2");
  Connect("akl-m3");
  ConnectEntry("akl-e2");
  auto call = CallModel();
  for (const bool suspect : {false, true}) {
    const auto attempt = sent_.WaitForMessage<attempt_message>();
    ASSERT_TRUE(attempt);
    EXPECT_EQ(attempt->second.suspect, suspect);
    Receive(attempt->first,
            upstream_crashed_message{{attempt->second.fingerprint}});
    const auto notice = sent_.WaitForMessage<crash_notice_message>();
    ASSERT_TRUE(notice);
    EXPECT_EQ(notice->first, vm_id("akl-e2"));
    SendFailure(attempt->first, attempt->second.attempt,
                error_kind::kUpstreamFailed, outcome::kUnknown);
  }
  ExpectAnswer(call, 422, "unknown", "request_crashes_upstream");
  auto again = CallModel();
  ExpectAnswer(again, 422, "not_run", "request_crashes_upstream");
  EXPECT_FALSE(sent_.WaitForMessage<attempt_message>(milliseconds(0)));
}

// Guards against a blocked request that another entry still accepts.
TEST_F(entry_traffic_test, Crash_NoticeFromEntry_RequestIsBlocked) {
  Connect("akl-m1");
  ConnectEntry("akl-e2");
  const std::string fingerprint =
      digest::Of(std::string("cue\n") + kModelBody).ToHex();
  Receive(vm_id("akl-e2"), crash_notice_message{fingerprint, 2});
  auto call = CallModel();
  ExpectAnswer(call, 422, "not_run", "request_crashes_upstream");
}

// Guards against invalid input that reaches an upstream or that is refused
// without a specific error.
TEST_F(entry_traffic_test, Input_Invalid_IsRefusedClearly) {
  Connect("akl-m1");
  const std::string completions = "/v1/chat/completions";
  auto malformed = CallModel("{\"model\":");
  ExpectAnswer(malformed, 400, "not_run", "invalid_request");
  auto no_key = Call("POST", completions, kModelBody, {}, false);
  ExpectAnswer(no_key, 401, "not_run", "unauthorized");
  auto rank = Call("POST", completions, kModelBody, {{"X-Rank", "best"}});
  ExpectAnswer(rank, 400, "not_run", "X-Rank");
  auto booking = Call("POST", "/services/bookings/bookings", "{}");
  ExpectAnswer(booking, 400, "not_run", "idempotency_key_required");
  auto large = CallModel(std::string(2'000'000, 'x'));
  ASSERT_EQ(large.wait_for(kTimeout), std::future_status::ready);
  // The connection may be closed while the body is still being sent.
  EXPECT_THAT(large.get().result_int(), ::testing::AnyOf(413U, 0U));
  EXPECT_FALSE(sent_.WaitForMessage<attempt_message>(milliseconds(0)));
}

}  // namespace
}  // namespace fireflyslip
