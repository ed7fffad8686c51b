#ifndef FIREFLYSLIP_PLACEMENT_UPSTREAM_HEALTH_H_
#define FIREFLYSLIP_PLACEMENT_UPSTREAM_HEALTH_H_

#include <algorithm>

#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Judges an upstream by its answers to this entry.
///
/// Health checks pass on upstreams that fail requests, and upstreams may fail
/// the requests of some callers only, so each entry judges for itself.
class upstream_health {
 public:
  void CountSuccess() {
    unreachable_in_row_ = 0;
    failure_share_ *= 1 - kWeight;
    if (failure_share_ < kHealthyShare) {
      ejections_ = 0;
    }
    trial_ = false;
  }

  /// \brief The upstream answered with a failure, or with a broken answer.
  void CountFailure(time_point now) {
    unreachable_in_row_ = 0;
    failure_share_ += (1 - failure_share_) * kWeight;
    if (failure_share_ > kFailingShare || trial_) {
      Eject(now, kFirstFailureEjection);
      failure_share_ = kHealthyShare;
    }
  }

  /// \brief The upstream did not accept a connection, or fell silent.
  void CountUnreachable(time_point now) {
    ++unreachable_in_row_;
    if (unreachable_in_row_ >= kUnreachableBound || trial_) {
      Eject(now, kFirstUnreachableEjection);
    }
  }

  /// \brief Whether requests may be sent. After an ejection, one request at a
  /// time is a trial.
  bool IsAvailable(time_point now, bool idle) const {
    return now >= ejected_until_ && (!trial_ || idle);
  }

  bool is_ejected(time_point now) const { return now < ejected_until_; }

 private:
  /// Weight of one answer in the share of failures: about 7 answers count.
  static constexpr double kWeight = 0.15;
  /// Above this share of failures an upstream is ejected. Services fail up to
  /// 14 % of some requests by themselves.
  static constexpr double kFailingShare = 0.4;
  static constexpr double kHealthyShare = 0.1;
  /// One refused connection may be an upstream at its limit of connections.
  static constexpr int kUnreachableBound = 2;
  static constexpr duration kFirstFailureEjection = seconds(3);
  static constexpr duration kFirstUnreachableEjection = milliseconds(500);
  static constexpr duration kLongestEjection = seconds(6);

  void Eject(time_point now, duration first) {
    if (now < ejected_until_) {
      return;
    }
    const duration length =
        std::min(kLongestEjection, first * (1 << std::min(ejections_, 5)));
    ejected_until_ = now + length;
    ++ejections_;
    trial_ = true;
  }

  int unreachable_in_row_ = 0;
  int ejections_ = 0;
  double failure_share_ = 0;
  bool trial_ = false;
  time_point ejected_until_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PLACEMENT_UPSTREAM_HEALTH_H_
