#include "fireflyslip/booking/claim_journal.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fireflyslip {
namespace {

using namespace booking;  // NOLINT(google-build-using-namespace)

idempotency_key Key(const std::string& name) {
  return idempotency_key("w/" + name);
}

attempt_id Attempt(std::uint64_t sequence) {
  return {{vm_id("entry"), 1, sequence}, 1};
}

// Returns the actions of type `Action`.
template <typename Action>
std::vector<Action> Select(const std::vector<claim_journal::action>& actions) {
  std::vector<Action> selected;
  for (const auto& action : actions) {
    if (const auto* match = std::get_if<Action>(&action)) {
      selected.push_back(*match);
    }
  }
  return selected;
}

class claim_journal_test : public testing::Test {
 protected:
  using actions = std::vector<claim_journal::action>;

  actions Send(const claim_journal::event& event) {
    return core_.Handle(event, now_);
  }
  actions Wait(duration time) {
    now_ += time;
    return Send(tick{});
  }
  actions Claim(std::uint64_t attempt,
                const std::string& key,
                const std::string& request = "r") {
    return Send(claim_requested{Attempt(attempt), Key(key), digest::Of(request),
                                now_ + seconds(5)});
  }
  // Starts the agent and lets it create the journal.
  void TakeOver() {
    Send(started{2, 7});
    Send(journal_missing{});
    Send(journal_written{1});
    Wait(milliseconds(10));
  }
  // Claims a key and confirms the write of the claim.
  void Run(std::uint64_t attempt, const std::string& key) {
    ASSERT_EQ(Select<write_journal>(Claim(attempt, key)).size(), 1U);
    ASSERT_EQ(Select<run_call>(Send(journal_written{++version_})).size(), 1U);
    Wait(milliseconds(10));
  }
  static error_kind Refusal(const actions& result) {
    const auto refusals = Select<refuse>(result);
    EXPECT_EQ(refusals.size(), 1U);
    return refusals.empty() ? error_kind::kInternalError : refusals[0].kind;
  }

