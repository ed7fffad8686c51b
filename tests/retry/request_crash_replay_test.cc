#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fireflyslip/core/hash.h"
#include "fireflyslip/core/random_source.h"
#include "fireflyslip/retry/crash_attribution.h"

namespace fireflyslip {
namespace {

constexpr prompt_part kCrashing = 1'000'000;
constexpr milliseconds kStep{10};
constexpr milliseconds kExchangeInterval{100};
constexpr milliseconds kSubscriptionInterval{800};
/// Time in which a gateway in touch must know of a crash.
constexpr seconds kContactTime{3};
constexpr std::size_t kMaxLateRetries = 3;
constexpr std::size_t kThirdCrash = 3;

/// \brief What differs from the usual load.
struct request_crash_load {
  std::size_t gateways = 30;
  std::size_t upstreams = 12;
  /// Time between two sends of the request that crashes upstreams; never if
  /// zero.
  duration crashing_interval = milliseconds(800);
  /// Time between two crashes with a cause in no request; never if zero.
  duration other_crash_interval{};
  /// Time between two losses of a third of the upstreams; never if zero.
  duration mass_crash_interval{};
  /// Fraction of the attempts whose connection ends without a crash.
  double resets = 0;
  /// Time between two restarts of gateways, without their memory.
  duration restart_interval{};
  /// Whether a gateway in three is cut off for the first six seconds.
  bool cut_off = false;
};

/// \brief Gateways in front of upstreams without agents, in steps of 10 ms.
/// Gateways exchange evidence through stagers, of which each gateway follows
/// four; a tenth of the messages is lost. One request crashes each upstream
/// that runs it and comes again at any gateway. Of the other requests, some
/// have a content that many share, and all come again if they are interrupted.
class request_crash_replay {
 public:
  request_crash_replay(const request_crash_load& load, std::uint64_t seed)
      : load_(load), random_(seed), upstreams_(load.upstreams) {
    for (std::size_t i = 0; i < load.gateways; ++i) {
      gateways_.emplace_back(RequestCrashPolicy());
    }
    for (std::size_t i = 0; i < kStagers; ++i) {
      stagers_.emplace_back(RequestCrashPolicy());
    }
    sent_at_.resize(load.gateways);
    stager_sent_at_.resize(kStagers);
    in_touch_since_.resize(load.gateways);
  }

  void Run(duration length) {
    for (const time_point end = now_ + length; now_ < end; now_ += kStep) {
      SendNew();
      SendAgain();
      if (IsDue(load_.other_crash_interval)) {
        Crash(random_.Below(upstreams_.size()));
      }
      if (IsDue(load_.mass_crash_interval)) {
        const std::size_t first = random_.Below(upstreams_.size());
        for (std::size_t i = 0; i < upstreams_.size() / 3; ++i) {
          Crash((first + i) % upstreams_.size());
        }
      }
      if (IsDue(load_.restart_interval)) {
        Restart(random_.Below(gateways_.size()));
      }
      Advance();
      Exchange();
    }
  }

  /// \brief Retries of the crashing request by gateways in touch, later than
  /// the contact time after the third crash.
  std::size_t late_retries() const { return late_retries_; }
  std::size_t crashes_by_request() const { return crashes_by_request_; }
  std::size_t sound_sent() const { return sound_sent_; }
  std::size_t sound_refused() const { return sound_refused_; }

 private:
  static constexpr std::size_t kStagers = 12;
  static constexpr std::size_t kDataCentres = 3;
  static constexpr std::size_t kFollowed = 4;

  struct request {
    prompt_part content = 0;
    int sent_by_caller = 1;
    int tried = 0;
    bool suspect = false;
    std::uint64_t dispatch = 0;
  };
  struct attempt {
    std::size_t gateway = 0;
    std::size_t upstream = 0;
    request content;
    time_point ends_at;
    bool reset = false;
  };
  struct upstream_state {
    crash_id incarnation = 0;
    time_point back_at;
  };

  bool IsDue(duration interval) const {
    return interval > duration(0) &&
           now_.time_since_epoch() % interval == duration(0);
  }

  bool IsCutOff(std::size_t gateway) const {
    return load_.cut_off && gateway % 3 == 0 && now_ < kStart + seconds(6);
  }

  crash_id Incarnation(std::size_t upstream) const {
    return upstream * 1000 + upstreams_[upstream].incarnation;
  }

  void SendNew() {
    if (IsDue(load_.crashing_interval)) {
      Accept(random_.Below(gateways_.size()), {kCrashing});
    }
    constexpr double kSharedContents = 0.3;
    for (int i = 0; i < 3; ++i) {
      ++sound_sent_;
      Accept(random_.Below(gateways_.size()),
             {random_.Fraction() < kSharedContents ? random_.Below(5)
                                                   : ++next_content_});
    }
  }

  void SendAgain() {
    while (!sent_again_.empty() && sent_again_.begin()->first <= now_) {
      const request content = sent_again_.begin()->second;
      sent_again_.erase(sent_again_.begin());
      Accept(random_.Below(gateways_.size()), content);
    }
  }

