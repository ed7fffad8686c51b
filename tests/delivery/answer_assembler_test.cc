#include "fireflyslip/delivery/answer_assembler.h"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "delivery/delivery_test.h"
#include "fireflyslip/core/random_source.h"

namespace fireflyslip {
namespace {

using namespace delivery;  // NOLINT(google-build-using-namespace)

class answer_assembler_test : public testing::Test {
 protected:
  using actions = std::vector<answer_assembler::action>;

  answer_assembler_test() { Send(attempt_sent{Attempt(1), 0}); }

  actions Send(const answer_assembler::event& event) {
    return core_.Handle(event, now_);
  }
  actions Part(std::uint64_t offset,
               const std::string& version = "v1",
               std::uint32_t number = 1) {
    return Send(part_received{Attempt(1, number), offset,
                              model_version(version), std::to_string(offset)});
  }
  actions End(std::uint64_t parts, std::uint32_t number = 1) {
    return Send(end_received{Attempt(1, number), {parts, 200}});
  }
  static std::string Forwarded(const actions& result) {
    std::string text;
    for (const auto& forward : Select<forward_to_caller>(result)) {
      text += forward.data;
    }
    return text;
  }

  time_point now_{};
  answer_assembler_settings settings_;
  answer_assembler core_{Attempt(1).request, settings_};
};

// Guards against parts that are reordered, duplicated, or missing at the end.
TEST_F(answer_assembler_test, Parts_OutOfOrder_AreForwardedInOrder) {
  EXPECT_EQ(Forwarded(Part(1)), "");
  EXPECT_TRUE(Select<finish>(End(3)).empty());
  EXPECT_EQ(Forwarded(Part(0)), "01");
  EXPECT_EQ(Forwarded(Part(1)), "");
  const auto last = Part(2);
  EXPECT_EQ(Forwarded(last), "2");
  EXPECT_EQ(Select<finish>(last).size(), 1U);
  EXPECT_EQ(Select<acknowledge>(last).size(), 1U);
}

// Guards against a caller that waits indefinitely for a lost part.
TEST_F(answer_assembler_test, Gap_TimeOut_ResumesOnSameVersion) {
  Part(0);
  Part(2);
  now_ = *core_.NextDeadline();
  const auto resumed = Send(tick{});
  EXPECT_EQ(Select<resume_on_another_upstream>(resumed),
            std::vector{(resume_on_another_upstream{1, model_version("v1")})});
  Send(attempt_sent{Attempt(1, 2), 1});
  EXPECT_EQ(Forwarded(Part(1, "v1", 1)), "");  // Late part of the old attempt.
  EXPECT_EQ(Forwarded(Part(1, "v1", 2)), "1");
  EXPECT_EQ(Select<acknowledge>(End(3, 1)).size(), 1U);
  EXPECT_EQ(Select<finish>(End(2, 2)).size(), 1U);
}

// Guards against an answer that mixes two model versions.
TEST_F(answer_assembler_test, Part_OtherVersion_IsNeverForwarded) {
  Part(0);
  const auto mixed = Part(1, "v2");
  EXPECT_EQ(Forwarded(mixed), "");
  ASSERT_EQ(Select<resume_on_another_upstream>(mixed).size(), 1U);
  for (std::uint32_t number = 2; number <= 4; ++number) {
    Send(attempt_sent{Attempt(1, number), 1});
    const auto other = Part(1, "v2", number);
    EXPECT_EQ(Forwarded(other), "");
    EXPECT_EQ(Select<fail>(other).size(), number == 4 ? 1U : 0U);
  }
}

// Guards against binding a request without forwarded parts to the version of a
// lost attempt.
TEST_F(answer_assembler_test, Lost_NothingForwarded_Restarts) {
  Part(1);
  const auto lost = Send(attempt_lost{Attempt(1)});
  EXPECT_EQ(Select<resume_on_another_upstream>(lost),
            std::vector{(resume_on_another_upstream{0, std::nullopt})});
  Send(attempt_sent{Attempt(1, 2), 0});
  EXPECT_EQ(Forwarded(Part(0, "v2", 2)), "0");
}

// Guards against a second run of a call that must run at most once.
TEST_F(answer_assembler_test, Lost_NonIdempotent_OnlyRestartsIfNeverRan) {
  settings_.idempotent = false;
  core_ = answer_assembler(Attempt(1).request, settings_);
  Send(attempt_sent{Attempt(1), 0});
  EXPECT_EQ(
      Select<resume_on_another_upstream>(Send(attempt_lost{Attempt(1), true}))
          .size(),
      1U);
  Send(attempt_sent{Attempt(1, 2), 0});
  const auto lost = Send(attempt_lost{Attempt(1, 2), false});
  EXPECT_EQ(Select<fail>(lost).at(0).result, outcome::kUnknown);
}

// Guards against reporting `not_run` when an earlier attempt may have run.
TEST_F(answer_assembler_test, Refused_AfterLostAttempt_IsUnknown) {
  Send(attempt_lost{Attempt(1)});
  Send(attempt_sent{Attempt(1, 2), 0});
  const auto refused = Send(end_received{
      Attempt(1, 2),
      {0, 0, error_kind::kOverloaded, outcome::kNotRun, "queue full"}});
  EXPECT_EQ(Select<fail>(refused).at(0).result, outcome::kUnknown);
}

// Guards against an agent that continues work for a caller that disconnected.
TEST_F(answer_assembler_test, CallerDisconnected_Running_CancelsAndDropsParts) {
  EXPECT_EQ(Select<cancel_attempt>(Send(caller_disconnected{})).size(), 1U);
  EXPECT_EQ(Forwarded(Part(0)), "");
  EXPECT_TRUE(core_.is_done());
}

// Simulates one entry and three agents whose engines change versions. Messages
// are reordered, duplicated, delayed, or lost with their link.
class delivery_simulation {
 public:
  explicit delivery_simulation(std::uint64_t seed)
      : random_(seed), core_(Attempt(1).request) {
    SendAttempt(0, std::nullopt);
  }

