#ifndef FIREFLYSLIP_PLACEMENT_RETRY_WINDOW_H_
#define FIREFLYSLIP_PLACEMENT_RETRY_WINDOW_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include "fireflyslip/core/time.h"
#include "fireflyslip/placement/held_maximum.h"

namespace fireflyslip {

/// \brief One gateway's part of the retry budget of a service.
///
/// The gateways share the budget without communication. In each window,
/// whenever it begins, a gateway sends at most `ratio` times a weighted mean of
/// two numbers of requests, plus its part of the fixed allowance: the requests
/// of that window so far, and those of the window that begins half a length
/// earlier. The weights are constants, so that the bounds of all gateways add
/// up to the bound of the fleet for each window. This does not hold for a
/// maximum over several windows, or for the best window of each gateway: each
/// gateway would choose the one that favours it.
///
/// The first number pays for retries while traffic rises, the second one allows
/// several retries at once when upstreams fail together.
class retry_window {
 public:
  /// \param length length of the window.
  /// \param ratio retries per request.
  /// \param rounding number in [0, 1) that is added to the bound. A uniform
  /// random one makes the number of retries equal to the bound on average;
  /// without it, each gateway loses the fractional part.
  explicit retry_window(duration length = seconds(10),
                        double ratio = 0.1,
                        double rounding = 0)
      : tick_length_(
            std::max(duration(1), length / static_cast<std::int64_t>(kTicks))),
        ratio_(ratio),
        rounding_(rounding) {}

  void CountRequest(time_point now) {
    Advance(now);
    ++At(0).requests;
  }

  /// \brief Takes one retry that is sent now; false if the budget is exhausted.
  /// \param allowance retries per window in addition to the ratio.
  bool Take(time_point now, double allowance) {
    Advance(now);
    double retries = 1;
    double requests = 0;          // of the window that begins `age` ticks ago
    double earlier_requests = 0;  // of the window half a length before
    // The requests of the tick in which a window begins may precede it. They
    // are left out, so that the bound holds for windows that begin at any
    // moment.
    for (std::size_t age = 0; age < kTicks / 2 - 1; ++age) {
      earlier_requests += At(age).requests;
    }
    for (std::size_t age = 0; age <= kTicks; ++age) {
      retries += At(age).retries;
      earlier_requests += At(age + kTicks / 2 - 1).requests;
      if (age >= kTicks / 2) {
        earlier_requests -= At(age - kTicks / 2).requests;
      }
      const double mean =
          kCurrentWeight * requests + (1 - kCurrentWeight) * earlier_requests;
      if (retries > ratio_ * mean + allowance + rounding_) {
        return false;
      }
      requests += At(age).requests;
    }
    ++At(0).retries;
    return true;
  }

  /// \brief Gives back a retry that was taken but not sent.
  void Return(time_point taken_at, time_point now) {
    Advance(now);
    const std::int64_t age = last_tick_ - Tick(taken_at);
    if (age < static_cast<std::int64_t>(kStoredTicks) &&
        At(static_cast<std::size_t>(age)).retries > 0) {
      --At(static_cast<std::size_t>(age)).retries;
    }
  }

 private:
  static constexpr std::size_t kTicks = 100;  // per window
  static constexpr std::size_t kStoredTicks = kTicks * 3 / 2 + 1;
  static constexpr double kCurrentWeight = 0.65;

  struct counts {
    double requests = 0;
    double retries = 0;
  };

  std::int64_t Tick(time_point at) const {
    return at.time_since_epoch() / tick_length_;
  }

  /// Counts of an earlier tick.
  counts& At(std::size_t age) {
    return ring_[(position_ + kStoredTicks - age) % kStoredTicks];
  }

  void Advance(time_point now) {
    const std::int64_t tick = Tick(now);
    const std::int64_t passed =
        std::min(tick - last_tick_, static_cast<std::int64_t>(kStoredTicks));
    for (std::int64_t i = 0; i < passed; ++i) {
      position_ = (position_ + 1) % kStoredTicks;
      ring_[position_] = {};
    }
    last_tick_ = std::max(last_tick_, tick);
  }

  duration tick_length_;
  double ratio_;
  double rounding_;
  std::array<counts, kStoredTicks> ring_{};
  std::size_t position_ = 0;  // of the last tick
  std::int64_t last_tick_ = 0;
};

/// \brief One gateway's part of the retries that all gateways may send in a
/// window in addition to the ratio.
class retry_allowance {
 public:
  retry_allowance(double total, duration window, time_point started_at)
      : total_(total), window_(window), started_at_(started_at) {}

  /// \brief Records an estimate of the number of gateways; 0 if it is unknown.
  void SetGatewayCount(double gateways, time_point now) {
    if (gateways > 0) {
      gateways_.Add(std::max(gateways, 1.0), now);
    }
  }

  /// \brief Retries per window; 0 until the number of gateways is known.
  ///
  /// It grows over the first window of the process, because an earlier process
  /// may have used the part of this gateway just before.
  double Share(time_point now) const {
    if (gateways_.value() <= 0) {
      return 0;
    }
    const double age =
        std::clamp(ToSeconds(now - started_at_) / ToSeconds(window_), 0.0, 1.0);
    return total_ * kUsedFraction * age / gateways_.value();
  }

 private:
  /// The rest allows for an estimate that is too low, and for the latency
  /// between client, gateway and upstream.
  static constexpr double kUsedFraction = 0.5;

  double total_;
  duration window_;
  time_point started_at_;
  held_maximum gateways_{0};
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PLACEMENT_RETRY_WINDOW_H_
