#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "fireflyslip/catalog.h"
#include "fireflyslip/staging.h"

namespace fireflyslip {
namespace {

/// \brief How the processes of a fleet read what they need at their start.
struct start_reads {
  bool agents_read_configuration = false;  ///< Whole, from the store.
  read_backoff_policy backoff;
};

/// \brief One of five data centres, far from the store, in virtual time: 30 of
/// 149 gateways and 31 of 156 agents, or 53 of 265, start at once.
///
/// The link between the regions sends one segment after the other. A response
/// has a window of segments on the way; those of a read that was given up are
/// sent nevertheless.
class fleet_start {
 public:
  static constexpr std::size_t kGateways = 30;
  static constexpr std::size_t kBytesPerUpstream = 400;
  static constexpr std::size_t kConfigurationBytes = 394'000;
  static constexpr std::size_t kCompressedBytes = 28'000;
  static constexpr double kRegionLink = 34e6 / 8;  // bytes a second
  static constexpr double kAgentLink = 9.4e6 / 8;

  /// \param window segments of a response that are on the way at a time.
  fleet_start(std::size_t agents, std::size_t window, const start_reads& reads)
      : reads_(reads),
        window_(window),
        list_bytes_((5 * agents + 12) * kBytesPerUpstream),
        content_pacer_(kAgentLink / 2) {
    processes_.resize(kGateways + agents);
    for (process& member : processes_) {
      member.backoff = read_backoff(reads_.backoff);
      member.due = start_ + FromSeconds(0.3 * random_.Fraction());
    }
    for (std::size_t i = kGateways; i < processes_.size(); ++i) {
      processes_[i].lists_first = !reads_.agents_read_configuration;
    }
  }

  /// \brief Runs until all are ready; empty if they are not after `limit`.
  std::optional<duration> Run(duration limit) {
    const duration step =
        FromSeconds(static_cast<double>(kSegment) / kRegionLink);
    for (now_ = start_; now_ < start_ + limit; now_ += step) {
      for (process& member : processes_) {
        Advance(member);
      }
      SendSegment();
      const bool ready = std::all_of(
          processes_.begin(), processes_.end(), [&](const process& member) {
            return member.ready_at && *member.ready_at <= now_;
          });
      if (ready) {
        return now_ - start_;
      }
    }
    return std::nullopt;
  }

  double bytes_sent() const { return bytes_sent_; }

 private:
  static constexpr std::size_t kSegment = 4096;  // bytes
  static constexpr duration kPollInterval = milliseconds(300);

  struct process {
    read_backoff backoff;
    time_point due;           // of the next read
    bool lists_first = true;  // else the configuration
    std::size_t reads = 0;    // completed
    int read_id = 0;
    std::size_t left = 0;  // bytes of the read in progress, 0 if there is none
    bool head_received = false;
    time_point timeout_at;
    std::optional<time_point> ready_at;
  };
  struct segment {
    std::size_t process = 0;
    int read_id = 0;
  };

  bool IsRelay(const process& member) const {
    return &member == &processes_.back();
  }

  void Advance(process& member) {
    if (member.ready_at) {
      return;
    }
    if (member.left > 0) {
      if (!member.head_received && now_ >= member.timeout_at) {
        member.left = 0;
        member.due = now_ + member.backoff.RecordFailure(random_);
      }
      return;
    }
    if (now_ < member.due) {
      return;
    }
    if (IsDone(member)) {
      AskRelay(member);
      return;
    }
    const bool lists = (member.reads == 0) == member.lists_first;
    member.left = lists ? list_bytes_ : kConfigurationBytes;
    member.head_received = false;
    member.timeout_at = now_ + member.backoff.timeout();
    ++member.read_id;
    const std::size_t segments = std::min(window_, member.left / kSegment + 1);
    for (std::size_t i = 0; i < segments; ++i) {
      Enqueue(member);
    }
  }

  /// Whether the process has all that it reads from the store itself.
  bool IsDone(const process& member) const {
    const bool both = IsRelay(member) || !member.lists_first;
    return member.reads >= (both ? 2U : 1U);
  }

  void AskRelay(process& member) {
    const auto index = static_cast<std::size_t>(&member - processes_.data());
    if (!IsDone(processes_.back())) {
      member.due = now_ + kPollInterval;
    } else if (index >= kGateways) {
      member.ready_at = now_;
    } else if (const auto begin = content_pacer_.Reserve(kCompressedBytes, now_,
                                                         seconds(60))) {
      member.ready_at =
          *begin +
          FromSeconds(static_cast<double>(kCompressedBytes) / kAgentLink);
    }
  }

  void Enqueue(const process& member) {
    link_.push_back({static_cast<std::size_t>(&member - processes_.data()),
                     member.read_id});
  }

  void SendSegment() {
    if (link_.empty()) {
      return;
    }
    const segment sent = link_.front();
    link_.pop_front();
    bytes_sent_ += static_cast<double>(kSegment);
    process& member = processes_[sent.process];
    if (member.left == 0 || sent.read_id != member.read_id) {
      return;  // the read was given up
    }
    member.head_received = true;
    member.left -= std::min(member.left, kSegment);
    if (member.left == 0) {
      ++member.reads;
      member.backoff.RecordSuccess();
      member.due = now_;
    } else if (member.left > (window_ - 1) * kSegment) {
      Enqueue(member);
    }
  }

  start_reads reads_;
  std::size_t window_;
  std::size_t list_bytes_;
  random_source random_{1};
  link_pacer content_pacer_;
  std::vector<process> processes_;
  std::deque<segment> link_;
  const time_point start_ = time_point(seconds(100));
  time_point now_ = start_;
  double bytes_sent_ = 0;
};

class fleet_start_test : public testing::Test {
 protected:
  /// Service must be back within this time; the other half is for weights.
  static constexpr duration kRecoveryTime = seconds(15);

  static void Record(std::size_t agents,
                     std::size_t window,
                     duration taken,
                     double bytes) {
    const std::string name =
        std::to_string(agents) + "_window_" + std::to_string(window);
    RecordProperty("seconds_" + name, std::to_string(ToSeconds(taken)));
    RecordProperty("bytes_" + name, std::to_string(bytes));
  }
};

// Guards against a start of the whole fleet that does not end, because reads
// that are given up and repeated fill the link between the regions.
TEST_F(fleet_start_test, AllProcesses_Start_ReadyInHalfOfRecoveryTime) {
  for (const std::size_t agents : {31U, 53U}) {
    for (const std::size_t window : {4U, 16U, 64U, 256U}) {
      fleet_start fleet(agents, window, {});
      const auto taken = fleet.Run(kRecoveryTime);
      ASSERT_TRUE(taken);
      Record(agents, window, *taken, fleet.bytes_sent());
      EXPECT_LE(*taken, kRecoveryTime / 2);
    }
  }
}

// Guards against a replay that cannot show the fault: agents that read the
// configuration of 1,529 routes from the store, with fixed short timeouts.
TEST_F(fleet_start_test, AgentsReadStore_FixedTimeouts_NotReadyInRecoveryTime) {
  read_backoff_policy fixed;
  fixed.max_timeout = fixed.first_timeout;
  fixed.max_delay = fixed.first_delay;
  for (const std::size_t agents : {31U, 53U}) {
    constexpr std::size_t kWindow = 64;
    fleet_start fleet(agents, kWindow, {true, fixed});
    const auto taken = fleet.Run(kRecoveryTime);
    Record(agents, kWindow, taken.value_or(kRecoveryTime), fleet.bytes_sent());
    EXPECT_FALSE(taken);
  }
}

}  // namespace
}  // namespace fireflyslip