  time_point now_{};
  object_version version_ = 1;
  claim_journal_settings settings_;
  claim_journal core_{settings_};
};

// Guards against one update for each claim, which would overload the platform.
TEST_F(claim_journal_test, Claim_DuringWrite_JoinsNextWrite) {
  TakeOver();
  EXPECT_EQ(Select<write_journal>(Claim(1, "a")).size(), 1U);
  EXPECT_TRUE(Claim(2, "b").empty());
  EXPECT_TRUE(Claim(3, "c").empty());
  EXPECT_EQ(Select<run_call>(Send(journal_written{2})).size(), 1U);
  EXPECT_EQ(Select<write_journal>(Wait(milliseconds(10))).size(), 1U);
  EXPECT_EQ(Select<run_call>(Send(journal_written{3})).size(), 2U);
}

// Guards against a second execution or a wrong refusal after the response to an
// update was lost.
TEST_F(claim_journal_test, Commit_LostAnswer_ReadsBack) {
  TakeOver();
  const auto write = Select<write_journal>(Claim(1, "a")).at(0);
  EXPECT_EQ(Select<read_journal>(Send(journal_write_unknown{})).size(), 1U);
  EXPECT_EQ(Select<run_call>(Send(journal_read{2, write.body})).size(), 1U);
}

// Guards against losing an update that takes effect after a read did not show
// it.
TEST_F(claim_journal_test, Commit_DelayedPastReadBack_IsRecognized) {
  Send(started{2, 7});
  const auto take_over = Select<write_journal>(Send(journal_missing{})).at(0);
  Send(journal_written{1});
  Wait(milliseconds(10));
  const auto write = Select<write_journal>(Claim(1, "a")).at(0);
  Send(journal_write_unknown{});
  const auto second =
      Select<write_journal>(Send(journal_read{1, take_over.body}));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(second[0].expected, 1U);
  Send(journal_conflict{});
  EXPECT_EQ(Select<run_call>(Send(journal_read{2, write.body})).size(), 1U);
}

// Guards against a call that runs after its attempt was refused as `not_run`.
TEST_F(claim_journal_test, Timeout_WriteUnresolved_RefusesAndNeverRuns) {
  TakeOver();
  const auto write = Select<write_journal>(Claim(1, "a")).at(0);
  EXPECT_EQ(Refusal(Wait(seconds(2))), error_kind::kPlatformUnavailable);
  const auto late = Send(journal_written{2});
  EXPECT_TRUE(Select<run_call>(late).empty());
  const auto withdrawal = Select<write_journal>(late);
  ASSERT_EQ(withdrawal.size(), 1U);
  EXPECT_TRUE(ValueOf(DecodeJournal(withdrawal[0].body)).records.empty());
  Send(journal_written{3});
  Wait(milliseconds(10));
  Claim(2, "a");
  EXPECT_EQ(Select<run_call>(Send(journal_written{4})).size(), 1U);
}

// Guards against an earlier update that confirms the claim of a later attempt.
TEST_F(claim_journal_test, Retry_OldWriteUnresolved_WaitsForOwnClaim) {
  TakeOver();
  Claim(1, "a");
  EXPECT_EQ(Refusal(Send(attempt_abandoned{Attempt(1)})),
            error_kind::kDeadlineExceeded);
  Claim(2, "a", "other");
  EXPECT_TRUE(Select<run_call>(Send(journal_written{2})).empty());
  Wait(milliseconds(10));
  EXPECT_EQ(Select<run_call>(Send(journal_written{3})),
            std::vector{(run_call{Attempt(2), Key("a")})});
}

// Guards against a second execution of a key for a duplicate request.
TEST_F(claim_journal_test, Duplicate_RunningOrAnswered_GetsOneAnswer) {
  TakeOver();
  Run(1, "a");
  EXPECT_TRUE(Claim(2, "a").empty());
  EXPECT_EQ(Refusal(Claim(3, "a", "other")), error_kind::kConflict);
  const auto done = Send(run_finished{Key("a"), 201, "text/plain", "seat 4"});
  ASSERT_EQ(Select<answer>(done).size(), 2U);
  const auto repeated = Select<answer>(Claim(4, "a"));
  ASSERT_EQ(repeated.size(), 1U);
  EXPECT_EQ(repeated[0].stored, Select<answer>(done)[0].stored);
}

// Guards against running a claim of a previous incarnation a second time.
TEST_F(claim_journal_test, TakeOver_ClaimWithoutAnswer_StaysUnknown) {
  journal_document old{1, "old", {}};
  old.records[Key("a")] = {claim_state::kClaimed, digest::Of("r"), {}};
  Send(started{2, 7});
  const auto write =
      Select<write_journal>(Send(journal_read{5, EncodeJournal(old)}));
  ASSERT_EQ(write.size(), 1U);
  EXPECT_EQ(write[0].expected, 5U);
  Send(journal_written{6});
  EXPECT_EQ(Refusal(Claim(1, "a")), error_kind::kOutcomeUnknown);
  Wait(settings_.answer_retention * 2);
  EXPECT_EQ(Refusal(Claim(2, "a")), error_kind::kOutcomeUnknown);
}

// Guards against a replaced agent that continues to run calls.
TEST_F(claim_journal_test, Conflict_LaterIncarnation_RefusesAllClaims) {
  TakeOver();
  Claim(1, "a");
  Send(journal_conflict{});
  EXPECT_EQ(Refusal(Send(journal_read{9, EncodeJournal({3, "x", {}})})),
            error_kind::kUpstreamLeaving);
  EXPECT_EQ(Refusal(Claim(2, "b")), error_kind::kUpstreamLeaving);
}

// Guards against acting on a write confirmation that is outdated by a pause.
TEST_F(claim_journal_test, Resume_WriteInProgress_ReadsBeforeRunning) {
  TakeOver();
  const auto write = Select<write_journal>(Claim(1, "a")).at(0);
  Send(resumed_after_pause{});
  const auto written = Send(journal_written{2});
  EXPECT_TRUE(Select<run_call>(written).empty());
  EXPECT_EQ(Select<read_journal>(written).size(), 1U);
  EXPECT_EQ(Select<run_call>(Send(journal_read{2, write.body})).size(), 1U);
}

// Guards against overwriting claims that cannot be decoded.
TEST_F(claim_journal_test, Read_MalformedBody_IsTreatedAsOutage) {
  Send(started{2, 7});
  for (const char* body : {"", "{}", R"({"format":2})", "[1"}) {
    EXPECT_TRUE(Send(journal_read{1, body}).empty());
    EXPECT_EQ(Select<read_journal>(Wait(settings_.retry_delay)).size(), 1U);
  }
  Claim(1, "a");
  EXPECT_EQ(Refusal(Wait(seconds(2))), error_kind::kPlatformUnavailable);
}

// Guards against an object that exceeds the size limit of the platform, and
// against a finished call whose record does not fit.
TEST_F(claim_journal_test, Claim_JournalFull_IsRefused) {
  settings_.max_journal = 2000;
  settings_.max_stored_body = 1500;
  core_ = claim_journal(settings_);
  TakeOver();
  Run(1, "a");
  Run(2, "b");
  Run(3, "c");
  EXPECT_EQ(Refusal(Claim(4, "d")), error_kind::kJournalFull);
  const auto done =
      Send(run_finished{Key("a"), 200, "text/plain", std::string(1000, 'x')});
  const auto write = Select<write_journal>(done);
  ASSERT_EQ(write.size(), 1U);
  EXPECT_LT(write[0].body.size(), 2200U);
  EXPECT_FALSE(Select<answer>(Claim(5, "a")).at(0).stored.body);
  Wait(settings_.answer_retention);
  Send(journal_written{++version_});
  EXPECT_EQ(Select<write_journal>(Claim(6, "d")).size(), 1U);
}

// Simulates several incarnations of one agent, an object store and a service,
// with faults between any two steps. The service counts the executions.
class claim_simulation {
 public:
  explicit claim_simulation(std::uint64_t seed) : random_(seed) { Replace(); }

