#ifndef FIREFLYSLIP_PLACEMENT_UPSTREAM_HEALTH_H_
#define FIREFLYSLIP_PLACEMENT_UPSTREAM_HEALTH_H_

#include <algorithm>

#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Passive health check (outlier detection) of an upstream by the
/// responses that one gateway receives.
///
/// Active health checks pass on upstreams that fail requests, and an upstream
/// may fail only the requests of some clients, so each gateway keeps its own
/// state.
class upstream_health {
 public:
  void CountSuccess() {
    consecutive_unreachable_ = 0;
    failure_rate_ *= 1 - kWeight;
    if (failure_rate_ < kRecoveredFailureRate) {
      ejections_ = 0;
    }
    probing_ = false;
  }

  /// \brief The upstream returned an error or a malformed response.
  void CountFailure(time_point now) {
    consecutive_unreachable_ = 0;
    failure_rate_ += (1 - failure_rate_) * kWeight;
    if (failure_rate_ > kEjectionFailureRate || probing_) {
      Eject(now, kFailureBaseEjection);
      failure_rate_ = kRecoveredFailureRate;
    }
  }

  /// \brief The upstream did not accept a connection, or timed out.
  void CountUnreachable(time_point now) {
    ++consecutive_unreachable_;
    if (consecutive_unreachable_ >= kUnreachableThreshold || probing_) {
      Eject(now, kUnreachableBaseEjection);
    }
  }

  /// \brief Whether requests may be sent. After an ejection, only one request
  /// at a time is sent as a probe, until one succeeds.
  bool IsAvailable(time_point now, bool idle) const {
    return now >= ejected_until_ && (!probing_ || idle);
  }

  bool is_ejected(time_point now) const { return now < ejected_until_; }

 private:
  /// Weight of one response in the moving average of the failure rate, which
  /// covers about 7 responses.
  static constexpr double kWeight = 0.15;
  /// Failure rate above which an upstream is ejected. Healthy services fail up
  /// to 14 % of some requests.
  static constexpr double kEjectionFailureRate = 0.4;
  static constexpr double kRecoveredFailureRate = 0.1;
  /// A single refused connection may come from an upstream at its connection
  /// limit.
  static constexpr int kUnreachableThreshold = 2;
  static constexpr duration kFailureBaseEjection = seconds(3);
  static constexpr duration kUnreachableBaseEjection = milliseconds(500);
  static constexpr duration kMaxEjection = seconds(6);

  void Eject(time_point now, duration first) {
    if (now < ejected_until_) {
      return;
    }
    const duration length =
        std::min(kMaxEjection, first * (1 << std::min(ejections_, 5)));
    ejected_until_ = now + length;
    ++ejections_;
    probing_ = true;
  }

  int consecutive_unreachable_ = 0;
  int ejections_ = 0;
  double failure_rate_ = 0;
  bool probing_ = false;
  time_point ejected_until_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PLACEMENT_UPSTREAM_HEALTH_H_