  void Step() {
    now_ += milliseconds(static_cast<int>(random_.Below(200)));
    const std::uint32_t number =
        1 + static_cast<std::uint32_t>(random_.Below(attempts_));
    const std::size_t index = number % agents_.size();
    const attempt_id attempt = Attempt(1, number);
    switch (random_.Below(10)) {
      case 0:
        versions_[index] = random_.Below(2) == 0 ? "v1" : "v2";
        break;
      case 1:
        ToAgent(index, link_lost{kEntry});
        std::erase_if(messages_,
                      [&](const auto&) { return random_.Below(2) == 0; });
        ToAgent(index, link_resumed{kEntry});
        break;
      case 2:
        ToAgent(index, attempt_arrived{attempt, first_offsets_[attempt]});
        break;
      case 3:
        if (random_.Below(4) == 0) {
          ToAgent(index, attempt_status_queried{attempt});
        } else {
          ToEntry(tick{});
        }
        break;
      case 4:
      case 5:
      case 6:
        StepEngine(attempt, index);
        break;
      default:
        if (!messages_.empty()) {
          const std::size_t at = random_.Below(messages_.size());
          const answer_assembler::event message = messages_[at];
          if (random_.Below(4) != 0) {
            messages_.erase(messages_.begin() +
                            static_cast<std::ptrdiff_t>(at));
          }
          ToEntry(message);
        }
    }
  }

  bool is_done() const { return core_.is_done(); }
  bool finished() const { return finished_; }

 private:
  static constexpr std::uint64_t kParts = 5;
  static inline const entry_id kEntry{vm_id("entry"), 1};

  void SendAttempt(std::uint64_t offset,
                   const std::optional<model_version>& version) {
    const attempt_id attempt = Attempt(1, ++attempts_);
    first_offsets_[attempt] = offset;
    if (version && random_.Below(4) != 0) {
      versions_[attempts_ % agents_.size()] = version->value();
    }
    ToEntry(attempt_sent{attempt, offset});
  }