  void Step() {
    now_ += milliseconds(static_cast<int>(random_.Below(40)));
    // Incarnations before the last three are rarely active and are skipped.
    const std::size_t index =
        agents_.size() - 1 -
        random_.Below(std::min<std::size_t>(agents_.size(), 3));
    agent& chosen = agents_[index];
    switch (random_.Below(12)) {
      case 0:
      case 1:
        Claim(index);
        break;
      case 2:
        chosen.paused = random_.Below(2) == 0;
        if (!chosen.paused && random_.Below(2) == 0) {
          Send(index, resumed_after_pause{});
        }
        break;
      case 3:
        if (random_.Below(20) == 0) {
          Replace();
        } else if (!chosen.waiting.empty()) {
          Send(index, attempt_abandoned{*chosen.waiting.begin()});
        }
        break;
      case 4:
        ApplyDelayedWrite();
        break;
      case 5:
      case 6:
        StepRun(index, random_.Below(8) == 0);
        break;
      case 7:
        Send(index, tick{});
        break;
      default:
        StepPlatform(index, random_.Below(3) == 0);
    }
  }

  // Checks that without faults the latest incarnation runs the call of a new
  // key.
  bool ServesNewKey() {
    const std::size_t last = agents_.size() - 1;
    agents_[last].paused = false;
    delayed_writes_.clear();
    bool claimed = false;
    for (int i = 0; i < 400; ++i) {
      now_ += milliseconds(20);
      Send(last, tick{});
      if (i == 200) {
        Send(last, claim_requested{Attempt(++sequence_), Key("final"),
                                   digest::Of("r"), now_ + seconds(60)});
        claimed = true;
      }
      StepPlatform(last, false);
      while (!agents_[last].runs.empty()) {
        StepRun(last, false);
      }
    }
    return claimed && executions_[Key("final")] == 1;
  }