  void Accept(std::size_t gateway, request content) {
    content.dispatch = ++next_dispatch_;
    content.tried = 0;
    content.suspect = gateways_[gateway].IsSuspect(content.content);
    Send(gateway, content);
  }

  void Send(std::size_t gateway, request content) {
    crash_attribution& core = gateways_[gateway];
    if (core.IsBlocked({content.content})) {
      sound_refused_ += content.content == kCrashing ? 0 : 1;
      return;
    }
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
      if (upstreams_[i].back_at <= now_) {
        up.push_back(i);
      }
    }
    if (up.empty()) {
      return;
    }
    ++content.tried;
    const std::size_t upstream = up[random_.Below(up.size())];
    core.AttemptStarted(content.dispatch, Incarnation(upstream),
                        {content.content});
    duration run_time = milliseconds(20);
    if (content.content == kCrashing) {
      const bool in_touch = !IsCutOff(gateway) &&
                            now_ >= in_touch_since_[gateway] + kContactTime &&
                            (!load_.cut_off || gateway % 3 != 0 ||
                             now_ >= kStart + seconds(6) + kContactTime);
      late_retries_ +=
          third_crash_ && now_ > *third_crash_ + kContactTime && in_touch ? 1
                                                                          : 0;
    } else {
      run_time = milliseconds(20 + random_.Below(300));
    }
    attempts_[content.dispatch] = {gateway, upstream, content, now_ + run_time,
                                   random_.Fraction() < load_.resets};
  }

  void Advance() {
    std::vector<std::uint64_t> due;
    for (const auto& [id, running] : attempts_) {
      if (running.ends_at <= now_) {
        due.push_back(id);
      }
    }
    for (const std::uint64_t id : due) {
      const auto found = attempts_.find(id);
      if (found == attempts_.end()) {
        continue;  // interrupted by a crash in this step
      }
      const attempt ended = found->second;
      crash_attribution& core = gateways_[ended.gateway];
      if (ended.content.content == kCrashing) {
        if (++crashes_by_request_ == kThirdCrash) {
          third_crash_ = now_;
        }
        Crash(ended.upstream);
        continue;
      }
      attempts_.erase(found);
      if (ended.reset) {
        core.AttemptEnded(id, attempt_end::kInterrupted, now_);
        Retry(ended);
        continue;
      }
      core.AttemptBegun(id, now_);
      core.AttemptEnded(id, attempt_end::kResponse, now_);
    }
  }

  void Crash(std::size_t upstream) {
    if (upstreams_[upstream].back_at > now_) {
      return;
    }
    const crash_id incarnation = Incarnation(upstream);
    std::vector<attempt> interrupted;
    std::erase_if(attempts_, [&](const auto& item) {
      if (item.second.upstream == upstream) {
        interrupted.push_back(item.second);
        return true;
      }
      return false;
    });
    upstreams_[upstream].back_at = now_ + milliseconds(1500);
    ++upstreams_[upstream].incarnation;
    std::set<std::size_t> observers;
    for (const attempt& item : interrupted) {
      gateways_[item.gateway].AttemptEnded(item.content.dispatch,
                                           attempt_end::kInterrupted, now_);
      observers.insert(item.gateway);
    }
    // A gateway probes an upstream only after an interruption.
    for (const std::size_t gateway : observers) {
      gateways_[gateway].UpstreamLost(incarnation, now_ + milliseconds(30));
    }
    for (const attempt& item : interrupted) {
      Retry(item);
    }
  }

  void Retry(const attempt& ended) {
    constexpr int kMaxAttempts = 2;
    constexpr int kMaxSends = 4;
    if (ended.content.tried < kMaxAttempts && !ended.content.suspect) {
      Send(ended.gateway, ended.content);
    } else if (ended.content.content != kCrashing &&
               ended.content.sent_by_caller < kMaxSends) {
      request again = ended.content;
      ++again.sent_by_caller;
      sent_again_.emplace(now_ + milliseconds(50 + random_.Below(450)), again);
    }
  }

  void Restart(std::size_t gateway) {
    gateways_[gateway] = crash_attribution(RequestCrashPolicy());
    in_touch_since_[gateway] = now_;
    std::erase_if(attempts_, [gateway](const auto& item) {
      return item.second.gateway == gateway;
    });
  }

  void Deliver(crash_attribution& to,
               std::vector<crash_evidence> evidence,
               std::size_t gateway) {
    constexpr std::size_t kMaxItems = 8;
    if (!evidence.empty() && !IsCutOff(gateway) && random_.Below(10) != 0) {
      to.Merge(Strongest(std::move(evidence), kMaxItems), now_);
    }
  }

  static std::size_t Followed(std::size_t gateway, std::size_t index) {
    return StableHash(std::to_string(gateway), index) % kStagers;
  }

  void SendFromGateway(std::size_t gateway, time_point since) {
    std::vector<crash_evidence> repeated;
    std::vector<crash_evidence> single;
    for (crash_evidence& item : gateways_[gateway].ChangedSince(since, now_)) {
      (IsRepeated(item) ? repeated : single).push_back(std::move(item));
    }
    for (std::size_t i = 0; i < kFollowed; ++i) {
      Deliver(stagers_[Followed(gateway, i)], repeated, gateway);
    }
    for (const crash_evidence& item : single) {
      for (std::size_t centre = 0; centre < kDataCentres; ++centre) {
        const std::size_t stager =
            centre + kDataCentres * (item.part % (kStagers / kDataCentres));
        Deliver(stagers_[stager], {item}, gateway);
      }
    }
  }