  void StepEngine(const attempt_id& attempt, std::size_t index) {
    if (!admitted_.contains(attempt)) {
      return;
    }
    if (!produced_.contains(attempt)) {
      produced_[attempt] = first_offsets_[attempt];
      EXPECT_FALSE(refused_.contains(attempt));
      ToAgent(index, run_started{attempt});
    }
    std::uint64_t& offset = produced_[attempt];
    if (offset < kParts) {
      ToAgent(index, part_produced{attempt, model_version(versions_[index]),
                                   versions_[index] + "/" +
                                       std::to_string(offset) + " "});
      ++offset;
    } else {
      ToAgent(index, run_ended{attempt, {0, 200}});
    }
  }

  void ToAgent(std::size_t index, const attempt_ledger::event& event) {
    for (const auto& action : agents_[index].Handle(event, now_)) {
      if (const auto* admitted = std::get_if<admit>(&action)) {
        EXPECT_TRUE(admitted_.insert(admitted->attempt).second);
        EXPECT_FALSE(refused_.contains(admitted->attempt));
      } else if (const auto* sent = std::get_if<send_part>(&action)) {
        messages_.emplace_back(part_received{sent->attempt, sent->offset,
                                             sent->version, sent->data});
      } else if (const auto* ended = std::get_if<send_end>(&action)) {
        messages_.emplace_back(end_received{ended->attempt, ended->end});
      } else if (const auto* reply =
                     std::get_if<send_attempt_status>(&action)) {
        if (reply->state == attempt_status::kRefused) {
          refused_.insert(reply->attempt);
          messages_.emplace_back(attempt_lost{reply->attempt, true});
        }
      }
    }
  }

  void ToEntry(const answer_assembler::event& event) {
    for (const auto& action : core_.Handle(event, now_)) {
      if (const auto* forward = std::get_if<forward_to_caller>(&action)) {
        // The caller sees one version and consecutive offsets.
        version_ = version_.empty() ? forward->version.value() : version_;
        EXPECT_EQ(forward->data,
                  version_ + "/" + std::to_string(forwarded_parts_++) + " ");
      } else if (std::holds_alternative<finish>(action)) {
        EXPECT_EQ(forwarded_parts_, kParts);
        finished_ = true;
      } else if (const auto* failure = std::get_if<fail>(&action)) {
        EXPECT_TRUE(failure->result != outcome::kNotRun || produced_.empty());
      } else if (const auto* resume =
                     std::get_if<resume_on_another_upstream>(&action)) {
        SendAttempt(resume->offset, resume->version);
      } else if (const auto* done = std::get_if<acknowledge>(&action)) {
        ToAgent(done->attempt.number % agents_.size(),
                acknowledged{done->attempt});
      }
    }
  }

  random_source random_;
  time_point now_{};
  answer_assembler core_;
  std::vector<attempt_ledger> agents_ = std::vector<attempt_ledger>(3);
  std::vector<std::string> versions_ = {"v1", "v1", "v1"};
  std::vector<answer_assembler::event> messages_;
  std::uint32_t attempts_ = 0;
  std::map<attempt_id, std::uint64_t> first_offsets_;
  std::map<attempt_id, std::uint64_t> produced_;
  std::set<attempt_id> admitted_;
  std::set<attempt_id> refused_;
  std::string version_;
  std::uint64_t forwarded_parts_ = 0;
  bool finished_ = false;
};

// Guards against interleavings that yield a mixed or incomplete answer, or that
// run a refused attempt.
TEST_F(answer_assembler_test, Faults_RandomSteps_GiveWholeAnswerOfOneVersion) {
  int finished = 0;
  int done = 0;
  for (std::uint64_t seed = 1; seed <= 2000 && !HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    delivery_simulation simulation(seed);
    for (int step = 0; step < 400; ++step) {
      simulation.Step();
    }
    done += simulation.is_done() ? 1 : 0;
    finished += simulation.finished() ? 1 : 0;
  }
  EXPECT_GT(finished, 500);
  EXPECT_GT(done, 1900);
  RecordProperty("finished", finished);
}

}  // namespace
}  // namespace fireflyslip