  int runs() const { return runs_; }
  int refusals() const { return refusals_; }

 private:
  struct agent {
    claim_journal core;
    bool paused = false;
    std::optional<claim_journal::action> platform_call;  // In progress.
    std::optional<claim_journal::event>
        platform_response;  // Not yet delivered.
    std::vector<run_call> runs;
    std::set<attempt_id> waiting;
  };

  void Replace() {
    agents_.emplace_back();
    Send(agents_.size() - 1, started{agents_.size(), random_.Next()});
  }

  void Claim(std::size_t index) {
    const attempt_id attempt = Attempt(++sequence_);
    agents_[index].waiting.insert(attempt);
    Send(index,
         claim_requested{
             attempt, Key(std::to_string(random_.Below(150))), digest::Of("r"),
             now_ + milliseconds(static_cast<int>(random_.Below(900)))});
  }

  bool Write(const write_journal& write) {
    if (write.expected != version_) {
      return false;
    }
    version_ = version_.value_or(0) + 1;
    body_ = write.body;
    return true;
  }

  void ApplyDelayedWrite() {
    if (!delayed_writes_.empty()) {
      Write(delayed_writes_.back());
      delayed_writes_.pop_back();
    }
  }

  void StepPlatform(std::size_t index, bool fault) {
    agent& chosen = agents_[index];
    if (chosen.platform_response) {
      const claim_journal::event event = *chosen.platform_response;
      if (!chosen.paused) {
        chosen.platform_response.reset();
        chosen.platform_call.reset();
        Send(index, event);
      }
      return;
    }
    if (!chosen.platform_call) {
      return;
    }
    if (std::holds_alternative<read_journal>(*chosen.platform_call)) {
      if (fault) {
        chosen.platform_response = platform_failed{};
      } else if (version_) {
        chosen.platform_response = journal_read{*version_, body_};
      } else {
        chosen.platform_response = journal_missing{};
      }
      return;
    }
    const auto& write = std::get<write_journal>(*chosen.platform_call);
    if (!fault) {
      if (Write(write)) {
        chosen.platform_response = journal_written{*version_};
      } else {
        chosen.platform_response = journal_conflict{};
      }
      return;
    }
    chosen.platform_response = journal_write_unknown{};
    switch (random_.Below(3)) {
      case 0:
        chosen.platform_response = platform_failed{};
        break;
      case 1:
        Write(write);  // The response is lost.
        break;
      default:
        delayed_writes_.push_back(write);  // May take effect later.
    }
  }

  void StepRun(std::size_t index, bool unreachable) {
    agent& chosen = agents_[index];
    if (chosen.runs.empty() || chosen.paused) {
      return;
    }
    const run_call run = chosen.runs.back();
    chosen.runs.pop_back();
    if (unreachable) {
      ++unreachable_attempts_[run.attempt];
      Send(index, run_failed{run.key, false});
      return;
    }
    ++runs_;
    EXPECT_EQ(++executions_[run.key], 1) << run.key.value();
    EXPECT_FALSE(not_run_.contains(run.attempt));
    if (random_.Below(4) == 0) {
      Send(index, run_failed{run.key, true});
    } else {
      bodies_[run.key] = "body " + std::to_string(runs_);
      Send(index, run_finished{run.key, 200, "text/plain", bodies_[run.key]});
    }
  }