  void Exchange() {
    if (!IsDue(kExchangeInterval)) {
      return;
    }
    const bool subscribes = IsDue(kSubscriptionInterval);
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      SendFromGateway(i, subscribes ? now_ - seconds(3) : sent_at_[i]);
      sent_at_[i] = now_ - duration(1);  // evidence may come at this moment
    }
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      for (std::size_t j = 0; j < kFollowed; ++j) {
        const std::size_t stager = Followed(i, j);
        std::vector<crash_evidence> evidence = stagers_[stager].ChangedSince(
            subscribes ? time_point() : stager_sent_at_[stager], now_);
        std::erase_if(evidence, [](const crash_evidence& item) {
          return !IsRepeated(item);
        });
        Deliver(gateways_[i], std::move(evidence), i);
      }
    }
    std::fill(stager_sent_at_.begin(), stager_sent_at_.end(),
              now_ - duration(1));
  }

  static constexpr time_point kStart{seconds(100)};

  const request_crash_load load_;
  random_source random_;
  std::vector<crash_attribution> gateways_;
  std::vector<crash_attribution> stagers_;
  std::vector<time_point> sent_at_;
  std::vector<time_point> stager_sent_at_;
  std::vector<time_point> in_touch_since_;
  std::vector<upstream_state> upstreams_;
  std::map<std::uint64_t, attempt> attempts_;  // by dispatch
  std::multimap<time_point, request> sent_again_;
  time_point now_ = kStart;
  std::optional<time_point> third_crash_;
  std::uint64_t next_dispatch_ = 0;
  prompt_part next_content_ = 1000;
  std::size_t late_retries_ = 0;
  std::size_t crashes_by_request_ = 0;
  std::size_t sound_sent_ = 0;
  std::size_t sound_refused_ = 0;
};

class request_crash_replay_test : public testing::Test {
 protected:
  static constexpr std::uint64_t kSeeds = 10;

  static void ExpectBlockedInTime(const request_crash_load& load) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      request_crash_replay replay(load, seed);
      replay.Run(seconds(24));
      EXPECT_GE(replay.crashes_by_request(), kThirdCrash) << "seed " << seed;
      EXPECT_LE(replay.late_retries(), kMaxLateRetries)
          << "seed " << seed << ", " << replay.crashes_by_request()
          << " crashes";
      ExpectFewRefused(replay, seed);
    }
  }

  static void ExpectFewRefused(const request_crash_replay& replay,
                               std::uint64_t seed) {
    EXPECT_LE(replay.sound_refused(), 5 + replay.sound_sent() / 500)
        << "seed " << seed << ", of " << replay.sound_sent();
  }

  static void ExpectNoneBlocked(request_crash_load load) {
    load.crashing_interval = duration(0);
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      request_crash_replay replay(load, seed);
      replay.Run(seconds(24));
      ExpectFewRefused(replay, seed);
    }
  }
};

// Guards against a request that crashes one upstream after the other, because
// each gateway sees few of its crashes.
TEST_F(request_crash_replay_test, Request_AtAnyGateway_BlockedInTime) {
  ExpectBlockedInTime({});
}

TEST_F(request_crash_replay_test, Request_FewGateways_BlockedInTime) {
  ExpectBlockedInTime({.gateways = 2});
}

TEST_F(request_crash_replay_test, Request_LargeFleet_BlockedInTime) {
  ExpectBlockedInTime({.gateways = 149, .upstreams = 60});
}

// Guards against gateways that never learn of crashes before they started, or
// while they were cut off.
TEST_F(request_crash_replay_test, Request_GatewaysRestart_BlockedInTime) {
  ExpectBlockedInTime({.restart_interval = milliseconds(500)});
}

TEST_F(request_crash_replay_test, Request_GatewaysCutOff_BlockedInTime) {
  ExpectBlockedInTime({.cut_off = true});
}

// Guards against crashes with other causes that hide those of the request.
TEST_F(request_crash_replay_test, Request_BesideOtherCrashes_BlockedInTime) {
  ExpectBlockedInTime({.other_crash_interval = milliseconds(1200)});
}

TEST_F(request_crash_replay_test, Request_BesideResets_BlockedInTime) {
  ExpectBlockedInTime({.resets = 0.05});
}

// Guards against sound requests that are refused because of crashes whose cause
// is in no request.
TEST_F(request_crash_replay_test, Crashes_WithoutCause_SoundRequestsServed) {
  ExpectNoneBlocked({.other_crash_interval = milliseconds(400)});
}

TEST_F(request_crash_replay_test, Crashes_ManyAtOnce_SoundRequestsServed) {
  ExpectNoneBlocked({.mass_crash_interval = seconds(2), .resets = 0.02});
}

}  // namespace
}  // namespace fireflyslip