  void Send(std::size_t index, const claim_journal::event& event) {
    if (agents_[index].paused) {
      return;
    }
    for (const auto& action : agents_[index].core.Handle(event, now_)) {
      agent& chosen = agents_[index];
      if (const auto* run = std::get_if<run_call>(&action)) {
        EXPECT_FALSE(not_run_.contains(run->attempt));
        chosen.runs.push_back(*run);
        started_[run->attempt] = true;
      } else if (const auto* reply = std::get_if<answer>(&action)) {
        chosen.waiting.erase(reply->attempt);
        bool known = false;
        for (const auto& [key, body] : bodies_) {
          known = known || reply->stored.body == body;
        }
        EXPECT_TRUE(known);
      } else if (const auto* refusal = std::get_if<refuse>(&action)) {
        chosen.waiting.erase(refusal->attempt);
        ++refusals_;
        if (ErrorResponseFor(refusal->kind).default_outcome ==
            outcome::kNotRun) {
          not_run_.insert(refusal->attempt);
          EXPECT_EQ(started_.contains(refusal->attempt),
                    unreachable_attempts_.contains(refusal->attempt));
        }
      } else {
        EXPECT_FALSE(chosen.platform_call);
        chosen.platform_call = action;
      }
    }
  }

  random_source random_;
  time_point now_{};
  std::optional<object_version> version_;
  std::string body_;
  std::vector<write_journal> delayed_writes_;
  std::vector<agent> agents_;
  std::uint64_t sequence_ = 0;
  int runs_ = 0;
  int refusals_ = 0;
  std::map<idempotency_key, int> executions_;
  std::map<idempotency_key, std::string> bodies_;
  std::set<attempt_id> not_run_;
  std::map<attempt_id, bool> started_;
  std::map<attempt_id, int> unreachable_attempts_;
};

// Guards against interleavings of faults that run a call twice, run a refused
// call, or block the service permanently.
TEST_F(claim_journal_test, Faults_RandomSteps_RunEachKeyAtMostOnce) {
  int runs = 0;
  int refusals = 0;
  for (std::uint64_t seed = 1; seed <= 400 && !HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    claim_simulation simulation(seed);
    for (int step = 0; step < 1500; ++step) {
      simulation.Step();
    }
    runs += simulation.runs();
    refusals += simulation.refusals();
    EXPECT_TRUE(simulation.ServesNewKey());
  }
  EXPECT_GT(runs, 2000);
  EXPECT_GT(refusals, 2000);
  RecordProperty("runs", runs);
}

// Fixture for additional journals within one test.
struct journal_fixture : claim_journal_test {
  using claim_journal_test::actions;
  using claim_journal_test::Claim;
  using claim_journal_test::core_;
  using claim_journal_test::Run;
  using claim_journal_test::Send;
  using claim_journal_test::TakeOver;
  using claim_journal_test::Wait;
  void TestBody() override {}
};

// Guards against a journal that continues after its slot moved to another
// agent: the response to an update in progress must not start calls or a new
// read.
TEST_F(claim_journal_test, Stopped_WriteInProgress_RunsNoFurtherCall) {
  const auto answers = std::vector<claim_journal::event>{
      journal_written{9}, journal_conflict{}, journal_write_unknown{},
      platform_failed{}};
  for (const claim_journal::event& written : answers) {
    journal_fixture other;
    other.TakeOver();
    other.Run(1, "running");
    ASSERT_EQ(Select<write_journal>(other.Claim(2, "claimed")).size(), 1U);
    EXPECT_EQ(Refusal(other.Send(stopped{})), error_kind::kUpstreamLeaving);
    EXPECT_TRUE(other.core_.is_superseded());
    EXPECT_TRUE(other.Send(written).empty());
    EXPECT_TRUE(other.Wait(milliseconds(200)).empty());
    EXPECT_EQ(Refusal(other.Claim(3, "new")), error_kind::kUpstreamLeaving);
    const actions ended =
        other.Send(run_finished{Key("running"), 200, "text/plain", "done"});
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(Select<answer>(ended).size(), 1U);
  }
}

}  // namespace
}  // namespace fireflyslip
